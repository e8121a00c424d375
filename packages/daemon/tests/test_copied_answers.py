"""What a gateway makes of a copy of an answer that bears the request's own id.

A faulty server writes such a copy just before the next answer on a connection. The
copy is no answer to a request that is sent again.
"""

from collections import Counter
from dataclasses import dataclass, replace
from enum import StrEnum

import pytest
from twisted.internet.testing import (
    MemoryReactorClock,
    StringTransportWithDisconnection,
)
from wagtailpaddle_config import Configuration
from wagtailpaddle_core import ErrorKind
from wagtailpaddle_daemon.caller import DisconnectedCaller
from wagtailpaddle_daemon.dialect import DEFAULT_DIALECT
from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.upstream import OutgoingRequest, Upstream
from wagtailpaddle_node import ConfigState, RequestHead, RequestView
from wagtailpaddle_routing import AttemptOutcome, Deliver, Dispatch, Refuse

ID = b"X-Request-Id"
DIALECT = replace(
    DEFAULT_DIALECT, must_echo=True, not_run_statuses=frozenset({503, 429})
)
PORTS = {"old-id": 9, "new-id": 9, "other": 10}
"""Two server ids have one address, as after a restart under a new id."""
MAX_CONNECTIONS = 4

REFUSED_BUSY = (503, b"X-Outcome: not-run\r\n")
REFUSED_MISDIRECTED = (421, b"X-Outcome: not-run\r\n")
SERVER_ERROR = (500, b"")
UNKNOWN_OUTCOME = (503, b"")


class Arrival(StrEnum):
    """How a copy and the answer behind it arrive."""

    TOGETHER = "together"
    APART = "apart"


class PlannedNode:
    """A node that sends each request to its planned servers until one answers 200."""

    configuration = Configuration()

    def __init__(self):
        self.plans = {}
        self.outcomes = []
        self._attempts = Counter()

    def config_state(self, now):
        return ConfigState(self.configuration.revision)

    def next_wake(self, now):
        return now + 1.0

    def server_address(self, service, server):
        return "127.0.0.1", PORTS[server]

    def request_view(self, request):
        return RequestView(None, None)

    def on_request(self, now, head):
        return (self._dispatch(now, head.id),)

    def on_attempt(self, now, request, result, answer=None):
        self.outcomes.append(result.outcome)
        is_served = result.outcome is AttemptOutcome.ANSWERED and result.status == 200
        if self.plans[request] and not is_served:
            return (self._dispatch(now, request),)
        if result.outcome is AttemptOutcome.ANSWERED:
            return (Deliver(request),)
        is_shed = result.outcome is AttemptOutcome.SHED
        kind = ErrorKind.OVERLOADED if is_shed else ErrorKind.OUTCOME_UNKNOWN
        return (Refuse(request, kind, "not answered"),)

    def _dispatch(self, now, request):
        server = self.plans[request].pop(0)
        self._attempts[request] += 1
        return Dispatch(
            request,
            "s",
            server,
            self._attempts[request],
            now + 3.0,
            now + 3.0,
            connections=MAX_CONNECTIONS,
        )


class RecordingCaller(DisconnectedCaller):
    """A caller that keeps the status, or the kind of the refusal, that it got."""

    got = None

    def write_head(self, head):
        self.got = head.status

    def refuse(self, kind, detail, retry_after_s):
        self.got = kind


class ServerConnection:
    """The server's end of a connection, and the copies still to be written there."""

    def __init__(self, port, factory):
        self.port = port
        self.copies = b""
        self.transport = StringTransportWithDisconnection()
        self._protocol = factory.buildProtocol(None)
        self.transport.protocol = self._protocol
        self._protocol.makeConnection(self.transport)

    def take_request(self):
        """Return the id of the request that has arrived, or None."""
        data = self.transport.value()
        self.transport.clear()
        if not data:
            return None
        lines = data.split(b"\r\n")
        return next(line[len(ID) + 2 :] for line in lines if line.startswith(ID))

    def write(self, data):
        if self.transport.connected:
            self._protocol.dataReceived(data)


@dataclass(frozen=True)
class Reply:
    """A reply other than 200 to the next request, copied before the next answer."""

    status: int
    headers: bytes


