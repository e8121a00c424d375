"""A pool of persistent HTTP/1.1 connections to backend servers.

``twisted.web`` encodes and decodes the messages. This module chooses the
connection of each request, without the timers and Deferreds of Twisted's pool.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.web._newclient import HEADER, STATUS
from wagtailpaddle_core import ensure
from wagtailpaddle_routing import IdleBound

from wagtailpaddle_daemon.echo import NO_ECHO, CarriedIds, Echo, Match
from wagtailpaddle_daemon.late_copies import SkippingParser
from wagtailpaddle_daemon.strict_client import StrictClientProtocol

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 16
REFUSAL_STATUSES = frozenset({408, 421, 425, 429, *range(500, 600)})
"""The statuses with which a server may state that a request did not run."""

MAX_RESPONSE_HEAD_BYTES = 65536
PIECE_BYTES = 262_144
STALE_WITHIN_S = 0.1
"""A reused connection that the server closes this soon after a request was stale:
it was closed before the request arrived."""

Address = tuple[str, int]

OnCopy = Callable[[Any], None]
"""Is told of the copy of an earlier response that was passed over."""


def ignore_copy(response: Any) -> None:
    """Do nothing."""


class OversizedHeadError(Exception):
    """The headers of a backend server's response exceed the limit."""


class EncodedRequest:
    """An encoded request, with the interface that Twisted's client protocol needs.

    From ``method`` the protocol knows whether the response has a body. ``echo``
    tells from a response's headers whether it belongs to this request. ``carried``
    are the ids whose responses may come once more before the one to this request, and
    ``may_skip`` states whether such copies can be passed over.
    """

    persistent = True
    absoluteURI = None  # noqa: N815
    headers = None

    def __init__(
        self,
        method: bytes,
        head: bytes,
        body: bytes = b"",
        *,
        echo: Echo = NO_ECHO,
        on_copy: OnCopy = ignore_copy,
    ):
        self.method = method
        self.echo = echo
        self.on_copy = on_copy
        self.carried = CarriedIds()
        self.may_skip = True
        self._head = head
        self._body = body
        self._writer: PieceWriter | None = None

    @property
    def is_written(self) -> bool:
        """Whether the whole request was given to the transport."""
        return self._writer is None or self._writer.is_done

    def is_copy(self, headers: Any) -> bool:
        """Return whether a response is a copy of an earlier one on the connection."""
        return self.echo.match(headers, self.carried) is Match.COPY

    def writeTo(self, transport: Any) -> Deferred[None]:  # noqa: N802
        """Write the request; a large body follows at the pace of the connection.

        The response is awaited from now on, as a server may respond before it has
        read the body.
        """
        if len(self._body) <= PIECE_BYTES:
            transport.write(self._head + self._body)
            return succeed(None)
        transport.write(self._head)
        self._writer = PieceWriter(transport, self._body)
        self._writer.start()
        return succeed(None)

    def stopWriting(self) -> None:  # noqa: N802
        """Do nothing; the connection stops the writer when it is lost."""


