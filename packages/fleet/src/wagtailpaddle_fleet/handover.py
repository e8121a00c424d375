"""The seats that a VM holds, and their hand-over at a graceful stop."""

from collections.abc import Iterable, Mapping

from wagtailpaddle_core import Offset, ensure, score

from wagtailpaddle_fleet.messages import (
    Action,
    HandOverAnswer,
    HandOverSeats,
    SeatId,
    SendPeer,
    Vm,
)
from wagtailpaddle_fleet.offset_answers import ReceivedAnswer

HAND_OVER_VALIDITY_S = 10.0
CLOCK_MARGIN_S = 1.0
HAND_OVER_TIMEOUT_S = 2.0
HAND_OVER_RETRY_INTERVAL_S = 0.5
SUCCESSOR_CHOICE_DELAY_S = 0.3
N_SUCCESSOR_CANDIDATES = 16


class HeldSeats:
    """The seats that this VM holds and votes for.

    A stopping VM hands over its seats to one other VM. It stops voting for them
    before it sends the message. A lost message can thus leave seats without a
    holder, but two VMs never vote for the same seat. While an earlier call may
    still arrive, the hand-over is retried at the same VM only.
    """

    def __init__(self, vm: Vm):
        self._vm = vm
        self.seats: set[SeatId] = {vm.id}
        self.leaving_since: float | None = None
        self._released: set[SeatId] = set()
        self._message: HandOverSeats | None = None
        self._successor = ""
        self._n_calls_in_flight = 0
        self._n_lost_calls = 0
        self._retry_at = 0.0
        self._lost_calls_expire_at = 0.0
        self._refused_by: set[str] = set()

    @property
    def has_left(self) -> bool:
        """Whether this VM is leaving and holds or hands over no more seats."""
        is_leaving = self.leaving_since is not None
        return is_leaving and not self.seats and self._message is None

    def voting_seats(self) -> tuple[SeatId, ...]:
        """Return the seats that this VM votes for, in order."""
        ensure(
            not self.seats & self._released,
            "seat-given-away-stays-away",
            seats=self.seats & self._released,
        )
        return tuple(sorted(self.seats))

    def release(self, seat: SeatId) -> None:
        """Give up a seat for good, for instance one that is not registered."""
        self.seats.discard(seat)
        self._released.add(seat)

    def on_hand_over(
        self,
        now: float,
        next_offset: Offset,
        body: HandOverSeats,
        *,
        shares_offset: Offset = 0,
    ) -> HandOverAnswer:
        """Accept or refuse offered seats; the offsets are those of this VM."""
        offered = set(body.seats)
        if offered and offered <= self.seats | self._released:
            return HandOverAnswer(True, next_offset)
        is_accepted = (
            body.to == self._vm.id
            and self.leaving_since is None
            and next_offset >= body.next_offset
            and shares_offset >= body.shares_offset
            and 0 <= now - body.answered_at <= HAND_OVER_VALIDITY_S
            and not offered & self._released
        )
        if is_accepted:
            self.seats |= offered
        return HandOverAnswer(is_accepted, next_offset)

    def begin_leave(self, now: float) -> None:
        """Start to leave; no seats are accepted from now on."""
        if self.leaving_since is None:
            self.leaving_since = now

    def step(
        self,
        now: float,
        next_offset: Offset,
        answers: Mapping[str, ReceivedAnswer],
        *,
        shares_offset: Offset = 0,
    ) -> tuple[Action, ...]:
        """Return the next hand-over call, if one is due."""
        since = self.leaving_since
        if since is None or now < self._retry_at or self._n_calls_in_flight:
            return ()
        if self._message is None:
            if not self.seats or now < since + SUCCESSOR_CHOICE_DELAY_S:
                return ()
            eligible = {
                address: received
                for address, received in answers.items()
                if received.answer.shares_offset >= shares_offset
            }
            chosen = self._choose_successor(now, next_offset, eligible)
            if chosen is None:
                return ()
            message = self._start_hand_over(
                chosen, next_offset, shares_offset, answers[chosen]
            )
            return self._call(now, message)
        return self._call(now, self._message)

    def on_answer(self, sent_at: float, answer: HandOverAnswer) -> None:
        """Handle the successor's answer to a call sent at ``sent_at``.

        After a refusal this VM holds the seats again, unless an earlier call
        may still be accepted.
        """
        self._n_calls_in_flight = 0
        if self._message is None:
            return
        if answer.accepted:
            self._message = None
            return
        if not self._n_lost_calls or sent_at > self._lost_calls_expire_at:
            self._released -= set(self._message.seats)
            self.seats |= set(self._message.seats)
            self._refused_by.add(self._successor)
            self._message = None

    def on_failed(self) -> None:
        """Handle a call that failed; the message may still arrive."""
        self._n_calls_in_flight = 0
        self._n_lost_calls += 1

    def _call(self, now: float, message: HandOverSeats) -> tuple[Action, ...]:
        self._n_calls_in_flight += 1
        self._retry_at = now + HAND_OVER_RETRY_INTERVAL_S
        return (SendPeer(self._successor, message, HAND_OVER_TIMEOUT_S),)

    def _start_hand_over(
        self,
        successor: str,
        next_offset: Offset,
        shares_offset: Offset,
        received: ReceivedAnswer,
    ) -> HandOverSeats:
        seats = self.voting_seats()
        answer = received.answer
        message = HandOverSeats(
            answer.vm.id, seats, next_offset, answer.at, shares_offset
        )
        self._message = message
        self._successor = successor
        self._n_lost_calls = 0
        self._lost_calls_expire_at = (
            received.received_at + HAND_OVER_VALIDITY_S + CLOCK_MARGIN_S
        )
        self._released |= self.seats
        self.seats = set()
        return message

    def _choose_successor(
        self, now: float, next_offset: Offset, answers: Mapping[str, ReceivedAnswer]
    ) -> str | None:
        """Return the address of the best successor, None if no VM is eligible.

        VMs with the fewest seats are preferred, then those in the same zone.
        """
        eligible = [
            (address, received.answer)
            for address, received in answers.items()
            if now - received.sent_at <= HAND_OVER_VALIDITY_S / 2
            and received.answer.next_offset >= next_offset
            and not received.answer.vm.leaving
            and address not in self._refused_by
        ]
        if not eligible:
            self._refused_by.clear()
            return None
        address, _ = min(
            eligible,
            key=lambda pair: (
                len(pair[1].seats),
                pair[1].vm.zone != self._vm.zone,
                score(self._vm.id, pair[0]),
            ),
        )
        return address


def successor_candidates(vm: Vm, addresses: Iterable[str]) -> list[str]:
    """Return a bounded number of VMs to query before a hand-over."""
    others = [address for address in addresses if address != vm.peer_address]
    others.sort(key=lambda address: (score(vm.id, address), address))
    return others[:N_SUCCESSOR_CANDIDATES]
