"""The side of a request that faces its caller."""

from typing import Any, Protocol

from wagtailpaddle_core import ErrorKind

from wagtailpaddle_daemon.upstream import AnswerHead


class Caller(Protocol):
    """The side of a request that faces its caller."""

    def begin(self, head: AnswerHead) -> None:
        """Send the status line and the headers."""

    def follow(self, producer: Any) -> None:
        """Pace ``producer`` by what the caller takes."""

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def end(self) -> None:
        """Finish the answer."""

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Send a refusal in place of an answer."""

    def abort(self) -> None:
        """Close the connection, so that a part is not taken for the whole."""


class NobodyThere:
    """Takes the place of a caller that went away."""

    def begin(self, head: AnswerHead) -> None:
        """Nobody reads the headers."""

    def follow(self, producer: Any) -> None:
        """Nobody slows the producer down."""

    def write(self, data: bytes) -> None:
        """Nobody reads the body."""

    def end(self) -> None:
        """Nobody waits for the end."""

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Nobody reads the refusal."""

    def abort(self) -> None:
        """There is no connection to close."""
