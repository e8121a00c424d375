"""Proposals of seat changes that this VM appends to the log."""

from collections.abc import Callable
from random import Random

from wagtailpaddle_core import VmId, rank

from wagtailpaddle_fleet.handover import HAND_OVER_VALIDITY_S, HeldSeats
from wagtailpaddle_fleet.incarnations import Incarnations
from wagtailpaddle_fleet.messages import (
    Action,
    AppendRecord,
    Depart,
    FleetRecord,
    Join,
    SeatChange,
    SeatId,
    Settle,
    TakeSeat,
    Vm,
)
from wagtailpaddle_fleet.offset_answers import OffsetAnswers
from wagtailpaddle_fleet.roster import Roster
from wagtailpaddle_fleet.shares_progress import SharesProgress

APPEND_RETRY_S = 2.0
JOIN_JITTER_S = 0.3
JOINS_PER_S = 100
SETTLE_TAKEOVER_DELAY_S = 2.0
SETTLE_STAGGER_S = 1.0
DEPART_DELAY_S = 10.0
DEPART_JITTER_PER_SEAT_S = 0.05
SEAT_REPORT_TTL_S = 30.0
HAND_OVER_GRACE_S = 3.0


class SeatProposer:
    """Proposes records that register, reassign, remove and settle seats.

    A duplicate or late record has no effect, so each record is appended again
    after ``APPEND_RETRY_S`` until its effect is folded.
    """

    def __init__(
        self,
        vm: Vm,
        *,
        roster: Roster,
        held: HeldSeats,
        incarnations: Incarnations,
        answers: OffsetAnswers,
        confirmed_offset: Callable[[SeatId], int],
        shares: SharesProgress,
        rng: Random,
    ):
        self._vm = vm
        self._roster = roster
        self._held = held
        self._incarnations = incarnations
        self._answers = answers
        self._confirmed_offset = confirmed_offset
        self._shares = shares
        self._rng = rng
        self._n_records = 0
        self._retry_at: dict[SeatChange, float] = {}
        self._join_at: float | None = None
        self._recorded_cache: tuple[int, set[SeatId]] = (-1, set())
        self._unheld_since: dict[SeatId, float] = {}
        self._first_seen_change: tuple[int, float] | None = None
        self._settle_at: tuple[int, float] | None = None
        self._depart_at: dict[VmId, float] = {}
        self._gone_at: dict[VmId, float] = {}

    def step(self, now: float, *, is_caught_up: bool = True) -> tuple[Action, ...]:
        """Return the records to append at ``now``; called while the log answers.

        ``is_caught_up`` states whether the roster is folded up to the log's head.
        """
        self._update_gone(now)
        changes = [
            *self._own_seat_changes(now, is_caught_up),
            *self._settlement(now),
            *self._departures_of_gone(now),
        ]
        return tuple(
            action for change in changes for action in self._append(now, change)
        )

    def collects_confirmations(self, now: float) -> bool:
        """Return whether this VM collects confirmations of a seat change.

        The author of the change does so at once. Others take over one after
        another, in case the author fails.
        """
        change = self._roster.unsettled_change
        if change is None:
            return False
        if self._roster.unsettled_change_author == self._vm.id:
            return True
        if self._first_seen_change is None or self._first_seen_change[0] != change:
            self._first_seen_change = (change, now)
        takeover_at = self._first_seen_change[1] + SETTLE_TAKEOVER_DELAY_S
        if now < takeover_at:
            return False
        if self._settle_at is None or self._settle_at[0] != change:
            delay_s = SETTLE_STAGGER_S * self._settle_rank(change)
            self._settle_at = (change, takeover_at + delay_s)
        return now >= self._settle_at[1]

    def must_poll_all(self, now: float) -> bool:
        """Return whether a change can only be settled if seats are vacant.

        Every VM is then asked whether it votes for a seat of a gone VM.
        """
        if not self.collects_confirmations(now) or not self._gone_at:
            return False
        return not self._roster.has_majority(self._has_confirmed)

    def _append(self, now: float, change: SeatChange) -> tuple[Action, ...]:
        if now < self._retry_at.get(change, float("-inf")):
            return ()
        self._retry_at = {key: at for key, at in self._retry_at.items() if at > now}
        self._retry_at[change] = now + APPEND_RETRY_S
        self._n_records += 1
        record_id = f"{self._vm.id}#{self._n_records}"
        return (AppendRecord(FleetRecord(record_id, self._vm.id, now, change)),)

    def _own_seat_changes(self, now: float, is_caught_up: bool) -> list[SeatChange]:
        if self._held.leaving_since is not None:
            return self._departures_on_leave(now)
        recorded = self._recorded_seats()
        kept = sorted(recorded & self._held.seats, key=lambda s: (s != self._vm.id, s))
        changes = self._surplus_departures(now, recorded, kept)
        for seat_id in self._held.voting_seats():
            seat = self._roster.seat(seat_id)
            if seat is None:
                if seat_id != self._vm.id and is_caught_up:
                    self._held.release(seat_id)
            elif seat.vm.id != self._vm.id:
                if not kept:
                    kept = [seat_id]
                    changes.append(TakeSeat(seat_id, self._vm))
                elif not self._roster.is_departing(seat_id):
                    changes.append(Depart(seat_id, seat.vm.id))
        if not kept and self._vm.id in self._held.seats:
            changes.extend(self._join(now))
        return changes

    def _recorded_seats(self) -> set[SeatId]:
        """Return the seats that this VM holds according to the log."""
        if self._recorded_cache[0] != self._roster.version:
            seats = {
                seat_id
                for seat_id, seat in self._roster.seats.items()
                if seat.vm.id == self._vm.id
            }
            if self._roster.seat(self._vm.id) is not None:
                seats.add(self._vm.id)
            self._recorded_cache = (self._roster.version, seats)
        return self._recorded_cache[1]

    def _surplus_departures(
        self, now: float, recorded: set[SeatId], kept: list[SeatId]
    ) -> list[SeatChange]:
        """Return departures of all recorded seats but one, and of unheld seats.

        An unheld seat departs after ``DEPART_DELAY_S``, unless another VM
        reports for it.
        """
        unheld = recorded - self._held.seats
        self._unheld_since = {
            seat: self._unheld_since.get(seat, now) for seat in unheld
        }
        stranded = [
            seat
            for seat, since in self._unheld_since.items()
            if now - since >= DEPART_DELAY_S and not self._is_held(now, seat)
        ]
        return [
            Depart(seat, self._vm.id)
            for seat in sorted(stranded) + kept[1:]
            if not self._roster.is_departing(seat)
        ]

    def _join(self, now: float) -> list[SeatChange]:
        if self._join_at is None:
            n_listed = len(self._incarnations.listed)
            jitter_s = max(JOIN_JITTER_S, n_listed / JOINS_PER_S)
            self._join_at = now + self._rng.uniform(0, jitter_s)
        if now < self._join_at:
            return []
        return [Join(self._vm)]

    def _departures_on_leave(self, now: float) -> list[SeatChange]:
        """Return departures of seats that no other VM has taken over in time."""
        since = self._held.leaving_since
        if since is None or now < since + HAND_OVER_GRACE_S:
            return []
        changes: list[SeatChange] = []
        for seat_id in self._held.voting_seats():
            seat = self._roster.seat(seat_id)
            if (
                seat is None
                or self._roster.is_departing(seat_id)
                or len(self._roster.seats) == 1
            ):
                self._held.release(seat_id)
            else:
                changes.append(Depart(seat_id, seat.vm.id))
        return changes

    def _settlement(self, now: float) -> list[SeatChange]:
        change = self._roster.unsettled_change
        if change is None or not self.collects_confirmations(now):
            return []
        if not self._roster.has_majority(
            lambda seat: self._has_confirmed(seat) or self._is_vacant(now, seat)
        ):
            return []
        if not self._shares.has_majority_caught_up(
            now, change, lambda seat: self._is_vacant(now, seat)
        ):
            return []
        return [Settle(change)]

    def _settle_rank(self, change: int) -> int:
        others = {vm.id for vm in self._roster.holders()} - set(self._gone_at)
        order = rank(f"settle/{change}", sorted(others | {self._vm.id}))
        return order.index(self._vm.id)

    def _has_confirmed(self, seat: SeatId) -> bool:
        change = self._roster.unsettled_change
        return change is not None and self._confirmed_offset(seat) > change

    def _is_vacant(self, now: float, seat_id: SeatId) -> bool:
        """Return whether certainly no VM votes for a seat any more.

        Its holder must be gone long enough that the list contains every VM that
        may have taken over the seat, and none of those VMs reports the seat.
        """
        seat = self._roster.seats.get(seat_id)
        if seat is None:
            seat = (self._roster.former_seats or {}).get(seat_id)
        if seat is None or seat.vm.id not in self._gone_at:
            return False
        vacant_from = (
            self._gone_at[seat.vm.id]
            + HAND_OVER_VALIDITY_S
            + self._incarnations.list_lag_s
        )
        if now < vacant_from:
            return False
        for address in self._live_addresses():
            received = self._answers.by_address.get(address)
            if received is None or received.sent_at < vacant_from:
                return False
            if seat_id in received.answer.seats:
                return False
        return True

    def _live_addresses(self) -> set[str]:
        named = {
            vm.peer_address
            for vm in self._roster.holders()
            if vm.id not in self._gone_at
        }
        return (named | set(self._incarnations.listed)) - {self._vm.peer_address}

    def _update_gone(self, now: float) -> None:
        gone = self._incarnations.gone()
        if gone != self._gone_at.keys():
            self._gone_at = {vm: self._gone_at.get(vm, now) for vm in gone}

    def _departures_of_gone(self, now: float) -> list[SeatChange]:
        """Return departures of the seats of gone VMs that no other VM holds."""
        if not self._gone_at:
            return []
        changes: list[SeatChange] = []
        depart_at: dict[VmId, float] = {}
        for seat in self._roster.seats.values():
            if seat.vm.id not in self._gone_at or self._roster.is_departing(seat.id):
                continue
            jitter_s = DEPART_JITTER_PER_SEAT_S * len(self._roster.seats)
            at = self._depart_at.get(seat.vm.id)
            if at is None:
                at = now + DEPART_DELAY_S + self._rng.uniform(0, jitter_s)
            depart_at[seat.vm.id] = at
            if now >= at and not self._is_held(now, seat.id):
                changes.append(Depart(seat.id, seat.vm.id))
        self._depart_at = depart_at
        return changes

    def _is_held(self, now: float, seat: SeatId) -> bool:
        if seat in self._held.seats:
            return True
        report = self._answers.by_seat.get(seat)
        return report is not None and now - report.sent_at <= SEAT_REPORT_TTL_S