class Servers:
    """The servers of the test: they run a request unless a reply is planned."""

    def __init__(self, reactor, arrival):
        self.replies = []
        self.ran = Counter()
        self.silent_ports = set()
        self._reactor = reactor
        self._arrival = arrival
        self._connections = []
        self._n_accepted = 0

    def serve(self):
        """Accept connections and answer requests until none is left."""
        while self._serve_once():
            pass

    def _serve_once(self):
        clients = self._reactor.tcpClients
        for _, port, factory, *_ in clients[self._n_accepted :]:
            self._connections.append(ServerConnection(port, factory))
        self._n_accepted = len(clients)
        arrived = [(conn, conn.take_request()) for conn in self._connections]
        arrived = [(conn, request_id) for conn, request_id in arrived if request_id]
        for conn, request_id in arrived:
            self._reply(conn, request_id)
        return bool(arrived)

    def _reply(self, conn, request_id):
        if conn.port in self.silent_ports:
            return
        copies, conn.copies = conn.copies, b""
        if self.replies:
            reply = self.replies.pop(0)
            answer = conn.copies = encode(reply.status, request_id, reply.headers)
        else:
            self.ran[request_id] += 1
            answer = encode(200, request_id)
        if self._arrival is Arrival.TOGETHER:
            conn.write(copies + answer)
            return
        if copies:
            conn.write(copies)
        conn.write(answer)


def encode(status, request_id, headers=b""):
    head = b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n" % (status, request_id)
    return head + headers + b"Content-Length: 0\r\n\r\n"


@pytest.fixture
def node():
    return PlannedNode()


@pytest.fixture
def reactor():
    return MemoryReactorClock()


@pytest.fixture(params=Arrival)
def servers(reactor, request):
    return Servers(reactor, request.param)


@pytest.fixture
def send(reactor, node, servers, metrics):
    """Send a request to planned servers, let them serve it; return its caller."""
    gateway = Gateway(reactor, node, Upstream(reactor), metrics, dialect=DIALECT)

    def send_one(*plan, name="r1", method=b"POST"):
        node.plans[name] = list(plan)
        caller = RecordingCaller()
        outgoing = OutgoingRequest(method, b"/", ((ID, b"mine"),), b"")
        head = RequestHead(name, "", "/", method.decode(), None)
        gateway.on_request(head, outgoing, caller)
        servers.serve()
        return caller

    return send_one


@pytest.mark.parametrize("refusal", [REFUSED_MISDIRECTED, REFUSED_BUSY])
def test_copied_refusal_is_no_refusal_by_another_server_at_the_address(
    send, servers, refusal
):
    """Guards against a 503 for a request that ran (REFUSED)."""
    servers.replies = [Reply(*refusal)]
    caller = send("old-id", "new-id")
    assert servers.ran == {b"mine": 1}
    assert caller.got == 200


@pytest.mark.parametrize("refusal", [REFUSED_MISDIRECTED, REFUSED_BUSY])
def test_copied_refusal_at_a_shared_address_causes_no_second_run(
    send, servers, refusal
):
    """Guards against a run at a third server, behind the one that ran it (TWICE)."""
    servers.replies = [Reply(*refusal)]
    caller = send("old-id", "new-id", "other")
    assert servers.ran == {b"mine": 1}
    assert caller.got == 200


def test_copied_refusal_is_no_refusal_of_a_repeat_by_the_caller(send, servers):
    """Guards against a 503 for a request that ran (REFUSED).

    The repeat has the id of the refused request, but is a new request to the node.
    """
    servers.replies = [Reply(*REFUSED_BUSY)]
    assert send("new-id").got is ErrorKind.OVERLOADED
    caller = send("new-id", name="r2")
    assert servers.ran == {b"mine": 1}
    assert caller.got == 200


def test_copied_refusal_of_a_repeat_by_the_caller_causes_no_second_run(send, servers):
    """Guards against a run at a second server, behind the one that ran it (TWICE)."""
    servers.replies = [Reply(*REFUSED_BUSY)]
    assert send("new-id").got is ErrorKind.OVERLOADED
    caller = send("new-id", "other", name="r2")
    assert servers.ran == {b"mine": 1}
    assert caller.got == 200


@pytest.mark.parametrize("reply", [SERVER_ERROR, UNKNOWN_OUTCOME])
def test_copied_failure_does_not_end_a_retry_at_the_same_server(send, servers, reply):
    """Guards against a failure for an idempotent request that the retry served."""
    servers.replies = [Reply(*reply)]
    caller = send("new-id", "new-id", method=b"GET")
    assert servers.ran == {b"mine": 1}
    assert caller.got == 200


def test_copied_refusal_is_no_refusal_of_another_request_with_the_id(send, servers):
    """Guards against a 503 for a request that ran (REFUSED).

    Two callers use one id at the same time; the first request is refused and waits
    for another server.
    """
    servers.silent_ports = {PORTS["other"]}
    servers.replies = [Reply(*REFUSED_BUSY)]
    first = send("new-id", "other")
    second = send("new-id", name="r2")
    assert first.got is None
    assert servers.ran == {b"mine": 1}
    assert second.got == 200


def test_refused_request_is_served_again_by_the_same_server(send, servers):
    """The repeat goes over another connection, so no copy comes before the answer."""
    servers.replies = [Reply(*REFUSED_BUSY)]
    assert send("new-id", "new-id").got == 200
    assert servers.ran == {b"mine": 1}
