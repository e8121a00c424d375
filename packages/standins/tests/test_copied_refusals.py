"""A daemon as a process, with servers that write a refusal a second time.

The copy bears the id of the refused request and comes just before the next answer on
its connection. A request that ran must neither be refused nor run again for it.
"""

import json
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from socketserver import StreamRequestHandler, ThreadingTCPServer
from threading import Lock, Thread
from time import sleep

import pytest
from wagtailpaddle_platform_standins.system import (
    SERVICE,
    PlatformSystem,
    call,
    eventually,
)

SEED = 58
N_REQUESTS = 240
N_CALLERS = 4
MAX_TRIES = 4
N_RENAMES = 12
MISDIRECTED_AFTER_S = 0.5
"""A server refuses a request for its former id so late that the daemon meanwhile
knows the new id."""
REGISTERED_AFTER_S = 0.05
RUN_S = 0.02
MISDIRECTED = 421
BUSY = 503
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, BUSY})


@dataclass(frozen=True, slots=True)
class Try:
    """One request by a caller: the status, and how often servers ran it until then."""

    status: int
    n_runs: int


@dataclass(frozen=True, slots=True)
class Figures:
    """What came of all tries.

    ``n_copies_with_id`` are the copies before the answer to a request with their id.
    """

    statuses: dict[int, int]
    n_refusals: int
    n_copies: int
    n_copies_with_id: int
    refused_but_ran: int
    ran_twice: int

    @property
    def broken_promises(self):
        return self.refused_but_ran + self.ran_twice


class ServerCounts:
    """Counts over all servers: the runs of each request, refusals and copies."""

    def __init__(self):
        self._lock = Lock()
        self._runs = Counter()
        self.n_refusals = 0
        self.n_copies = 0
        self.n_copies_with_id = 0

    def add_run(self, request_id):
        with self._lock:
            self._runs[request_id] += 1

    def add_refusal(self):
        with self._lock:
            self.n_refusals += 1

    def add_copy(self, *, bears_id):
        with self._lock:
            self.n_copies += 1
            self.n_copies_with_id += bears_id

    def n_runs(self, request_id):
        with self._lock:
            return self._runs[request_id]

    def figures(self, tries):
        refused = [one for one in tries if one.status in NOT_RUN_STATUSES]
        return Figures(
            Counter(one.status for one in tries),
            self.n_refusals,
            self.n_copies,
            self.n_copies_with_id,
            refused_but_ran=sum(one.n_runs > 0 for one in refused),
            ran_twice=sum(one.n_runs > 1 for one in tries),
        )


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal that was sent and that a copy repeats."""

    request_id: str
    data: bytes


class Connection(StreamRequestHandler):
    """Answers the requests of one connection, and copies each refusal."""

    def handle(self):
        refusal = None
        while request := read_request(self.rfile):
            request_id = request["x-request-id"]
            status = self.server.refusal_status(request)
            if status is None:
                self.server.counts.add_run(request_id)
            elif status == MISDIRECTED:
                sleep(MISDIRECTED_AFTER_S)
            self._write_copy(refusal, request_id)
            refusal = None
            if status is None:
                sleep(RUN_S)
                self.wfile.write(encode(200, request_id))
            else:
                data = encode(status, request_id, "X-Not-Executed: 1\r\n")
                refusal = Refusal(request_id, data)
                self.server.counts.add_refusal()
                self.wfile.write(data)

    def _write_copy(self, refusal, request_id):
        if refusal is not None:
            is_same = refusal.request_id == request_id
            self.server.counts.add_copy(bears_id=is_same)
            self.wfile.write(refusal.data)


class CopyingServer(ThreadingTCPServer):
    """Refuses a share of the requests, and all that expect another server id."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, name, counts, *, refused_share):
        super().__init__(("127.0.0.1", 0), Connection)
        self.name = name
        self.counts = counts
        self._refused_share = refused_share
        self._random = Random(f"{SEED}-{name}")

    def refusal_status(self, request):
        if request["x-expect-instance"] != self.name:
            return MISDIRECTED
        return BUSY if self._random.random() < self._refused_share else None

    def handle_error(self, request, client_address):
        """Ignore a connection that the daemon closed."""


