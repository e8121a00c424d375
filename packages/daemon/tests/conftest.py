import json
from dataclasses import dataclass, field
from http.client import HTTPResponse
from io import BytesIO
from typing import Any

import pytest
from twisted.internet.defer import fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from wagtailpaddle_config import hash_secret
from wagtailpaddle_daemon.admin import Admin
from wagtailpaddle_daemon.client_guard import ClientGuard
from wagtailpaddle_daemon.connections import ClientConnection
from wagtailpaddle_daemon.frontend import FrontendFactory
from wagtailpaddle_daemon.logclient import LogError, LogRead
from wagtailpaddle_daemon.metrics import Metrics
from wagtailpaddle_daemon.service import make_vm
from wagtailpaddle_daemon.settings import build_parser, read_settings
from wagtailpaddle_node import Node, RawLogRecord
from wagtailpaddle_peer import LogCodec
from wagtailpaddle_resources import make_budget
from wagtailpaddle_standins.readyclock import ReadyClock

TOKEN = "operator-token"
BASE = {
    "accounts": {"dumont": {"rate": 50.0, "burst": 100.0}},
    "services": {
        "booking": {
            "servers": {"b1": {"address": "127.0.0.1", "port": 9001, "zone": "a"}}
        }
    },
    "routes": {"catalogue": {"path": "/catalogue", "service": "booking"}},
}


@dataclass
class MemoryLog:
    """A log in memory that can fail.

    The next ``lost`` appends take effect but report no answer; ``dropped`` ones
    have no effect; ``refused`` ones fail as refused connections; ``late`` ones
    report no answer and take effect at the next append. With ``is_down`` reads fail.
    """

    records: list[bytes] = field(default_factory=list)
    lost: int = 0
    dropped: int = 0
    refused: int = 0
    late: int = 0
    delayed: list[bytes] = field(default_factory=list)
    is_down: bool = False
    n_appends: int = 0

    def read(self, stream, start):
        if self.is_down:
            return fail(LogError("the log is down"))
        found = tuple(enumerate(self.records))[start:]
        return succeed(LogRead(0, len(self.records), found))

    def apply_delayed(self):
        """Apply the late appends."""
        self.records.extend(self.delayed)
        self.delayed.clear()

    def append(self, stream, data):
        self.n_appends += 1
        if self.refused:
            self.refused -= 1
            exc = LogError("refused")
            exc.__cause__ = ConnectionRefusedError()
            return fail(exc)
        if self.dropped:
            self.dropped -= 1
            return fail(LogError("no answer"))
        if self.late:
            self.late -= 1
            self.delayed.append(data)
            return fail(LogError("no answer"))
        self.apply_delayed()
        self.records.append(data)
        if self.lost:
            self.lost -= 1
            return fail(LogError("no answer"))
        return succeed(len(self.records) - 1)


@dataclass
class FakeDaemon:
    """A fake daemon, with the attributes that the administration API uses."""

    cfg: Any
    node: Node
    log_client: MemoryLog
    vm: str = "vm-1"

    @property
    def gateway(self):
        return self

    @property
    def n_in_flight(self):
        return 0

    async def catch_up(self):
        try:
            start = self.node.fold.next_offset
            read = await self.log_client.read("config", start)
        except LogError:
            return None
        records = tuple(RawLogRecord(offset, data) for offset, data in read.records)
        self.node.on_config_read(0.0, 0.0, records, read.first, read.head)
        return read.head


@dataclass(frozen=True)
class Response:
    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        return json.loads(self.body)


class ReceivedBytes(BytesIO):
    """Received bytes, with the interface of a socket for ``http.client``."""

    def makefile(self, _mode):
        return self


class Operator:
    """Sends requests to the administration API over an in-memory transport."""

    def __init__(self, site, token=TOKEN):
        self._site = site
        self._token = token

    def send(self, method, path, body=b"", **headers):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: 127.0.0.1", "Connection: close"]
        if self._token:
            lines.append(f"Authorization: Bearer {self._token}")
        lines.append(f"Content-Length: {len(body)}")
        for name, value in headers.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        return self.send_raw(method, head + body)

    def send_raw(self, method, data):
        transport = StringTransport()
        channel = self._site.buildProtocol(None)
        channel.makeConnection(transport)
        channel.dataReceived(data)
        answer = HTTPResponse(ReceivedBytes(transport.value()), method=method)
        answer.begin()
        headers = {name.lower(): value for name, value in answer.getheaders()}
        return Response(answer.status, headers, answer.read())


@pytest.fixture
def log():
    return MemoryLog()


class RecordingGateway:
    """A gateway that keeps the requests and their callers; the test answers them."""

    def __init__(self):
        self.requests = []
        self.callers = []

    def on_request(self, head, outgoing, caller):
        self.requests.append((head, outgoing))
        self.callers.append(caller)

    def on_caller_disconnect(self, request):
        pass


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def gateway():
    return RecordingGateway()


@pytest.fixture
def front(clock, gateway):
    guard = ClientGuard(clock, make_budget(200.0, 4096), receive_s=5.0)
    return FrontendFactory(clock, gateway, lambda *_: b"{}", guard=guard)


@pytest.fixture
def metrics():
    return Metrics(max_accounts=2)


@pytest.fixture
def port(log):
    flags = [
        "--site=namur",
        "--zone=a",
        "--caller-address=127.0.0.1:8080",
        "--peer-address=127.0.0.1:8081",
        "--admin-address=127.0.0.1:8082",
        "--log-url=http://127.0.0.1:9000",
        "--vm-list-url=http://127.0.0.1:9000/vms",
        f"--operators=anna={hash_secret(TOKEN)}",
        "--admin-max-body-bytes=5000",
        "--fleet-secret=secret",
    ]
    cfg = read_settings(build_parser().parse_args(flags), {})
    return FakeDaemon(cfg, Node(make_vm(cfg), LogCodec(), site="namur"), log)


@pytest.fixture
def admin(port, metrics):
    return Admin(port, ReadyClock(), metrics=metrics)


@pytest.fixture
def operator(admin):
    return Operator(admin.site(reactor=Clock()))


@pytest.fixture
def unauthenticated(admin):
    return Operator(admin.site(reactor=Clock()), token="")


@pytest.fixture
def published(operator):
    assert operator.send("PUT", "/v1/base", BASE).status == 200
    return operator


@pytest.fixture
def keep_connection():
    """Add an open, idle connection to a pool, and return it."""

    def keep(pool):
        conn = ClientConnection(pool, ("127.0.0.1", 9))
        conn.makeConnection(StringTransport())
        pool._n_open[conn.address] += 1
        pool.add_idle(conn)
        return conn

    return keep
