"""The response that is due is awaited behind late copies of earlier ones."""

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from wagtailpaddle_daemon.connections import (
    MAX_RESPONSE_HEAD_BYTES,
    ClientConnection,
    ConnectionPool,
    EncodedRequest,
)
from wagtailpaddle_daemon.echo import Echo
from wagtailpaddle_daemon.upstream import BodyReader

ID = b"X-Request-Id"


@pytest.fixture
def conn():
    pool = ConnectionPool(Clock(), max_idle_s=30.0)
    conn = ClientConnection(pool, ("127.0.0.1", 9))
    conn.makeConnection(StringTransport())
    return conn


@pytest.fixture
def send(conn):
    """Send a request; return what it gets: copies, statuses, bodies and failures."""

    def send_request(request_id, method=b"POST"):
        got = []
        req = EncodedRequest(
            method,
            b"POST / HTTP/1.1\r\n\r\n",
            echo=Echo(ID, request_id),
            on_copy=lambda copy: got.append(("copy", copy.code)),
        )

        def read(answer):
            got.append(answer.code)
            answer.deliverBody(BodyReader(got.append, lambda _: None))

        conn.send(req).addCallbacks(read, lambda _: got.append("failed"))
        return got

    return send_request


def response(request_id, status=503, body=b""):
    head = b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n" % (status, request_id)
    length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
    return head + length + b"\r\n" + body


def feed(conn, data, n_bytes):
    for start in range(0, len(data), n_bytes):
        conn.dataReceived(data[start : start + n_bytes])


@pytest.mark.parametrize("n_bytes", [1, 7, 4096])
@pytest.mark.parametrize("body", [b"", b"busy\r\nHTTP/1.1 200 OK\r\n\r\n"])
@pytest.mark.parametrize("status", [204, 421, 503])
def test_response_behind_a_late_copy_is_delivered(conn, send, status, body, n_bytes):
    """Guards against 502 for a request that the server ran and answered."""
    send(b"r1")
    conn.dataReceived(response(b"r1"))
    got = send(b"r2")
    copy = response(b"r1", status, b"" if status == 204 else body)
    feed(conn, copy * 2 + response(b"r2", 200, b"mine"), n_bytes)
    assert got[:3] == [("copy", status), ("copy", status), 200]
    assert b"".join(got[3:]) == b"mine"
    assert conn in conn._pool._idle[conn.address]


def test_copy_that_breaks_off_fails_the_request(conn, send):
    """Guards against a request that waits on a connection that is lost."""
    send(b"r1")
    conn.dataReceived(response(b"r1"))
    got = send(b"r2")
    conn.dataReceived(response(b"r1", body=b"busy")[:-2])
    conn.connectionLost(Failure(ConnectionDone()))
    assert got == [("copy", 503), "failed"]


def test_copies_without_end_fail_the_request(conn, send):
    send(b"r1")
    conn.dataReceived(response(b"r1"))
    got = send(b"r2")
    copy = response(b"r1", body=b"x" * 1000)
    for _ in range(MAX_RESPONSE_HEAD_BYTES // len(copy) + 1):
        conn.dataReceived(copy)
    assert got[-1] == "failed"
    assert conn.transport.disconnecting


@pytest.mark.parametrize(
    "lengths",
    [
        b"",
        b"Transfer-Encoding: chunked\r\n",
        b"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
    ],
)
def test_copy_without_a_stated_length_is_not_passed_over(conn, send, lengths):
    """Its end could be taken for the beginning of the response, or the reverse."""
    send(b"r1")
    conn.dataReceived(response(b"r1"))
    got = send(b"r2")
    conn.dataReceived(b"HTTP/1.1 503 X\r\nX-Request-Id: r1\r\n" + lengths + b"\r\n")
    assert got == [("copy", 503), "failed"]
    assert conn.transport.disconnecting


def test_copies_are_not_passed_over_after_a_request_for_the_head_alone(conn, send):
    """Guards against a response whose bytes are taken for the body of a copy."""
    head = b"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nContent-Length: 900\r\n\r\n"
    send(b"r1", b"HEAD")
    conn.dataReceived(head)
    got = send(b"r2")
    conn.dataReceived(head)
    assert got == [("copy", 200), "failed"]
    assert conn.transport.disconnecting


@pytest.mark.parametrize("request_id", [b"r3", b"r2x"])
def test_response_to_a_request_of_another_connection_is_not_passed_over(
    conn, send, request_id
):
    got = send(b"r2")
    conn.dataReceived(response(request_id))
    assert got == [503]
    assert conn.transport.disconnecting
