"""A client's connection whose memory is accounted for."""

import socket
from typing import Any

from twisted.protocols.basic import LineReceiver
from twisted.web import http
from wagtailpaddle_resources import ConnectionId, Phase

CONNECTION_BYTES = 16_000
"""Memory of an open connection, without what it sent."""

REQUEST_BYTES = 8_000
FIELD_BYTES = 400
"""Memory of a parsed header field, beside its text."""

HEAD_COPIES = 3
"""A head is kept as text, as fields, and as it goes out to a server."""

KERNEL_BYTES = 64_000
"""What the kernel may hold of a connection that is not read."""

DISCARD_S = 2.0
"""How long input is read and discarded after the last response of a connection."""

REQUESTS_PER_TURN = 8
"""Requests of one connection that are answered before others get their turn."""

MIN_FIELD_BYTES = 4
TCP_CLOSE_WAIT = 8
"""State of a connection whose peer has closed it, in Linux."""


class GuardedChannel(http.HTTPChannel):
    """A client's connection, known to the ``ClientGuard`` of its factory.

    Input behind a request is parsed only once the response has gone out, a few
    requests a turn of the event loop. ``receiving_since`` is when the first bytes of
    an incomplete request arrived, ``received_at`` when the latest did.
    """

    receiving_since: float | None = None
    received_at = 0.0
    is_closing = False
    is_removed = False
    _is_reading_paused = False
    _n_answered = 0
    _n_sent = 0

    def __init__(self) -> None:
        super().__init__()
        self.id = ConnectionId(id(self))

    # Events of the connection

    def connectionMade(self) -> None:  # noqa: N802
        """Start to serve the connection, unless no other can be closed for it."""
        super().connectionMade()
        self.received_at = self.guard.now()
        self.maxHeaders = self.totalHeadersSize // MIN_FIELD_BYTES
        self.guard.admit(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a piece of a request; ignore it once the connection closes."""
        if self.is_closing or self.is_removed:
            return
        if self.receiving_since is not None:
            self.guard.record_moved(self, len(data))
        self._note_input()
        super().dataReceived(data)
        # A request that arrived whole was accounted for when it was processed.
        if self.receiving_since is not None or self._has_input:
            may_keep = self.guard.update(self)
            if self.receiving_since is not None and not self.is_closing:
                self._check_incomplete(may_keep=may_keep)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Handle the loss of the connection."""
        self.is_removed = True
        self.guard.discard(self)
        super().connectionLost(reason)

    def on_request_received(self) -> None:
        """Note that the request has arrived completely."""
        self.receiving_since = None

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Go on to the next request, unless this response closes the connection.

        The client takes the requests behind such a response as not read and sends
        them again, whatever their kind. So they are discarded.
        """
        if not self.persistent and (self._has_input or self._is_receiving_body):
            self.requests.remove(request)
            self._discard_input()
            return
        self._n_answered = self._n_answered + 1 if self._has_input else 0
        must_wait = self._waitingForTransport or self._n_answered >= REQUESTS_PER_TURN
        self.paused = bool(self._has_input and must_wait)
        super().requestDone(request)
        if self.paused:
            self._yield_to_others()
        self.guard.update(self)

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on, as the client has read what was sent."""
        super().resumeProducing()
        if self.paused:
            self.callLater(0, self._resume_parsing)

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_removed = True
        self.transport.abortConnection()

    def refuse_and_close(self) -> None:
        """Close the connection, which must have no request."""
        if not self.is_closing:
            self.is_closing = True
            self.transport.loseConnection()

    # Accounting

    def receive_timer_start(self) -> float:
        """Return when the receive time-out began.

        That is with the first bytes of a head, or with the last ones of a body.
        """
        if not self.line_mode or self.receiving_since is None:
            return self.received_at
        return self.receiving_since

    @property
    def phase(self) -> Phase:
        """What the connection does.

        One with requests ahead and none at work counts as receiving.
        """
        if self._handlingRequest and self.requests:
            return Phase.SENDING if self.n_unsent_bytes else Phase.WORKING
        if self.receiving_since is not None or self._has_input:
            return Phase.RECEIVING
        return Phase.SENDING if self.n_unsent_bytes else Phase.IDLE

    @property
    def n_unsent_bytes(self) -> int:
        """How much of the responses the kernel has not taken yet."""
        return getattr(self.transport, "n_unsent_bytes", 0)

    def held_bytes(self) -> int:
        """Return the memory that this connection takes."""
        n_bytes = CONNECTION_BYTES + self.n_unsent_bytes + len(self._buffer)
        n_bytes += self._receivedHeaderSize + self._receivedHeaderCount * FIELD_BYTES
        for data in self._dataBuffer:
            n_bytes += len(data)
        for request in self.requests:
            n_bytes += request.held_bytes
        return n_bytes + (KERNEL_BYTES if self._is_reading_paused else 0)

    def pop_sent_bytes(self) -> int:
        """Return how much the client has taken since the last call."""
        n_sent = getattr(self.transport, "n_sent_bytes", 0)
        moved = n_sent - self._n_sent
        self._n_sent = n_sent
        return moved

    def head_bytes(self) -> int:
        """Return the memory of the head that was just received."""
        text = HEAD_COPIES * self._receivedHeaderSize
        return REQUEST_BYTES + text + FIELD_BYTES * self._receivedHeaderCount

    @property
    def _is_receiving_body(self) -> bool:
        return not self.line_mode and not self._handlingRequest

    def _check_incomplete(self, *, may_keep: bool) -> None:
        """Refuse the request that is being received, if it is known to be refused.

        Without memory for its head the connection is closed.
        """
        if not self._is_receiving_body:
            if not may_keep:
                self.guard.ledger.count_refusal()
                self.abort()
            return
        request = self.requests[-1]
        if not may_keep:
            self.guard.ledger.count_refusal()
            request.refuse_body()
        if request.must_refuse:
            request.refuse_unread()

    def is_abandoned(self) -> bool:
        """Return whether the client has closed behind input that is not read yet."""
        return self._has_input and has_peer_closed(self.transport)

    # Flow control

    def _note_input(self) -> None:
        """Note that a request begins or goes on to arrive."""
        self.received_at = self.guard.now()
        if self.receiving_since is None and not self._handlingRequest:
            self.receiving_since = self.received_at

    @property
    def _has_input(self) -> bool:
        return bool(self._buffer) or any(self._dataBuffer)

    def _yield_to_others(self) -> None:
        """Parse no more input until others had their turn and the client has read."""
        self._pause_reading()
        if not self._waitingForTransport:
            self.callLater(0, self._resume_parsing)

    def _resume_parsing(self) -> None:
        if self.is_removed or self.is_closing or not self.paused:
            return
        self.paused = False
        self._n_answered = 0
        self._resume_reading()
        self._note_input()
        LineReceiver.dataReceived(self, b"")
        self.guard.update(self)

    def _pause_reading(self) -> None:
        self._is_reading_paused = True
        self._networkProducer.pauseProducing()

    def _resume_reading(self) -> None:
        self._is_reading_paused = False
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()

    def _discard_input(self) -> None:
        """Close for writing, and read until the client closes or time is up.

        Closing at once would reset the connection, as bytes are unread, and the
        response might be lost with it.
        """
        self.is_closing = True
        self.receiving_since = None
        self._dataBuffer.clear()
        self.clearLineBuffer()
        self._networkProducer.unregisterProducer()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()
        self._abortingCall = self.callLater(DISCARD_S, self._end_discarding)
        self.guard.update(self)

    def _end_discarding(self) -> None:
        """Close the connection, unless the client still reads the last response."""
        if self.n_unsent_bytes:
            self._abortingCall = self.callLater(DISCARD_S, self._end_discarding)
        else:
            self.forceAbortClient()


def has_peer_closed(transport: Any) -> bool:
    """Return whether the peer of a connection that is not being read has closed it."""
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return False
    try:
        state = get_handle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(state) and state[0] == TCP_CLOSE_WAIT
