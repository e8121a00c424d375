"""Attempts at backend servers over HTTP."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from wagtailpaddle_routing import AttemptOutcome
from zope.interface import implementer

from wagtailpaddle_daemon.headers import Header

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTIONS = 8
IDLE_S = 30.0

NOT_SENT_ERRORS = (
    error.ConnectError,
    error.ConnectionRefusedError,
    error.TCPTimedOutError,
    error.NoRouteError,
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
    """Status and headers of a backend server's answer."""

    status: int
    phrase: bytes
    headers: tuple[Header, ...]


class Upstream:
    """Sends attempts over pooled connections that are never retried unseen."""

    def __init__(self, reactor: Any):
        pool = HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = IDLE_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_S
        self._agent = Agent.usingEndpointFactory(
            reactor, _EndpointFactory(reactor), pool=pool
        )

    def send(self, address: str, port: int, out: Outgoing) -> Deferred[Any]:
        """Return the response to ``out``; cancelling closes the connection."""
        headers = Headers()
        for name, value in out.headers:
            headers.addRawHeader(name, value)
        uri = b"http://%s:%d%s" % (address.encode(), port, out.uri)
        producer = _Body(out.body) if out.body else None
        return self._agent.request(out.method, uri, headers, producer)


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


class _Body:
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
        if self.transport is not None:
            self.transport.abortConnection()


def answer_headers(headers: Headers) -> Iterable[Header]:
    """Return the headers of an answer one by one."""
    for name, values in headers.getAllRawHeaders():
        for value in values:
            yield name, value


def classify(failure: Failure) -> AttemptOutcome:
    """Return what a failed attempt means: not sent, or perhaps run."""
    if failure.check(CancelledError):
        return AttemptOutcome.TIMED_OUT
    if failure.check(*NOT_SENT_ERRORS):
        return AttemptOutcome.NOT_SENT
    return AttemptOutcome.FAILED
