"""The reuse of connections to backend servers and the encoding of requests."""

import pytest
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
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
from wagtailpaddle_daemon.upstream import BodyReader, OutgoingRequest, encode_head
from wagtailpaddle_routing import IdleBound

ADDRESS = ("127.0.0.1", 9)
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
DATA = b"GET / HTTP/1.1\r\n\r\n"


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def pool(clock):
    return ConnectionPool(clock, max_idle_s=30.0)


@pytest.fixture
def conn(pool):
    conn = ClientConnection(pool, ADDRESS)
    conn.makeConnection(StringTransport())
    return conn


def get():
    return EncodedRequest(b"GET", DATA)


def deliver_response(sent, conn, answer):
    """Deliver a response; return its body and the reported ends.

    An end is None for a complete response, otherwise a failure.
    """
    body, ends = [], []
    sent.addCallback(lambda answer: answer.deliverBody(reader))
    sent.addErrback(ends.append)
    reader = BodyReader(body.append, ends.append)
    conn.dataReceived(answer)
    return b"".join(body), ends


def is_idle(pool, conn):
    return conn in pool._idle.get(ADDRESS, ())


def test_complete_response_keeps_the_connection(pool, conn):
    assert deliver_response(conn.request(get()), conn, GOOD + b"\r\nok") == (
        b"ok",
        [None],
    )
    assert is_idle(pool, conn)
    again = pool.send(ADDRESS, get(), max_idle_s=1.0)
    assert not is_idle(pool, conn)
    assert deliver_response(again, conn, GOOD + b"\r\nno") == (b"no", [None])


@pytest.mark.parametrize(
    "answer",
    [
        GOOD + b"Connection: Close\r\n\r\nok",
        GOOD + b"Connection: x, close\r\n\r\nok",
        GOOD.replace(b"1.1", b"1.0") + b"\r\nok",
        GOOD + b"\r\nokHTTP/1.1 200 OK\r\n\r\n",
        GOOD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ],
    ids=["close", "close-listed", "old-version", "surplus", "both-lengths"],
)
def test_connection_is_closed_after_its_last_response(pool, conn, answer):
    assert deliver_response(conn.request(get()), conn, answer) == (b"ok", [None])
    assert conn.transport.disconnecting
    assert not is_idle(pool, conn)


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n",
        b"HTTP/1.1 2x0 OK\r\n",
    ],
)
def test_malformed_response_fails_the_request(pool, conn, head):
    body, ends = deliver_response(conn.request(get()), conn, head + b"\r\nok")
    assert [end is not None for end in ends] == [True]
    assert body != b"ok"
    assert not is_idle(pool, conn)


WHOLE = GOOD + b"Server: x\r\n\r\nok"


@pytest.mark.parametrize("reason", [ConnectionDone, ConnectionLost])
@pytest.mark.parametrize("n_bytes", range(len(WHOLE)))
def test_response_that_breaks_off_anywhere_is_not_complete(conn, n_bytes, reason):
    """A server that stops in the middle of its head must not look like an answer."""
    ends = []
    sent = conn.request(get())
    sent.addCallback(lambda answer: answer.deliverBody(BodyReader(list, ends.append)))
    sent.addErrback(ends.append)
    conn.dataReceived(WHOLE[:n_bytes])
    conn.connectionLost(Failure(reason()))
    assert [isinstance(end, Failure) for end in ends] == [True]


def test_repeat_at_a_server_that_refused_uses_a_fresh_connection(pool, conn):
    """A faulty server may write its earlier refusal once more on a kept connection.

    It bears the request's id, so a repeat there would be taken for refused again.
    """

    def request():
        return EncodedRequest(b"GET", DATA, echo=Echo(b"X-Request-Id", b"r1"))

    refusal = GOOD.replace(b"200 OK", b"503 Busy") + b"X-Request-Id: r1\r\n\r\nok"
    deliver_response(conn.send(request()), conn, refusal)
    repeat = pool.send(ADDRESS, request(), max_idle_s=1.0)
    repeat.addErrback(lambda _: None)
    assert is_idle(pool, conn)


@pytest.mark.parametrize(
    "start",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Long: ",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    ],
    ids=["status", "header", "value", "chunk-size", "trailer"],
)
def test_bytes_without_end_fail_the_request_and_close_the_connection(pool, conn, start):
    """A server in trouble may send bytes that are no answer until the caller closes."""
    sent = conn.request(get())
    body, ends = deliver_response(sent, conn, start)
    for _ in range(200):
        if conn.transport.disconnected or conn.transport.disconnecting:
            break
        conn.dataReceived(b"x" * 1024)
    assert conn.transport.disconnected or conn.transport.disconnecting
    conn.connectionLost(Failure(ConnectionAborted()))
    assert [end is not None for end in ends] == [True]
    assert body == b""
    assert not is_idle(pool, conn)


def test_unsolicited_bytes_close_an_idle_connection(pool, conn):
    deliver_response(conn.request(get()), conn, GOOD + b"\r\nok")
    conn.dataReceived(b"HTTP/1.1 200 OK\r\n")
    assert conn.transport.disconnected
    assert not is_idle(pool, conn)


