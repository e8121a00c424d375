"""The interface through which a response is sent to a caller."""

from typing import Any, Protocol

from wagtailpaddle_core import ErrorKind

from wagtailpaddle_daemon.upstream import ResponseHead


class Caller(Protocol):
    """Receives the response to one request."""

    def write_head(self, head: ResponseHead) -> None:
        """Send the status line and the headers."""

    def set_producer(self, producer: Any) -> None:
        """Pause and resume ``producer`` at the speed at which the caller reads."""

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    def end(self) -> None:
        """Finish the response."""

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Respond with a refusal."""

    def abort(self) -> None:
        """Close the connection, so that a partial response is not taken as whole."""


class DisconnectedCaller:
    """Replaces a caller whose connection is lost; every method does nothing."""

    def write_head(self, head: ResponseHead) -> None:
        """Discard the headers."""

    def set_producer(self, producer: Any) -> None:
        """Leave ``producer`` unpaced."""

    def write(self, data: bytes) -> None:
        """Discard a chunk of the body."""

    def end(self) -> None:
        """Do nothing."""

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Discard the refusal."""

    def abort(self) -> None:
        """Do nothing; there is no connection to close."""