class PieceWriter:
    """Writes a body in pieces, so that the transport holds no second copy of it."""

    def __init__(self, transport: Any, body: bytes):
        self._transport = transport
        self._body = memoryview(body)
        self.is_done = False

    def start(self) -> None:
        """Write the first piece, and the others as the transport sends them."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next piece."""
        self._transport.write(bytes(self._body[:PIECE_BYTES]))
        self._body = self._body[PIECE_BYTES:]
        if not self._body:
            self.is_done = True
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Write no more, as the connection is lost."""
        self._body = memoryview(b"")


class ClientConnection(StrictClientProtocol):
    """A connection that bounds the headers and rejects surplus bytes.

    It carries no request id twice: a server may send a response once more, and the id
    would not tell the copy from the response to the repeat.
    It is not reused after surplus bytes behind a response, after bytes that
    arrive without a request, or if the response states in any way that the
    server closes the connection, nor after a response to another request: the
    one to this request may still come.
    """

    parser_class = SkippingParser
    _n_head_bytes = 0
    _has_carried_head = False
    idle_since = 0.0
    reused_at: float | None = None
    is_removed = False
    was_closed = False
    """Whether the server closed the connection, rather than reset it."""

    def __init__(self, pool: "ConnectionPool", address: Address):
        super().__init__(self._on_response_finished)
        self._pool = pool
        self.address = address
        self.carried = CarriedIds()

    def send(self, req: EncodedRequest) -> Deferred[Any]:
        """Return the response to ``req``; its ``connection`` is this connection."""

        def add_connection(response: Any) -> Any:
            response.connection = self
            return response

        request_id = req.echo.request_id
        if request_id:
            ensure(
                request_id not in self.carried,
                "connection-carries-id-once",
                server=self.address,
            )
            self.carried.add(request_id)
        # The copy of a response to HEAD states the length of a body that it lacks.
        self._has_carried_head |= req.method == b"HEAD"
        req.carried = self.carried
        req.may_skip = not self._has_carried_head
        return self.request(req).addCallback(add_connection)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a piece of the response; close on bytes without a request."""
        self.reused_at = None
        if self._parser is None:
            self.close()
            return
        parser = self._parser
        super().dataReceived(data)
        # The end of a response may send the next request, whose head is yet to come.
        if self._parser is not parser or parser.state not in (STATUS, HEADER):
            self._n_head_bytes = 0
            return
        self._n_head_bytes += len(data)
        if self._n_head_bytes > MAX_RESPONSE_HEAD_BYTES:
            self._giveUp(Failure(OversizedHeadError("response headers too large")))

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Remove the connection from the pool and fail its pending request."""
        self.was_closed = reason.check(ConnectionDone) is not None
        if not reason.check(ConnectionAborted):
            self._pool.on_remote_close(self)
        self._pool.remove(self)
        super().connectionLost(reason)

    def close(self) -> None:
        """Close the connection; it must have no request."""
        self._pool.remove(self)
        self.transport.abortConnection()

    def _finishResponse_WAITING(self, rest: bytes) -> None:  # noqa: N802
        req = self._currentRequest
        if req is not None and (rest or not req.is_written or self._must_close(req)):
            req.persistent = False
        super()._finishResponse_WAITING(rest)

    _finishResponse_TRANSMITTING = _finishResponse_WAITING  # noqa: N815

    def _must_close(self, req: EncodedRequest) -> bool:
        if self._parser is None or self._parser.response.version != (b"HTTP", 1, 1):
            return True
        response = self._parser.response
        if not req.echo.is_own(response.headers):
            return True
        if response.code in REFUSAL_STATUSES and not req.echo.echoed(response.headers):
            # A late copy of it could not be told from the next response.
            return True
        headers = self._parser.connHeaders
        if headers.hasHeader(b"Transfer-Encoding") and headers.hasHeader(
            b"Content-Length"
        ):
            return True
        values = headers.getRawHeaders(b"Connection", ())
        return any(b"close" in value.lower() for value in values)

    def _on_response_finished(self, _: Any) -> None:
        self._pool.add_idle(self)


class _ClientFactory(Factory):
    noisy = False

    def __init__(self, pool: "ConnectionPool", address: Address):
        self._pool = pool
        self._address = address

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802
        return ClientConnection(self._pool, self._address)


class ConnectionPool:
    """A pool of connections by address of the backend server.

    A request is never sent a second time. At most ``max_open`` connections to one
    address are open as long as at most that many requests are in flight there:
    if an idle connection is too old for a request, it is closed before a new one
    is opened.
    """

    def __init__(
        self, reactor: Any, *, max_idle_s: float, bounds: Iterable[IdleBound] = ()
    ):
        self._reactor = reactor
        self._max_idle_s = max_idle_s
        self._bounds = tuple(bounds)
        self._idle: dict[Address, deque[ClientConnection]] = {}
        self._n_open: Counter[Address] = Counter()

    def n_open(self, address: Address) -> int:
        """Return the number of connections to a server, with those being opened."""
        return self._n_open[address]

    def send(
        self,
        address: Address,
        req: EncodedRequest,
        *,
        max_idle_s: float,
        max_open: int = MAX_IDLE_CONNECTIONS,
    ) -> Deferred[Any]:
        """Return the response to ``req``; cancelling closes the connection.

        A connection is reused only if it was idle for at most ``max_idle_s``
        seconds and has not carried the request's id.
        """
        now = self._reactor.seconds()
        conn = self._pop_idle(address, req.echo.request_id, now - max_idle_s)
        if conn is not None:
            conn.reused_at = now
            return conn.send(req)
        idle = self._idle.get(address)
        if idle and self._n_open[address] >= max_open:
            idle[0].close()
        self._n_open[address] += 1
        endpoint = TCP4ClientEndpoint(self._reactor, *address, CONNECT_TIMEOUT_S)
        connecting = endpoint.connect(_ClientFactory(self, address))
        connecting.addCallbacks(
            lambda conn: conn.send(req),
            self._on_connect_failed,
            errbackArgs=(address,),
        )
        return connecting

    def _pop_idle(
        self, address: Address, request_id: bytes, min_idle_since: float
    ) -> ClientConnection | None:
        """Remove and return the connection used last that may carry the request."""
        idle = self._idle.get(address, deque())
        for conn in reversed(idle):
            if conn.idle_since < min_idle_since:
                return None
            if request_id not in conn.carried:
                idle.remove(conn)
                return conn
        return None

    def on_remote_close(self, conn: ClientConnection) -> None:
        """Handle a connection that the server closed.

        If it was stale when it was reused, record the idle time after which the
        server closes connections.
        """
        now = self._reactor.seconds()
        if conn.reused_at is None or now - conn.reused_at > STALE_WITHIN_S:
            return
        for bound in self._bounds:
            bound.record_loss(now, idle_s=conn.reused_at - conn.idle_since)

    def _on_connect_failed(self, failure: Failure, address: Address) -> Failure:
        self._decrement_open(address)
        return failure

    def _decrement_open(self, address: Address) -> None:
        self._n_open[address] -= 1
        if self._n_open[address] <= 0:
            del self._n_open[address]

    def add_idle(self, conn: ClientConnection) -> None:
        """Add a connection whose response is complete to the idle ones.

        One that has carried as many requests as it may is closed. The others are
        ordered by the time of last use, the latest last.
        """
        if conn.carried.is_full:
            conn.close()
            return
        idle = self._idle.setdefault(conn.address, deque())
        conn.idle_since = self._reactor.seconds()
        idle.append(conn)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle[0].close()

    def remove(self, conn: ClientConnection) -> None:
        """Remove a connection that is lost or must not be reused."""
        if not conn.is_removed:
            conn.is_removed = True
            self._decrement_open(conn.address)
        idle = self._idle.get(conn.address)
        if idle is not None and conn in idle:
            idle.remove(conn)
        if not idle:
            self._idle.pop(conn.address, None)

    def close_idle(self, now: float) -> None:
        """Close connections idle for too long; call this about once a second."""
        min_idle_since = now - self._max_idle_s
        for idle in tuple(self._idle.values()):
            for conn in tuple(idle):
                if conn.idle_since >= min_idle_since:
                    break
                conn.close()
