"""The protocol of a caller's connection."""

from wagtailpaddle_daemon.guarded_channel import GuardedChannel
from wagtailpaddle_daemon.problems import draining_response


class FrontendChannel(GuardedChannel):
    """A caller's connection."""

    def refuse_and_close(self) -> None:
        """Send a refusal as the last response and close the connection.

        The connection must have no request. A request that the caller sends at
        the same moment is never run, and the caller reads the refusal as its
        response; a mere close would leave it unknown whether the request ran.
        Without such a request the caller sees that the connection is closed.
        """
        if not self.factory.dialect.refuses_on_close:
            super().refuse_and_close()
            return
        if self.is_closing:
            return
        self.is_closing = True
        self.transport.write(draining_response(self.factory.dialect.outcome))
        self.transport.loseWriteConnection()

    def _send100Continue(self) -> None:  # noqa: N802
        """Ask for the body, unless it is refused already."""
        if self.requests[-1].must_refuse:
            self.requests[-1].refuse_unread()
        else:
            super()._send100Continue()
