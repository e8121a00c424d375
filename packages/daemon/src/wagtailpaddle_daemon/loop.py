"""The event loop: an asyncio reactor whose TCP transports write early.

Twisted's transports wait for writability and send after the next poll. Here,
data written during a read event is sent at the end of that event, which saves
one poll and two changes of the poll set per message.
"""

import socket
from typing import Any

from twisted.internet import tcp
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor

from wagtailpaddle_daemon.clock import now

RECEIVE_BUFFER_BYTES = 32768
"""Value of SO_RCVBUF for accepted connections; Linux allocates twice as much."""

ACCEPTS_PER_TURN = 16
"""Connections that a port accepts before those closed in their favour are gone."""


class Flusher:
    """Collects the transports that are written to during one read event."""

    def __init__(self) -> None:
        self.active = False
        self._transports: list[Any] = []

    def add(self, transport: Any) -> None:
        """Add a transport that has data to send."""
        self._transports.append(transport)

    def flush(self) -> None:
        """Send the buffered data; what the sockets refuse waits for the poll."""
        while self._transports:
            transports = self._transports
            self._transports = []
            for transport in transports:
                transport.flush()


class _EarlyWrites:
    """Mixin for a TCP transport that sends at the end of a read event.

    It counts what the kernel has taken and what it has not taken yet.
    """

    reactor: Any
    connected: bool
    n_sent_bytes = 0
    _queued = False

    @property
    def n_unsent_bytes(self) -> int:
        """How many bytes the kernel has not taken yet."""
        n_joined = len(self.dataBuffer) - self.offset  # type: ignore[attr-defined]
        return n_joined + self._tempDataLen  # type: ignore[attr-defined, no-any-return]

    def writeSomeData(self, data: Any) -> Any:  # noqa: N802
        """Send what the kernel takes, and count it."""
        sent = super().writeSomeData(data)  # type: ignore[misc]
        if isinstance(sent, int) and sent > 0:
            self.n_sent_bytes += sent
        return sent

    def doRead(self) -> Any:  # noqa: N802
        """Read, then send what was written in response."""
        flusher = self.reactor.flusher
        if flusher.active:
            return super().doRead()  # type: ignore[misc]
        flusher.active = True
        try:
            return super().doRead()  # type: ignore[misc]
        finally:
            flusher.active = False
            flusher.flush()

    def startWriting(self) -> None:  # noqa: N802
        """Queue for the end of the read event; outside one, wait for writability."""
        flusher = self.reactor.flusher
        if not flusher.active:
            super().startWriting()  # type: ignore[misc]
        elif not self._queued:
            self._queued = True
            flusher.add(self)

    def flush(self) -> None:
        """Send now; data that cannot be sent waits for writability."""
        self._queued = False
        if not self.connected:
            return
        result = self.doWrite()  # type: ignore[attr-defined]
        if result is not None or self.dataBuffer or self._tempDataBuffer:  # type: ignore[attr-defined]
            super().startWriting()  # type: ignore[misc]


class _Server(_EarlyWrites, tcp.Server):
    pass


class _Client(_EarlyWrites, tcp.Client):
    pass


class _Port(tcp.Port):
    """A port that accepts at most ``max_accepts`` connections a turn.

    A connection that is closed keeps its descriptor until the next turn of the loop.
    Twisted accepts 100 connections a turn and more, all of which would count twice
    while others are closed in their favour.
    """

    transport = _Server
    numberAccepts: int  # noqa: N815
    max_accepts = ACCEPTS_PER_TURN

    def doRead(self) -> None:  # noqa: N802
        """Accept some of the connections in the kernel's queue."""
        self.numberAccepts = min(self.numberAccepts, self.max_accepts)
        super().doRead()

    def createInternetSocket(self) -> Any:  # noqa: N802
        """Return a socket whose connections let the kernel keep little unread."""
        sock = super().createInternetSocket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return sock


class _Connector(tcp.Connector):
    def _makeTransport(self) -> Any:  # noqa: N802
        return _Client(self.host, self.port, self.bindAddress, self, self.reactor)


class ProxyReactor(AsyncioSelectorReactor):
    """The reactor of the daemon."""

    def __init__(self) -> None:
        super().__init__()
        self.flusher = Flusher()

    def seconds(self) -> float:
        """Return the daemon's time; the wall clock jumps when it is set."""
        return now()

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        """Listen for TCP connections."""
        listener = _Port(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> Any:
        """Open a TCP connection."""
        connector = _Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector


def install() -> ProxyReactor:
    """Make a ``ProxyReactor`` the reactor of this process and return it."""
    reactor = ProxyReactor()
    installReactor(reactor)
    return reactor
