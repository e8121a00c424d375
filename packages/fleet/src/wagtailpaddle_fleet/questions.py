"""Which VMs are asked for their offsets, and why."""

from collections.abc import Callable, Iterable

from wagtailpaddle_core import Offset, score

from wagtailpaddle_fleet.answers import Answers
from wagtailpaddle_fleet.asking import Asker
from wagtailpaddle_fleet.handover import HeldSeats
from wagtailpaddle_fleet.known import KnownVms
from wagtailpaddle_fleet.messages import Action, SeatId, Vm
from wagtailpaddle_fleet.roster import Roster

CONFIRM_EVERY_S = 0.4
ASK_ALL_EVERY_S = 10.0
SPARE_PART = 8


class Questions:
    """Turns the need for confirmations into queries to the seats' holders."""

    def __init__(
        self,
        vm: Vm,
        *,
        roster: Roster,
        held: HeldSeats,
        answers: Answers,
        known: KnownVms,
        asker: Asker,
    ):
        self._vm = vm
        self._roster = roster
        self._held = held
        self._answers = answers
        self._known = known
        self._asker = asker

    def for_freshness(
        self, now: float, *, confirmed_at: float, window_s: float
    ) -> tuple[Action, ...]:
        """Ask a majority and some spare, or everyone if that does not do."""
        if now - confirmed_at > window_s / 2:
            return self.of_everyone(now)
        return (
            *self._asker.ask(now, self._preferred(), every_s=window_s / 3),
            *self.of_everyone(now, every_s=ASK_ALL_EVERY_S),
        )

    def of_everyone(
        self, now: float, *, every_s: float = CONFIRM_EVERY_S
    ) -> tuple[Action, ...]:
        """Ask every VM that may answer."""
        return self._asker.ask(now, self._known.addresses(), every_s=every_s)

    def for_confirmations(
        self, now: float, wanted: Offset, confirmed: Callable[[SeatId], Offset]
    ) -> tuple[Action, ...]:
        """Ask the holders of seats that did not confirm offset ``wanted``."""
        lacking = {
            seat
            for seats in self._roster.majorities()
            for seat in seats
            if confirmed(seat) <= wanted
        }
        return self.of_seats(now, lacking)

    def of_seats(self, now: float, lacking: Iterable[SeatId]) -> tuple[Action, ...]:
        """Ask the holders of some seats."""
        addresses = {self._address_of(seat) for seat in lacking} - {""}
        return self._asker.ask(now, addresses, every_s=CONFIRM_EVERY_S)

    def _preferred(self) -> set[str]:
        """Return VMs that speak for enough seats, those that answer first."""
        failures = self._answers.n_failures
        addresses: set[str] = set()
        for seats in self._roster.majorities():
            n_wanted = len(seats) // 2 + 1 + len(seats) // SPARE_PART
            ranked = sorted(
                seats - self._held.seats,
                key=lambda seat: (
                    failures.get(self._address_of(seat), 0),
                    score(self._vm.id, seat),
                ),
            )
            n_asked = max(0, n_wanted - len(seats & self._held.seats))
            addresses |= {self._address_of(seat) for seat in ranked[:n_asked]}
        return addresses - {""}

    def _address_of(self, seat_id: SeatId) -> str:
        voice = self._answers.by_seat.get(seat_id)
        if voice is not None and voice.address not in self._answers.n_failures:
            return voice.address
        former = self._roster.former or {}
        seat = self._roster.seat(seat_id) or former.get(seat_id)
        return "" if seat is None else seat.vm.peer_address
