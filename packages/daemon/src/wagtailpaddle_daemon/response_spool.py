"""Keeps what a slow client has not read, so that the server is not held up."""

from collections import deque
from collections.abc import Callable
from typing import Any


class ResponseSpool:
    """Stands between a response's producer and the client's connection.

    It writes while the connection takes data, and keeps the rest in pieces. The
    producer is paused only while ``may_keep`` says that no more may be kept.
    ``is_complete`` is set once the producer has delivered the whole response.
    """

    def __init__(
        self,
        producer: Any,
        write: Callable[[bytes], None],
        may_keep: Callable[[], bool],
    ):
        self.n_bytes = 0
        self.is_complete = False
        self._producer = producer
        self._write = write
        self._may_keep = may_keep
        self._pieces: deque[bytes] = deque()
        self._is_full = False
        self._is_paused = False
        self._on_drained: Callable[[], None] | None = None

    def write(self, data: bytes) -> None:
        """Write a piece of the response, or keep it."""
        if not self._is_full:
            self._write(data)
            return
        self._pieces.append(data)
        self.n_bytes += len(data)
        self._pause_unless_kept()

    def end(self, on_drained: Callable[[], None]) -> None:
        """Note that the response is complete; call ``on_drained`` once it is sent."""
        self.is_complete = True
        self._on_drained = on_drained
        self._end_if_drained()

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the connection takes no more for now."""
        self._is_full = True
        self._pause_unless_kept()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on, as the connection has sent what it had."""
        self._is_full = False
        while self._pieces and not self._is_full:
            data = self._pieces.popleft()
            self.n_bytes -= len(data)
            self._write(data)
        if self._is_full:
            return
        if self._is_paused:
            self._is_paused = False
            self._producer.resumeProducing()
        self._end_if_drained()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop for good, as the connection is lost."""
        self._pieces.clear()
        if not self.is_complete:
            self._producer.stopProducing()

    def _pause_unless_kept(self) -> None:
        if self.is_complete or self._is_paused:
            return
        if not self._may_keep():
            self._is_paused = True
            self._producer.pauseProducing()

    def _end_if_drained(self) -> None:
        on_drained = self._on_drained
        if on_drained is not None and not self._pieces:
            self._on_drained = None
            on_drained()
