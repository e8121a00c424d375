"""Policy that selects the VMs to query for their offsets."""

from collections.abc import Callable, Iterable

from wagtailpaddle_core import Offset, score

from wagtailpaddle_fleet.handover import HeldSeats
from wagtailpaddle_fleet.known_vms import KnownVms
from wagtailpaddle_fleet.messages import Action, SeatId, Vm
from wagtailpaddle_fleet.offset_answers import OffsetAnswers
from wagtailpaddle_fleet.poller import OffsetPoller
from wagtailpaddle_fleet.roster import Roster

CONFIRM_INTERVAL_S = 0.4
POLL_ALL_INTERVAL_S = 10.0
EXTRA_POLL_DIVISOR = 8


class PollPolicy:
    """Selects the holders of seats to query for each kind of confirmation."""

    def __init__(
        self,
        vm: Vm,
        *,
        roster: Roster,
        held: HeldSeats,
        answers: OffsetAnswers,
        known_vms: KnownVms,
        poller: OffsetPoller,
    ):
        self._vm = vm
        self._roster = roster
        self._held = held
        self._answers = answers
        self._known_vms = known_vms
        self._poller = poller

    def poll_for_freshness(
        self, now: float, *, confirmed_at: float, window_s: float
    ) -> tuple[Action, ...]:
        """Query a majority and a few more seats.

        Once half the window has passed without confirmation, query every VM.
        """
        if now - confirmed_at > window_s / 2:
            return self.poll_all(now)
        return (
            *self._poller.poll(
                now, self._majority_addresses(), interval_s=window_s / 3
            ),
            *self.poll_all(now, interval_s=POLL_ALL_INTERVAL_S),
        )

    def poll_all(
        self, now: float, *, interval_s: float = CONFIRM_INTERVAL_S
    ) -> tuple[Action, ...]:
        """Query every address on which a VM may answer."""
        return self._poller.poll(
            now, self._known_vms.addresses(), interval_s=interval_s
        )

    def poll_unconfirmed(
        self, now: float, offset: Offset, confirmed_offset: Callable[[SeatId], Offset]
    ) -> tuple[Action, ...]:
        """Query the holders of seats that have not confirmed ``offset``."""
        unconfirmed = {
            seat
            for seats in self._roster.majorities()
            for seat in seats
            if confirmed_offset(seat) <= offset
        }
        return self.poll_holders(now, unconfirmed)

    def poll_holders(self, now: float, seats: Iterable[SeatId]) -> tuple[Action, ...]:
        """Query the holders of ``seats``."""
        addresses = {self._address_of(seat) for seat in seats} - {""}
        return self._poller.poll(now, addresses, interval_s=CONFIRM_INTERVAL_S)

    def _majority_addresses(self) -> set[str]:
        """Return addresses that cover majorities, preferring few failures."""
        failures = self._answers.n_failures
        addresses: set[str] = set()
        for seats in self._roster.majorities():
            n_needed = len(seats) // 2 + 1 + len(seats) // EXTRA_POLL_DIVISOR
            ranked = sorted(
                seats - self._held.seats,
                key=lambda seat: (
                    failures.get(self._address_of(seat), 0),
                    score(self._vm.id, seat),
                ),
            )
            n_polled = max(0, n_needed - len(seats & self._held.seats))
            addresses |= {self._address_of(seat) for seat in ranked[:n_polled]}
        return addresses - {""}

    def _address_of(self, seat_id: SeatId) -> str:
        report = self._answers.by_seat.get(seat_id)
        if report is not None and report.address not in self._answers.n_failures:
            return report.address
        former = self._roster.former_seats or {}
        seat = self._roster.seat(seat_id) or former.get(seat_id)
        return "" if seat is None else seat.vm.peer_address
