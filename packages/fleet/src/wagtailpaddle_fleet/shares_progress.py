"""How far the seats have folded the ``shares`` stream."""

from collections.abc import Callable, Collection

from wagtailpaddle_core import Offset

from wagtailpaddle_fleet.freshness import majority_time
from wagtailpaddle_fleet.messages import SeatId
from wagtailpaddle_fleet.offset_answers import OffsetAnswers
from wagtailpaddle_fleet.roster import Roster

NextOffset = Callable[[], Offset]
"""Returns the first offset of ``shares`` that this VM has not folded."""


class SharesProgress:
    """Tracks how far the seats have folded ``shares`` in addition to ``config``.

    Seats are registered in ``config`` and shares in ``shares``, so a majority
    is valid only together with an offset of ``config``. The proof is on the
    documentation page about rates. ``next_offset`` is None for a fleet without
    shares.
    """

    def __init__(
        self,
        *,
        roster: Roster,
        answers: OffsetAnswers,
        held_seats: Callable[[], Collection[SeatId]],
        next_offset: NextOffset | None,
    ):
        self.awaited_offset: Offset | None = None
        self.log_confirmed_at = float("inf") if next_offset is None else float("-inf")
        self._roster = roster
        self._answers = answers
        self._held_seats = held_seats
        self._next_offset = next_offset
        self._seats_changed_at = float("-inf")
        self._settlement: tuple[Offset, float] | None = None
        self._settlement_head: Offset | None = None

    @property
    def next_offset(self) -> Offset:
        """The first offset of ``shares`` that this VM has not folded."""
        return 0 if self._next_offset is None else self._next_offset()

    def on_log_head(self, sent_at: float, head: Offset) -> None:
        """Handle the head of ``shares`` that the log returned to a query.

        ``sent_at`` is when the query was sent.
        """
        if self.next_offset >= head:
            self.log_confirmed_at = max(self.log_confirmed_at, sent_at)
        if self._settlement is None or sent_at < self._settlement[1]:
            return
        if self._settlement_head is None:
            self._settlement_head = head

    def on_seats_changed(self, now: float) -> None:
        """Handle a new set of seats; answers to earlier queries no longer count."""
        self._seats_changed_at = now

    def confirmed_at(self, now: float) -> float:
        """Return the latest time up to which this VM has all settled claims.

        An answer counts if its query was sent after the last change of seats
        and this VM has folded both streams up to the offsets in the answer.
        """
        next_offset, shares_offset = self._roster.next_offset, self.next_offset
        times = dict.fromkeys(self._held_seats(), now)
        for seat, report in self._answers.by_seat.items():
            is_folded = (
                report.next_offset <= next_offset
                and report.shares_offset <= shares_offset
            )
            if (
                seat not in times
                and is_folded
                and report.sent_at >= self._seats_changed_at
            ):
                times[seat] = report.sent_at
        return min(majority_time(seats, times) for seats in self._roster.majorities())

    def settled_upto(self) -> Offset:
        """Return the offset up to which the required majorities have folded."""
        return min(self._majority_offset(seats) for seats in self._roster.majorities())

    def has_majority_caught_up(
        self,
        now: float,
        change: Offset,
        is_vacant: Callable[[SeatId], bool],
    ) -> bool:
        """Return whether the new seats have folded all earlier shares.

        Called after majorities have confirmed ``change``. More than half of the
        new seats must have folded up to a head of ``shares`` that was queried
        after that, or be vacant.
        """
        if self._next_offset is None:
            return True
        if self._settlement is None or self._settlement[0] != change:
            self._settlement, self._settlement_head = (change, now), None
        if self._settlement_head is None:
            return False
        caught_up = [
            self._seat_offset(seat) >= self._settlement_head or is_vacant(seat)
            for seat in self._roster.seats
        ]
        return 2 * sum(caught_up) > len(caught_up)

    def lagging_seats(self) -> set[SeatId]:
        """Return the seats that have not folded up to the awaited offset."""
        needed = [] if self.awaited_offset is None else [self.awaited_offset + 1]
        if (
            self._settlement_head is not None
            and self._roster.unsettled_change is not None
        ):
            needed.append(self._settlement_head)
        if not needed:
            return set()
        return {
            seat
            for seats in self._roster.majorities()
            for seat in seats
            if self._seat_offset(seat) < max(needed)
        }

    def peer_ahead(self) -> str | None:
        """Return the address of a VM that has folded further, None if there is none."""
        shares_offset = self.next_offset
        ahead = [
            address
            for address, received in sorted(self._answers.by_address.items())
            if received.answer.shares_offset > shares_offset
            and address not in self._answers.n_failures
        ]
        return ahead[0] if ahead else None

    def _seat_offset(self, seat: SeatId) -> Offset:
        reported = self._answers.shares_offset(seat)
        return (
            max(reported, self.next_offset) if seat in self._held_seats() else reported
        )

    def _majority_offset(self, seats: Collection[SeatId]) -> Offset:
        offsets = sorted((self._seat_offset(seat) for seat in seats), reverse=True)
        return offsets[len(offsets) // 2] if offsets else 0
