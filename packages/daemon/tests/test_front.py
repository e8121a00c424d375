"""Callers' connections: keep-alive, graceful shutdown and slow senders."""

import pytest
from twisted.internet.testing import StringTransport
from wagtailpaddle_core import ErrorKind
from wagtailpaddle_daemon.upstream import ResponseHead

REQUEST = b"GET /catalogue HTTP/1.1\r\nHost: x\r\n\r\n"


class HalfCloseTransport(StringTransport):
    """Records the half-close as ``disconnecting``, an abort as ``disconnected``."""

    disconnected = False

    def abortConnection(self):  # noqa: N802
        self.disconnected = True

    def loseWriteConnection(self):  # noqa: N802
        self.disconnecting = True


@pytest.fixture
def connect(front):
    def connect():
        channel = front.buildProtocol(None)
        transport = HalfCloseTransport()
        channel.makeConnection(transport)
        return channel, transport

    return connect


def answer(caller):
    caller.write_head(ResponseHead(200, b"OK", (), 2))
    caller.write(b"ok")
    caller.end()


def test_persistent_connection_serves_further_requests(connect, gateway):
    channel, transport = connect()
    for _ in range(2):
        channel.dataReceived(REQUEST)
        answer(gateway.callers.pop())
    assert transport.value().count(b"200 OK") == 2
    assert not transport.disconnecting


@pytest.mark.parametrize("served", [True, False])
def test_leaving_daemon_closes_after_its_response(connect, front, gateway, served):
    channel, transport = connect()
    channel.dataReceived(REQUEST)
    front.draining = True
    caller = gateway.callers.pop()
    if served:
        answer(caller)
    else:
        caller.refuse(ErrorKind.DRAINING, "the VM is shutting down", 1.0)
    assert b"Connection: close" in transport.value()
    assert transport.disconnecting


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_requests_behind_a_closing_response_are_not_run(
    connect, front, clock, gateway, method
):
    """Guards against work that runs twice: the caller sends these requests again."""
    channel, transport = connect()
    request = REQUEST.replace(b"GET", method.encode())
    channel.dataReceived(request + request)
    front.draining = True
    answer(gateway.callers.pop())
    channel.dataReceived(request)
    assert gateway.callers == []
    assert transport.value().count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in transport.value()
    assert transport.disconnecting
    assert not transport.disconnected
    clock.advance(2.1)
    assert transport.disconnected


@pytest.mark.parametrize(
    "first",
    [
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n"
        + b"x" * 2_000_000,
        b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n",
    ],
    ids=["413", "the caller closes", "HTTP/1.0"],
)
def test_requests_behind_a_refusal_or_the_callers_close_are_not_run(
    connect, gateway, first
):
    channel, transport = connect()
    channel.dataReceived(first + REQUEST)
    for caller in gateway.callers:
        answer(caller)
    assert len(gateway.callers) <= 1
    assert transport.value().count(b"HTTP/1.1 ") <= 1
    assert transport.disconnecting


def test_only_inactive_connections_are_closed(connect, front, clock, gateway):
    inactive, inactive_transport = connect()
    partial, partial_transport = connect()
    active, active_transport = connect()
    partial.dataReceived(REQUEST[:10])
    active.dataReceived(REQUEST)
    clock.advance(1.0)
    late, late_transport = connect()
    front.close_inactive(clock.seconds() - 0.1)
    assert inactive_transport.disconnecting
    for transport in (partial_transport, active_transport, late_transport):
        assert not transport.disconnecting
    front.draining = True
    partial.dataReceived(REQUEST[10:])
    answer(gateway.callers.pop())
    assert b"200 OK" in partial_transport.value()
    assert partial_transport.disconnecting


def test_request_sent_during_close_is_refused_as_not_run(
    connect, front, clock, gateway
):
    channel, transport = connect()
    channel.dataReceived(REQUEST)
    answer(gateway.callers.pop())
    transport.clear()
    clock.advance(1.0)
    for _ in range(2):
        front.close_inactive(clock.seconds())
    channel.dataReceived(REQUEST)
    assert gateway.callers == []
    assert transport.value().startswith(b"HTTP/1.1 503 ")
    assert transport.value().count(b"HTTP/1.1 ") == 1
    assert b"X-Outcome: not-run" in transport.value()
    assert b"urn:wagtailpaddle:error:draining" in transport.value()


def test_slow_sender_is_disconnected(connect, front, clock):
    channel, transport = connect()
    for byte in REQUEST[:20]:
        channel.dataReceived(bytes([byte]))
        clock.advance(0.3)
        front.guard.check(clock.seconds())
    assert transport.disconnected
