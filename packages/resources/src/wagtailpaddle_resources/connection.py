"""What one connection of a client holds, and what it is doing."""

from enum import StrEnum
from typing import NewType

ConnectionId = NewType("ConnectionId", int)

MIN_PROGRESS_BYTES = 1024
"""Bytes that a client must move to count as making progress."""


class Phase(StrEnum):
    """What a connection does."""

    IDLE = "idle"
    """No request has begun since the last response."""

    RECEIVING = "receiving"
    """A request has begun and is incomplete."""

    WORKING = "working"
    """A request is complete and its response has not begun."""

    SENDING = "sending"
    """The client has not read the whole response."""


class Connection:
    """The state of one connection. ``since`` is when its phase began.

    ``progressed_at`` is when the client last completed ``MIN_PROGRESS_BYTES``; a phase
    begins with progress.
    """

    __slots__ = (
        "_moved_bytes",
        "address",
        "id",
        "n_bytes",
        "n_requests",
        "phase",
        "progressed_at",
        "since",
    )

    def __init__(self, now: float, id: ConnectionId, address: str):
        self.id = id
        self.address = address
        self.n_bytes = 0
        self.n_requests = 0
        self.phase = Phase.IDLE
        self.since = now
        self.progressed_at = now
        self._moved_bytes = 0

    def enter(self, now: float, phase: Phase) -> None:
        """Record the phase; the same one again changes nothing."""
        if phase is self.phase:
            return
        if phase is Phase.WORKING:
            self.n_requests += 1
        self.phase = phase
        self.since = now
        self.progressed_at = now
        self._moved_bytes = 0

    def move(self, now: float, n_bytes: int) -> None:
        """Record bytes that the client sent or read."""
        self._moved_bytes += n_bytes
        if self._moved_bytes >= MIN_PROGRESS_BYTES:
            self._moved_bytes = 0
            self.progressed_at = now

    def stalled_s(self, now: float) -> float:
        """Return for how long the client has kept this VM waiting, in seconds."""
        return 0.0 if self.phase is Phase.WORKING else now - self.progressed_at
