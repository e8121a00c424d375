"""The freshness rule: a VM serves only with recently confirmed state.

Recently confirmed means that it had folded all accepted changes at some time
within the freshness window.
"""

from collections.abc import Collection, Mapping

from wagtailpaddle_core import Offset, ensure

from wagtailpaddle_fleet.messages import SeatId
from wagtailpaddle_fleet.offset_answers import SeatReport
from wagtailpaddle_fleet.roster import Roster

FRESHNESS_S = 3.0


class Freshness:
    """Tracks the latest time at which this VM had folded all accepted changes.

    The time is confirmed by the log or by a majority. Either the log returned
    its head and this VM had folded up to it, or the holders of more than half
    of the seats returned offsets that this VM had folded. A confirmation is
    dated to the time at which its query was sent, so a delayed answer does not
    extend the freshness.
    """

    def __init__(self, *, window_s: float = FRESHNESS_S):
        self.window_s = window_s
        self._log_confirmed_at = float("-inf")
        self._confirmed_at = float("-inf")

    @property
    def log_confirmed_at(self) -> float:
        """The latest time confirmed by the log itself."""
        return self._log_confirmed_at

    @property
    def confirmed_at(self) -> float:
        """The latest time confirmed by the log or by a majority of seats."""
        return self._confirmed_at

    def on_log_head(self, sent_at: float, head: Offset, folded: Offset) -> None:
        """Handle the head that the log returned to a query sent at ``sent_at``."""
        if folded >= head:
            self._log_confirmed_at = max(self._log_confirmed_at, sent_at)
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def on_seat_reports(
        self,
        now: float,
        roster: Roster,
        held_seats: Collection[SeatId],
        reports: Mapping[SeatId, SeatReport],
    ) -> None:
        """Count the reports about seats; ``held_seats`` are this VM's own."""
        times = dict.fromkeys(held_seats, now)
        for seat, report in reports.items():
            if seat not in times and report.next_offset <= roster.next_offset:
                times[seat] = report.sent_at
        at = min(majority_time(seats, times) for seats in roster.majorities())
        ensure(at <= now, "freshness-not-ahead", at=at, now=now)
        self._confirmed_at = max(self._confirmed_at, at)

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        return now - self._confirmed_at <= self.window_s


def majority_time(seats: Collection[SeatId], times: Mapping[SeatId, float]) -> float:
    """Return the latest time since which more than half of ``seats`` reported."""
    n_needed = len(seats) // 2 + 1
    reported = sorted((times[seat] for seat in seats if seat in times), reverse=True)
    if len(reported) < n_needed:
        return float("-inf")
    return reported[n_needed - 1]
