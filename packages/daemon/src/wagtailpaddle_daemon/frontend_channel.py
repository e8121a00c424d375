"""The protocol of a caller's connection."""

from typing import Any

from twisted.web import http

from wagtailpaddle_daemon.problems import draining_response


class FrontendChannel(http.HTTPChannel):
    """A caller's connection.

    ``receiving_since`` is the time at which the first bytes of an incomplete
    request arrived, so that slow senders can be disconnected.
    """

    receiving_since: float | None = None
    last_received_at = 0.0
    is_closing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Start to serve the connection, or close it if too many are open."""
        super().connectionMade()
        self.last_received_at = self.factory.seconds()
        if not self.factory.admit(self):
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a piece of a request; ignore it after ``refuse_and_close``."""
        if self.is_closing:
            return
        self.last_received_at = self.factory.seconds()
        if self.receiving_since is None and not self._handlingRequest:
            self.receiving_since = self.last_received_at
        super().dataReceived(data)

    def refuse_and_close(self) -> None:
        """Send a refusal as the last response and close the connection.

        The connection must have no request. A request that the caller sends at
        the same moment is never run, and the caller reads the refusal as its
        response; a mere close would leave it unknown whether the request ran.
        Without such a request the caller sees that the connection is closed.
        """
        if self.is_closing:
            return
        self.is_closing = True
        if not self.factory.dialect.refuses_on_close:
            self.transport.loseConnection()
            return
        self.transport.write(draining_response(self.factory.dialect.outcome))
        self.transport.loseWriteConnection()

    def on_request_received(self) -> None:
        """Note that the request has arrived completely."""
        self.receiving_since = None

    @property
    def has_buffered_input(self) -> bool:
        """Whether the caller has sent more that is not parsed yet (pipelining)."""
        return any(self._dataBuffer)

    def _send100Continue(self) -> None:  # noqa: N802
        if not self.requests[-1].refuse_announced_body():
            super()._send100Continue()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Handle the loss of the connection."""
        self.factory.discard(self)
        super().connectionLost(reason)
