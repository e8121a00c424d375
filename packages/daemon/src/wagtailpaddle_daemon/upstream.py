"""Attempts at backend servers over HTTP."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred, fail, succeed
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import RequestNotSent, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH
from wagtailpaddle_core import ensure
from wagtailpaddle_routing import AttemptOutcome, IdleBound

from wagtailpaddle_daemon.connections import (
    MAX_RESPONSE_HEAD_BYTES,
    ConnectionPool,
    EncodedRequest,
    OnCopy,
    ignore_copy,
)
from wagtailpaddle_daemon.echo import NO_ECHO, Echo
from wagtailpaddle_daemon.headers import Header

MAX_SAFE_IDLE_S = 30.0
MAX_UNSAFE_IDLE_S = 1.0
MAX_RESPONSE_HEADERS = 100
VALID_TARGET = re.compile(rb"[\x21-\x7e]+")
VALID_METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})

NOT_SENT_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    error.DNSLookupError,
    RequestNotSent,
)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to a backend server. ``uri`` is the path with the query.

    ``hidden_key`` is the caller's key, which no part of the caller's request may
    contain, or None if there is none. ``added`` are the daemon's own headers.
    """

    method: bytes
    uri: bytes
    headers: tuple[Header, ...]
    body: bytes
    hidden_key: bytes | None = None
    added: tuple[Header, ...] = ()

    @property
    def shows_key(self) -> bool:
        """Whether the server would see the caller's key."""
        key = self.hidden_key
        if key is None:
            return False
        headers = (item for header in self.headers for item in header)
        return any(key in part for part in (self.uri, self.body, *headers))


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a backend server's response.

    ``length`` is the announced number of bytes of the body, or None.
    """

    status: int
    phrase: bytes
    headers: tuple[Header, ...]
    length: int | None


class Upstream:
    """Sends attempts over pooled connections, without retries of its own.

    Requests with unsafe methods reuse a connection only after a short idle time,
    so that they seldom use one that the server is just closing. If servers close
    idle connections sooner, the allowed idle time is shortened for all requests.
    """

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._safe = IdleBound(usual_s=MAX_SAFE_IDLE_S)
        self._unsafe = IdleBound(usual_s=MAX_UNSAFE_IDLE_S)
        self._connections = ConnectionPool(
            reactor, max_idle_s=MAX_SAFE_IDLE_S, bounds=(self._safe, self._unsafe)
        )

    def send(
        self,
        address: str,
        port: int,
        outgoing: OutgoingRequest,
        *,
        max_open: int = 1,
        echo: Echo = NO_ECHO,
        on_copy: OnCopy = ignore_copy,
    ) -> Deferred[Any]:
        """Return the next response to ``outgoing``; cancelling closes the connection.

        A copy of a response to an earlier request on the connection is passed over and
        given to ``on_copy``. Any other response that is not its own by ``echo`` is
        returned, and its connection is not used again.
        Connections to the server stay open for reuse up to ``max_open`` in number.

        Raises ``InvariantError`` if the request shows its caller's key.
        """
        try:
            head = encode_head(outgoing, b"%s:%d" % (address.encode(), port))
        except ValueError as exc:
            return fail(RequestNotSent(str(exc)))
        ensure(not outgoing.shows_key, "server-sees-no-key", server=(address, port))
        req = EncodedRequest(
            outgoing.method, head, outgoing.body, echo=echo, on_copy=on_copy
        )
        bound = self._safe if outgoing.method in SAFE_METHODS else self._unsafe
        idle_s = bound.max_idle_s(self._reactor.seconds())
        return self._connections.send(
            (address, port),
            req,
            max_idle_s=idle_s,
            max_open=max_open,
        )

    def close_idle(self, now: float) -> None:
        """Close connections that were idle for too long."""
        self._connections.close_idle(now)


def encode_head(outgoing: OutgoingRequest, host: bytes) -> bytes:
    """Return the head of a request, with the empty line behind it.

    ``host`` is used if there is no ``Host`` header. Raises ``ValueError`` if the
    request line or a header is malformed or contains a line break, which would
    allow request smuggling.
    """
    lines = [b"%s %s HTTP/1.1" % (outgoing.method, outgoing.uri)]
    if not any(name.lower() == b"host" for name, _ in outgoing.headers):
        lines.append(b"Host: " + host)
    headers = (*outgoing.headers, *outgoing.added)
    lines += [b"%s: %s" % header for header in headers]
    if outgoing.body or outgoing.method not in SAFE_METHODS:
        lines.append(b"Content-Length: %d" % len(outgoing.body))
    head = b"\r\n".join(lines)
    n_ends = len(lines) - 1
    if not (head.count(b"\r") == head.count(b"\n") == n_ends) or b"\0" in head:
        raise ValueError("a header contains a line break or NUL")
    if not VALID_TARGET.fullmatch(outgoing.uri) or not VALID_METHOD.fullmatch(
        outgoing.method
    ):
        raise ValueError("the request line is malformed")
    return head + b"\r\n\r\n"


class BytesProducer:
    """A body producer of given bytes, for ``twisted.web.client.Agent``."""

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body at once."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; everything is written already."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; everything is written already."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; everything is written already."""


class BodyReader(Protocol):
    """Passes each chunk of a response's body to ``data``.

    At the end ``done`` is called with None, or with the failure if the body is
    incomplete. A body without a length ends with its connection: it is complete if
    ``was_closed`` returns that the server closed the connection, and did not reset it.
    """

    def __init__(
        self,
        data: Callable[[bytes], None],
        done: Callable[[Any], None],
        was_closed: Callable[[], bool] = lambda: False,
    ):
        self._data = data
        self._done = done
        self._was_closed = was_closed

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on one chunk."""
        self._data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the end of a complete or an incomplete response."""
        is_ended_by_close = reason.check(PotentialDataLoss) and self._was_closed()
        is_complete = reason.check(ResponseDone) or is_ended_by_close
        self._done(None if is_complete else reason)

    def abort(self) -> None:
        """Close the connection to the server."""
        if self.transport is None:
            return
        connection = getattr(self.transport, "_producer", None)
        if connection is not None:
            connection.abortConnection()


def discard(response: Any) -> None:
    """Read nothing more of a response, and close its connection if it has not ended."""
    reader = BodyReader(lambda data: None, lambda reason: None)
    response.deliverBody(reader)
    reader.abort()


def make_response_head(response: Any, headers: tuple[Header, ...]) -> ResponseHead:
    """Return the head of a response, with ``headers`` instead of its own."""
    length = None if response.length is UNKNOWN_LENGTH else response.length
    return ResponseHead(response.code, response.phrase, headers, length)


def iter_headers(headers: Headers) -> Iterable[Header]:
    """Yield each header as a pair of name and value."""
    for name, values in headers.getAllRawHeaders():
        for value in values:
            yield name, value


def is_oversized(headers: tuple[Header, ...]) -> bool:
    """Return whether a response's headers exceed the limits for passing it on."""
    n_bytes = sum(len(name) + len(value) for name, value in headers)
    return len(headers) > MAX_RESPONSE_HEADERS or n_bytes > MAX_RESPONSE_HEAD_BYTES


def classify_failure(failure: Failure) -> AttemptOutcome:
    """Return the outcome of a failed attempt: not sent, timed out or failed.

    Only an attempt that was not sent is sure not to have run.
    """
    if failure.check(CancelledError):
        return AttemptOutcome.TIMED_OUT
    if failure.check(*NOT_SENT_ERRORS):
        return AttemptOutcome.NOT_SENT
    return AttemptOutcome.FAILED
