"""A caller's connection."""

from typing import Any

from twisted.web import http

from wagtailpaddle_daemon.problems import last_word


class FrontChannel(http.HTTPChannel):
    """A caller's connection whose requests must arrive in bounded time."""

    receiving_since: float | None = None
    heard_at = 0.0
    dismissed = False

    def connectionMade(self) -> None:  # noqa: N802
        """Start to serve the connection, unless there are too many."""
        super().connectionMade()
        self.heard_at = self.factory.seconds()
        if not self.factory.admit(self):
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in a piece of a request, which does not run after the last word."""
        if self.dismissed:
            return
        self.heard_at = self.factory.seconds()
        if self.receiving_since is None and not self._handlingRequest:
            self.receiving_since = self.heard_at
        super().dataReceived(data)

    def dismiss(self) -> None:
        """Refuse the request that may be on its way, and send nothing more.

        The connection has no request. One that crosses the close finds its
        refusal, which is true, where it would find a closed connection; any
        other caller finds that the connection is over.
        """
        if self.dismissed:
            return
        self.dismissed = True
        if not self.factory.dialect.farewell:
            self.transport.loseConnection()
            return
        self.transport.write(last_word(self.factory.dialect.outcome))
        self.transport.loseWriteConnection()

    def received(self) -> None:
        """The request has arrived as a whole."""
        self.receiving_since = None

    @property
    def has_more(self) -> bool:
        """Whether the caller sent more before its last request was answered."""
        return any(self._dataBuffer)

    def _send100Continue(self) -> None:  # noqa: N802
        if not self.requests[-1].refuse_body():
            super()._send100Continue()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget the connection."""
        self.factory.forget(self)
        super().connectionLost(reason)
