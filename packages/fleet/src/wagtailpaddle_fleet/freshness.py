"""The freshness rule: a VM serves only while it can know what is in force."""

from collections.abc import Collection, Mapping

from wagtailpaddle_core import Offset, ensure

from wagtailpaddle_fleet.messages import SeatId
from wagtailpaddle_fleet.offset_answers import SeatReport
from wagtailpaddle_fleet.roster import Roster

FRESHNESS_S = 3.0


class Freshness:
    """Tracks until when this VM knew all that was accepted.

    Either the log named its head and this VM had folded up to it, or the
    holders of more than half of the seats named offsets up to which it
    had folded. A confirmation counts from the time at which its question was
    sent, so a late answer proves nothing.
    """

    def __init__(self, *, window_s: float = FRESHNESS_S):
        self.window_s = window_s
        self._log_confirmed_at = float("-inf")
        self._confirmed_at = float("-inf")

    @property
    def log_confirmed_at(self) -> float:
        """The latest time at which the log itself confirmed the offset."""
        return self._log_confirmed_at

    @property
    def confirmed_at(self) -> float:
        """The latest time up to which all accepted changes are folded."""
        return self._confirmed_at

    def on_log_head(self, sent_at: float, head: Offset, folded: Offset) -> None:
        """The log named its head in answer to a question sent at ``sent_at``."""
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
        """Count what was said for the seats; ``held`` are this VM's own."""
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
    """Return the latest time since which more than half of ``seats`` spoke."""
    n_needed = len(seats) // 2 + 1
    reported = sorted((times[seat] for seat in seats if seat in times), reverse=True)
    if len(reported) < n_needed:
        return float("-inf")
    return reported[n_needed - 1]
