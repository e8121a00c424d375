"""Attempts at backend servers over HTTP."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HEADER, STATUS, HTTP11ClientProtocol
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    ResponseDone,
    _HTTP11ClientFactory,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IAgentEndpointFactory
from wagtailpaddle_core import ensure
from wagtailpaddle_routing import AttemptOutcome
from zope.interface import implementer

from wagtailpaddle_daemon.headers import Header
from wagtailpaddle_daemon.secrets import has_key_form

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTIONS = 16
SAFE_IDLE_S = 30.0
UNSAFE_IDLE_S = 1.0
MAX_ANSWER_HEAD_BYTES = 65536
MAX_ANSWER_HEADERS = 100
SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})

NOT_SENT_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    error.DNSLookupError,
    RequestNotSent,
)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it goes to a backend server. ``uri`` is path and query."""

    method: bytes
    uri: bytes
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of a backend server's answer.

    ``length`` is the number of bytes of the body that were announced, or None.
    """

    status: int
    phrase: bytes
    headers: tuple[Header, ...]
    length: int | None


class Upstream:
    """Sends attempts over pooled connections that are never retried unseen.

    Requests that must not run twice use connections that were idle for a short
    time only, so that they seldom meet one that the server is just closing.
    """

    def __init__(self, reactor: Any):
        endpoints = _EndpointFactory(reactor)
        self._safe = make_agent(reactor, endpoints, idle_s=SAFE_IDLE_S)
        self._unsafe = make_agent(reactor, endpoints, idle_s=UNSAFE_IDLE_S)

    def send(self, address: str, port: int, out: Outgoing) -> Deferred[Any]:
        """Return the response to ``out``; cancelling closes the connection.

        Raises ``InvariantError`` if ``out`` carries an issued key.
        """
        ensure(not carries_key(out), "server-sees-no-key", server=f"{address}:{port}")
        headers = Headers()
        for name, value in out.headers:
            headers.addRawHeader(name, value)
        uri = b"http://%s:%d%s" % (address.encode(), port, out.uri)
        producer = BytesProducer(out.body) if out.body else None
        agent = self._safe if out.method in SAFE_METHODS else self._unsafe
        return agent.request(out.method, uri, headers, producer)


def make_agent(reactor: Any, endpoints: "_EndpointFactory", *, idle_s: float) -> Agent:
    """Return an agent that keeps idle connections for ``idle_s`` seconds."""
    pool = HTTPConnectionPool(reactor)
    pool._factory = _ClientFactory
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = IDLE_CONNECTIONS
    pool.cachedConnectionTimeout = idle_s
    return Agent.usingEndpointFactory(reactor, endpoints, pool=pool)


class _ClientProtocol(HTTP11ClientProtocol):
    """A connection that bounds headers and trusts no surplus bytes.

    It is not used again if more than one answer came.
    """

    _n_head_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        super().dataReceived(data)
        if self._parser is None or self._parser.state not in (STATUS, HEADER):
            self._n_head_bytes = 0
            return
        self._n_head_bytes += len(data)
        if self._n_head_bytes > MAX_ANSWER_HEAD_BYTES:
            self._giveUp(Failure(OversizedHeadError("the answer's headers")))

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING  # noqa: N815


class OversizedHeadError(Exception):
    """The headers of a backend server's answer exceed the limit."""


class _ClientFactory(_HTTP11ClientFactory):
    def buildProtocol(self, addr: Any) -> _ClientProtocol:  # noqa: N802
        return _ClientProtocol(self._quiescentCallback)


@implementer(IAgentEndpointFactory)
class _EndpointFactory:
    """Makes endpoints for IP addresses, without a name look-up."""

    def __init__(self, reactor: Any):
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:  # noqa: N802
        """Return the endpoint of a backend server."""
        return TCP4ClientEndpoint(
            self._reactor, uri.host.decode("ascii"), uri.port, CONNECT_TIMEOUT_S
        )


class BytesProducer:
    """A body that is at hand as bytes."""

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write everything at once."""
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Nothing is left to resume."""

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing is left to stop."""


class BodyReader(Protocol):
    """Hands on an answer's body as it comes; ``done`` gets None or a failure."""

    def __init__(self, data: Callable[[bytes], None], done: Callable[[Any], None]):
        self._data = data
        self._done = done

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand on one piece."""
        self._data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the end: only ``ResponseDone`` is a whole answer."""
        self._done(None if reason.check(ResponseDone) else reason)

    def abort(self) -> None:
        """Close the connection to the server."""
        if self.transport is None:
            return
        connection = getattr(self.transport, "_producer", None)
        if connection is not None:
            connection.abortConnection()


def carries_key(out: Outgoing) -> bool:
    """Return whether anything in a request has the form of an issued key."""
    if has_key_form(out.uri) or has_key_form(out.body):
        return True
    return any(has_key_form(name) or has_key_form(value) for name, value in out.headers)


def read_head(response: Any, headers: tuple[Header, ...]) -> AnswerHead:
    """Return the head of a response, with ``headers`` in place of its own."""
    length = None if response.length is UNKNOWN_LENGTH else response.length
    return AnswerHead(response.code, response.phrase, headers, length)


def list_headers(headers: Headers) -> Iterable[Header]:
    """Return headers one by one."""
    for name, values in headers.getAllRawHeaders():
        for value in values:
            yield name, value


def is_oversized(headers: tuple[Header, ...]) -> bool:
    """Return whether an answer has more headers than are passed on."""
    n_bytes = sum(len(name) + len(value) for name, value in headers)
    return len(headers) > MAX_ANSWER_HEADERS or n_bytes > MAX_ANSWER_HEAD_BYTES


def classify(failure: Failure) -> AttemptOutcome:
    """Return what a failed attempt means: not sent, or perhaps run."""
    if failure.check(CancelledError):
        return AttemptOutcome.TIMED_OUT
    if failure.check(*NOT_SENT_ERRORS):
        return AttemptOutcome.NOT_SENT
    return AttemptOutcome.FAILED
