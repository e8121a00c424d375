"""Counts the seats that confirm a recorded change."""

from collections.abc import Callable

from wagtailpaddle_core import Offset

from wagtailpaddle_fleet.messages import AcceptanceState, SeatId
from wagtailpaddle_fleet.roster import Roster

MAX_TRACKED_OFFSETS = 1_000


class Acceptance:
    """Determines which changes are in force, that is, confirmed by a majority.

    ``confirmed_offset`` returns the highest next offset reported for a seat.
    """

    def __init__(self, roster: Roster, confirmed_offset: Callable[[SeatId], Offset]):
        self._roster = roster
        self._confirmed_offset = confirmed_offset
        self._pending: dict[Offset, float] = {}
        self._accepted_upto: Offset = 0

    def track(self, now: float, offset: Offset) -> None:
        """Begin to count confirmations of the change at ``offset``.

        Beyond ``MAX_TRACKED_OFFSETS`` the earliest changes are no longer tracked.
        """
        if offset >= self._accepted_upto:
            self._pending.setdefault(offset, now)
        while len(self._pending) > MAX_TRACKED_OFFSETS:
            del self._pending[min(self._pending)]

    @property
    def latest_pending(self) -> Offset | None:
        """The latest offset without a majority yet, None if there is none."""
        return max(self._pending, default=None)

    def update(self) -> None:
        """Update the pending offsets by the confirmations received so far."""
        for offset in sorted(self._pending, reverse=True):
            if self._is_confirmed(offset):
                self._accepted_upto = max(self._accepted_upto, offset + 1)
                break
        self._pending = {
            offset: at
            for offset, at in self._pending.items()
            if offset >= self._accepted_upto
        }

    def state(self, offset: Offset) -> AcceptanceState:
        """Return how far the change at ``offset`` is confirmed."""
        seats = self._roster.seats
        return AcceptanceState(
            offset=offset,
            n_confirmed=sum(self._confirmed_offset(seat) > offset for seat in seats),
            n_seats=len(seats),
            in_force=offset < self._accepted_upto or self._is_confirmed(offset),
        )

    def _is_confirmed(self, offset: Offset) -> bool:
        if offset >= self._roster.next_offset:
            return False
        return self._roster.has_majority(
            lambda seat: self._confirmed_offset(seat) > offset
        )