def test_long_idle_connection_is_reused_only_for_safe_requests(pool, conn, clock):
    deliver_response(conn.request(get()), conn, GOOD + b"\r\nok")
    clock.advance(2.0)
    pool.close_idle(clock.seconds())
    pool.send(ADDRESS, get(), max_idle_s=1.0).addErrback(lambda _: None)
    assert is_idle(pool, conn)
    pool.send(ADDRESS, get(), max_idle_s=30.0)
    assert not is_idle(pool, conn)


def test_long_idle_connection_is_closed_to_respect_max_open(pool, conn, clock):
    pool._n_open[ADDRESS] = 1
    deliver_response(conn.request(get()), conn, GOOD + b"\r\nok")
    clock.advance(2.0)
    pool.send(ADDRESS, get(), max_idle_s=1.0, max_open=1).addErrback(lambda _: None)
    assert not is_idle(pool, conn)
    assert pool.n_open(ADDRESS) <= 1
    conn.connectionLost(Failure(ConnectionDone()))
    assert pool.n_open(ADDRESS) <= 1


def test_failed_connection_attempt_is_not_counted(pool):
    pool.send(ADDRESS, get(), max_idle_s=1.0).addErrback(lambda _: None).cancel()
    assert pool.n_open(ADDRESS) == 0


@pytest.mark.parametrize(
    ("reason", "after_s", "is_recorded"),
    [
        (ConnectionLost(), 0.01, True),
        (ConnectionDone(), 0.01, True),
        (ConnectionLost(), 0.5, False),
        (ConnectionAborted(), 0.01, False),
    ],
    ids=["reset", "closed", "later", "own-abort"],
)
def test_stale_connection_shortens_the_idle_time(clock, reason, after_s, is_recorded):
    bound = IdleBound(usual_s=1.0)
    pool = ConnectionPool(clock, max_idle_s=30.0, bounds=(bound,))
    conn = ClientConnection(pool, ADDRESS)
    conn.makeConnection(StringTransport())
    deliver_response(conn.request(get()), conn, GOOD + b"\r\nok")
    clock.advance(0.4)
    sent = pool.send(ADDRESS, get(), max_idle_s=1.0)
    sent.addErrback(lambda _: None)
    clock.advance(after_s)
    conn.connectionLost(Failure(reason))
    assert (bound.max_idle_s(clock.seconds()) < 0.4) is is_recorded


def test_connection_idle_for_too_long_is_closed(pool, conn, clock):
    deliver_response(conn.request(get()), conn, GOOD + b"\r\nok")
    clock.advance(31.0)
    pool.close_idle(clock.seconds())
    assert not is_idle(pool, conn)


@pytest.mark.parametrize(
    "outgoing",
    [
        OutgoingRequest(b"GET", b"/", ((b"X-A", b"1\r\nX-B: 2"),), b""),
        OutgoingRequest(b"GET", b"/", ((b"X-A\n", b"1"),), b""),
        OutgoingRequest(b"GET", b"/", ((b"X-A", b"1\0"),), b""),
        OutgoingRequest(b"GET", b"/ HTTP/1.1\r\nX: y", (), b""),
        OutgoingRequest(b"GET", b"/\xff", (), b""),
        OutgoingRequest(b"G T", b"/", (), b""),
    ],
)
def test_request_that_could_be_misparsed_is_rejected(outgoing):
    with pytest.raises(ValueError, match="header|line"):
        encode_head(outgoing, b"h:1")


def test_request_has_host_and_length():
    outgoing = OutgoingRequest(b"POST", b"/a?b", ((b"X-A", b"1"),), b"xy")
    transport = StringTransport()
    req = EncodedRequest(b"POST", encode_head(outgoing, b"h:1"), outgoing.body)
    req.writeTo(transport)
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"POST /a?b HTTP/1.1",
        b"Host: h:1",
        b"X-A: 1",
        b"Content-Length: 2",
    ]
    assert body == b"xy"


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: x\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Line: x\r\n", b" folded\r\n"),
        (CHUNKED + b"2;x=", b"y" * 64),
        (CHUNKED + b"0\r\n", b"X-Trailer: x\r\n"),
    ],
    ids=["interim", "hints", "headers", "folded", "chunk-extension", "trailers"],
)
def test_pieces_without_end_are_not_kept(pool, conn, start, piece):
    """Guards against a server that fills the memory with what is no body."""
    sent = conn.request(get())
    _, ends = deliver_response(sent, conn, start)
    n_bytes = 0
    while n_bytes < 4 * MAX_RESPONSE_HEAD_BYTES and not conn.transport.disconnecting:
        conn.dataReceived(piece)
        n_bytes += len(piece)
        if conn.transport.disconnected:
            break
    assert conn.transport.disconnected or conn.transport.disconnecting
    conn.connectionLost(Failure(ConnectionAborted()))
    assert [end is not None for end in ends] == [True]


def test_body_without_end_waits_for_the_one_who_reads_it(conn):
    """Guards against a daemon that keeps what a slow caller has not read yet."""
    received = []
    sent = conn.request(get())
    reader = BodyReader(received.append, lambda reason: None)
    sent.addCallback(lambda response: response.deliverBody(reader))
    conn.dataReceived(CHUNKED + b"4\r\nbody\r\n")
    reader.transport.pauseProducing()
    assert conn.transport.producerState == "paused"
    reader.transport.resumeProducing()
    assert conn.transport.producerState == "producing"