def read_request(stream):
    """Return the headers of the next request without a body; empty at the end."""
    if not stream.readline():
        return {}
    headers = {}
    while line := stream.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    return headers


def encode(status, request_id, more=""):
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{more}"
    return f"{head}Content-Length: 0\r\n\r\n".encode()


@pytest.fixture
def counts():
    return ServerCounts()


@pytest.fixture(scope="module")
def system():
    with PlatformSystem(n_daemons=1, n_servers=1) as running:
        running.put("keyed.servers", "s0", b"")
        assert eventually(lambda: "s0" not in known_servers(running))
        yield running


def known_servers(system):
    """Return the ids of the servers that the daemon knows."""
    page = call(system.daemons[0].monitoring, "GET", "/status").body
    return {item["id"] for item in json.loads(page)["servers"].get(SERVICE, ())}


@pytest.fixture
def register(system):
    """Register an id of a server with the store, until the end of the test."""
    registered = set()

    def register_one(name, server, *, born=1):
        registered.add(name)
        entry = {
            "address": f"127.0.0.1:{server.server_address[1]}",
            "info": {"service": SERVICE, "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "ready", "sequence": 1},
            "born": born,
        }
        system.put("keyed.servers", name, json.dumps(entry).encode())

    yield register_one
    for name in registered:
        system.put("keyed.servers", name, b"")
    assert eventually(lambda: not known_servers(system))


@pytest.fixture
def start_server(system, counts, register):
    """Start a server and wait until the daemon knows it."""
    servers = []

    def start(name, *, refused_share=0.0):
        server = CopyingServer(name, counts, refused_share=refused_share)
        servers.append(server)
        Thread(target=server.serve_forever, daemon=True).start()
        register(name, server)
        assert eventually(lambda: name in known_servers(system))
        return server

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


@pytest.fixture
def send(system, counts):
    """Send a request that may run once, and return the try."""

    def send_one(request_id, *, deadline_ms=3000):
        n_before = counts.n_runs(request_id)
        answer = system.request(
            0,
            "POST",
            "/book/a",
            request_id=request_id,
            X_Deadline_Ms=str(deadline_ms),
        )
        return Try(answer.status, counts.n_runs(request_id) - n_before)

    return send_one


@pytest.fixture
def callers():
    with ThreadPoolExecutor(N_CALLERS) as pool:
        yield pool


def test_copies_of_refusals_by_two_servers_break_no_promise(
    start_server, send, callers, counts
):
    """Guards against a copy taken for the answer to the next request."""
    for name in ("c0", "c1"):
        start_server(name, refused_share=0.4)
    ids = [f"plain-{n}" for n in range(N_REQUESTS)]
    figures = counts.figures(list(callers.map(send, ids)))
    assert figures.n_refusals > 0
    assert figures.broken_promises == 0, figures


def test_copies_of_421_at_an_address_with_a_new_id_break_no_promise(
    start_server, register, send, callers, counts
):
    """Guards against a copy of the former id's refusal, taken for the new id's.

    The server registers its new id while it is about to refuse a request for the
    former one. The request then goes to the new id on the same connection.
    """
    server = start_server("id-0")
    tries = []
    for n in range(1, N_RENAMES + 1):
        server.name = f"id-{n}"
        sent = callers.submit(send, f"renamed-{n}")
        sleep(REGISTERED_AFTER_S)
        register(server.name, server, born=n + 1)
        tries.append(sent.result())
    figures = counts.figures(tries)
    assert figures.n_refusals > 0
    assert figures.broken_promises == 0, figures


def test_copies_of_refusals_of_repeated_requests_break_no_promise(
    start_server, send, callers, counts
):
    """Guards against a copy of a refusal, taken for that of the caller's repeat."""
    for name in ("c2", "c3"):
        start_server(name, refused_share=0.8)

    def send_until_served(request_id):
        tries = []
        while len(tries) < MAX_TRIES:
            tries.append(send(request_id, deadline_ms=300))
            if tries[-1].status not in NOT_RUN_STATUSES:
                break
        return tries

    ids = [f"repeat-{n}" for n in range(N_REQUESTS)]
    tries = [one for found in callers.map(send_until_served, ids) for one in found]
    figures = counts.figures(tries)
    assert figures.n_refusals > 0
    assert figures.broken_promises == 0, figures
