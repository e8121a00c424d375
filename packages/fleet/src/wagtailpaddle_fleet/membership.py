"""One VM's view of the fleet: composes roster, freshness and directory."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from random import Random
from typing import Any

from wagtailpaddle_core import Offset, VmId, ZoneId, score

from wagtailpaddle_fleet.acceptance import Acceptance
from wagtailpaddle_fleet.answers import Answers
from wagtailpaddle_fleet.asking import Asker
from wagtailpaddle_fleet.directory import Directory
from wagtailpaddle_fleet.freshness import FRESHNESS_S, Freshness
from wagtailpaddle_fleet.handover import HeldSeats, successors_to_ask
from wagtailpaddle_fleet.incarnations import LIST_LAG_S, Incarnations, split_vm_id
from wagtailpaddle_fleet.messages import (
    AcceptanceState,
    Action,
    CallerAddresses,
    Depart,
    FleetRecord,
    HandOverAnswer,
    HandOverSeats,
    Join,
    ListedVm,
    OffsetAnswer,
    OffsetQuery,
    PeerAnswer,
    PeerMessage,
    RawRecord,
    RecordsAnswer,
    RecordsQuery,
    SeatChange,
    SeatId,
    SnapshotAnswer,
    SnapshotQuery,
    TakeSeat,
    Vm,
)
from wagtailpaddle_fleet.relay import CatchUp, RecordTail
from wagtailpaddle_fleet.roster import Roster
from wagtailpaddle_fleet.seating import Seating

SnapshotSource = Callable[[float, Offset, int], SnapshotAnswer]

LOG_SILENT_S = 1.0
CONFIRM_EVERY_S = 0.4
CHECK_EVERY_S = 4.0
STATUS_S = 12.0
HOUSEKEEPING_S = 30.0
ASK_ALL_EVERY_S = 10.0
SPARE_PART = 8
SERVING_CACHE_S = 0.5
MAX_TO_CHECK = 16


def no_snapshot(now: float, upto: Offset, index: int) -> SnapshotAnswer:
    """Return the answer of a VM that offers no snapshots."""
    return SnapshotAnswer(upto, index, 0, b"")


class Membership:
    """Everything that a VM decides about the fleet.

    Events come in with the present time, frozen actions go out. The caller
    folds the ``config`` stream in order and reports each offset once.
    ``snapshot_chunk`` returns one encoded chunk of a snapshot of what this VM
    has folded, for VMs that start while the log is away.
    """

    def __init__(
        self,
        vm: Vm,
        *,
        seed: int = 0,
        snapshot_chunk: SnapshotSource = no_snapshot,
        window_s: float = FRESHNESS_S,
        list_lag_s: float = LIST_LAG_S,
    ):
        rng = Random(f"{seed}/{vm.id}")
        self.vm = vm
        self.roster = Roster()
        self.freshness = Freshness(window_s=window_s)
        self.incarnations = Incarnations(vm, list_lag_s=list_lag_s)
        self.directory = Directory(rng=rng)
        self._rng = rng
        self._snapshot_chunk = snapshot_chunk
        self._answers = Answers()
        self._held = HeldSeats(vm)
        self._asker = Asker(vm.peer_address, self._answers)
        self._tail = RecordTail()
        self._catch_up = CatchUp(rng=rng)
        self._acceptance = Acceptance(self.roster, self.confirmed)
        self._seating = Seating(
            vm,
            roster=self.roster,
            held=self._held,
            incarnations=self.incarnations,
            answers=self._answers,
            confirmed=self.confirmed,
            rng=rng,
        )
        self._known: dict[VmId, Vm] = {vm.id: vm}
        self._departed: set[VmId] = set()
        self._callers: set[str] = set()
        self._to_check: list[str] = []
        self._serving_at = float("-inf")
        self._housekeeping_at = float("-inf")

    # Events.

    def on_folded(
        self, now: float, offset: Offset, data: bytes, record: FleetRecord | None
    ) -> tuple[Action, ...]:
        """The record at ``offset`` was folded; None stands for any other kind."""
        self._tail.add(RawRecord(offset, data))
        if record is not None and isinstance(record.change, TakeSeat):
            self._departed |= self._holders_of(record.change.seat)
        self.roster.apply(offset, record)
        if record is not None:
            self._learn(now, record.change)
        return ()

    def on_log_head(
        self, now: float, sent_at: float, head: Offset
    ) -> tuple[Action, ...]:
        """The log named its head in answer to a question sent at ``sent_at``.

        Call it after the records of the same answer were folded.
        """
        self.freshness.log_answered(sent_at, head, self.roster.next_offset)
        return ()

    def on_vm_list(self, now: float, entries: Iterable[ListedVm]) -> tuple[Action, ...]:
        """The platform answered with its list of VMs."""
        self.incarnations.on_vm_list(now, entries)
        return ()

    def on_message(
        self, now: float, sender: VmId, body: PeerMessage
    ) -> PeerAnswer | None:
        """Return the answer to a peer's message; None if it is none of ours."""
        self.incarnations.heard_of(now, sender)
        self._callers.add(split_vm_id(sender)[0])
        next_offset = self.roster.next_offset
        match body:
            case OffsetQuery():
                return self._offset_answer(now)
            case RecordsQuery():
                return self._tail.answer(body.start, next_offset)
            case SnapshotQuery():
                return self._snapshot_chunk(now, body.upto, body.index)
            case HandOverSeats():
                if self.incarnations.is_self_gone:
                    return HandOverAnswer(False, next_offset)
                return self._held.on_offered(now, next_offset, body)
            case _:
                return None

    def on_reply(
        self, now: float, sent_at: float, address: str, body: PeerMessage, reply: Any
    ) -> tuple[Action, ...]:
        """A peer answered the message ``body`` that was sent at ``sent_at``.

        A reply of the wrong kind counts as a call that failed.
        """
        next_offset = self.roster.next_offset
        match body, reply:
            case OffsetQuery(), OffsetAnswer():
                return self._on_offset(now, sent_at, address, reply)
            case RecordsQuery(), RecordsAnswer():
                return self._catch_up.on_records(address, next_offset, reply)
            case SnapshotQuery(), SnapshotAnswer():
                return self._catch_up.on_snapshot(next_offset, reply)
            case HandOverSeats(), HandOverAnswer():
                self._held.on_answer(sent_at, reply)
                return ()
            case _:
                return self.on_call_failed(now, address, body)

    def on_call_failed(
        self, now: float, address: str, body: PeerMessage
    ) -> tuple[Action, ...]:
        """A message to a peer brought no answer; it may have arrived."""
        match body:
            case OffsetQuery():
                self._asker.done(address)
                self._answers.failed(now, address)
            case RecordsQuery() | SnapshotQuery():
                self._catch_up.failed(address)
            case HandOverSeats():
                self._held.on_failed()
        return ()

    def restored(
        self, now: float, upto: Offset, items: Iterable[tuple[str, Mapping[str, Any]]]
    ) -> tuple[Action, ...]:
        """A snapshot at ``upto`` was taken in; ``items`` are the roster's.

        Raises ``ValueError`` if they are malformed.
        """
        self.roster.restore(upto, items)
        for vm in self.roster.holders():
            self._know(now, vm)
        return ()

    def tick(self, now: float) -> tuple[Action, ...]:
        """Act on the passing of time; called several times a second."""
        if now - self._housekeeping_at >= HOUSEKEEPING_S:
            self._housekeeping_at = now
            self._tidy(now)
        self._acceptance.update()
        actions: list[Action] = []
        if self._is_log_silent(now):
            self.freshness.peers_answered(
                now, self.roster, self._held.seats, self._answers.by_seat
            )
            actions += self._ask_for_freshness(now)
            actions += self._catch_up.step(
                self.roster.next_offset, self._answers.by_address
            )
        else:
            actions += self._seating.step(now)
        actions += self._ask_for_confirmations(now)
        actions += self._ask_about_status(now)
        if self._held.leaving_since is not None:
            actions += self._step_leave(now)
        return tuple(actions)

    def track(self, now: float, offset: Offset) -> tuple[Action, ...]:
        """Begin to count the seats that confirm the change at ``offset``."""
        self._acceptance.track(now, offset)
        return ()

    def leave(self, now: float) -> tuple[Action, ...]:
        """Begin a graceful stop: hand over the seats, leave the directory."""
        self.vm = replace(self.vm, leaving=True)
        self._held.begin(now)
        return self._step_leave(now)

    # State.

    @property
    def has_left(self) -> bool:
        """Whether no seat is held or in hand-over any more."""
        return self._held.has_left

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        if self.incarnations.is_self_gone:
            return False
        return self.freshness.is_fresh(now)

    def confirmed(self, seat: SeatId) -> Offset:
        """Return the highest next offset that was named for a seat."""
        known = self._answers.confirmed(seat)
        if seat in self._held.seats:
            return max(known, self.roster.next_offset)
        return known

    def acceptance(self, offset: Offset) -> AcceptanceState:
        """Return how far the change at ``offset`` is confirmed."""
        return self._acceptance.state(offset)

    def gone(self, now: float) -> frozenset[VmId]:
        """Return the known VMs that surely serve and spend nothing any more."""
        return self.incarnations.gone()

    def is_gone(self, now: float, vm: VmId) -> bool:
        """Return whether any VM, known or not, is surely gone."""
        return self.incarnations.is_gone(now, vm)

    def vms(self, now: float) -> tuple[Vm, ...]:
        """Return the known VMs that are neither gone nor leaving, by id."""
        return tuple(
            vm for _, vm in sorted(self._known.items()) if self._is_staying(now, vm)
        )

    def snapshot_items(self) -> tuple[tuple[str, dict[str, Any]], ...]:
        """Return the roster's part of a snapshot as (name, table) pairs."""
        return self.roster.items()

    def addresses_for(
        self,
        now: float,
        *,
        account: str | None = None,
        zone: ZoneId | None = None,
        homes: Sequence[VmId] = (),
    ) -> CallerAddresses:
        """Return the addresses that a caller should use, best first.

        VMs that leave, are gone, or lately were not fresh or did not answer
        are left out. ``homes`` names VMs that hold shares of the account.
        """
        if now - self._serving_at >= SERVING_CACHE_S:
            self._serving_at = now
            staying = self.vms(now)
            serving = [vm for vm in staying if self._is_serving(now, vm)]
            self.directory.set_vms(serving)
            left_out = {vm.peer_address for vm in staying}
            left_out -= {vm.peer_address for vm in serving}
            self._to_check = sorted(left_out)
        found = self.directory.addresses_for(account=account, zone=zone, homes=homes)
        self._to_check = [*found.vms, *self._to_check][:MAX_TO_CHECK]
        return found.answer

    # Steps.

    def _offset_answer(self, now: float) -> OffsetAnswer:
        return OffsetAnswer(
            vm=self.vm,
            next_offset=self.roster.next_offset,
            seats=() if self.incarnations.is_self_gone else self._held.spoken_for(),
            fresh=self.is_fresh(now),
            at=now,
        )

    def _on_offset(
        self, now: float, sent_at: float, address: str, answer: OffsetAnswer
    ) -> tuple[Action, ...]:
        self._asker.done(address)
        self._answers.note(now, sent_at, address, answer)
        self._know(now, answer.vm)
        self._acceptance.update()
        if not self._is_log_silent(now):
            return ()
        self.freshness.peers_answered(
            now, self.roster, self._held.seats, self._answers.by_seat
        )
        return self._catch_up.step(self.roster.next_offset, self._answers.by_address)

    def _learn(self, now: float, change: SeatChange) -> None:
        match change:
            case Join() | TakeSeat():
                self._departed.discard(change.vm.id)
                self._know(now, change.vm)
            case Depart():
                self._departed.add(change.holder)

    def _holders_of(self, seat_id: SeatId) -> set[VmId]:
        seat = self.roster.seat(seat_id)
        return set() if seat is None else {seat.vm.id}

    def _know(self, now: float, vm: Vm) -> None:
        if vm.id == self.vm.id:
            return
        self.incarnations.heard_of(now, vm.id)
        self._known[vm.id] = vm

    def _is_log_silent(self, now: float) -> bool:
        return now - self.freshness.log_at > LOG_SILENT_S

    def _addresses(self) -> set[str]:
        gone = self.incarnations.gone()
        held = {vm.peer_address for vm in self.roster.holders() if vm.id not in gone}
        return held | set(self.incarnations.listed) | self._callers

    def _ask_for_freshness(self, now: float) -> tuple[Action, ...]:
        """Ask a majority and some spare, or everyone if that does not do."""
        window_s = self.freshness.window_s
        if now - self.freshness.confirmed_at > window_s / 2:
            return self._asker.ask(now, self._addresses(), every_s=window_s / 3)
        chosen = self._preferred_voices()
        return (
            *self._asker.ask(now, chosen, every_s=window_s / 3),
            *self._asker.ask(now, self._addresses(), every_s=ASK_ALL_EVERY_S),
        )

    def _preferred_voices(self) -> set[str]:
        """Return VMs that speak for enough seats, those that answer first."""
        failures = self._answers.n_failures
        addresses: set[str] = set()
        for seats in self.roster.majorities():
            n_wanted = len(seats) // 2 + 1 + len(seats) // SPARE_PART
            ranked = sorted(
                seats - self._held.seats,
                key=lambda seat: (
                    failures.get(self._address_of(seat), 0),
                    score(self.vm.id, seat),
                ),
            )
            n_asked = max(0, n_wanted - len(seats & self._held.seats))
            addresses |= {self._address_of(seat) for seat in ranked[:n_asked]}
        return addresses - {""}

    def _ask_for_confirmations(self, now: float) -> tuple[Action, ...]:
        wanted = self._acceptance.wanted
        if self.roster.change is not None and self._seating.must_confirm(now):
            if self._seating.needs_every_vm(now):
                return self._asker.ask(now, self._addresses(), every_s=CONFIRM_EVERY_S)
            wanted = max(wanted or 0, self.roster.change)
        if wanted is None:
            return ()
        lacking = {
            seat
            for seats in self.roster.majorities()
            for seat in seats
            if self.confirmed(seat) <= wanted
        }
        addresses = {self._address_of(seat) for seat in lacking} - {""}
        return self._asker.ask(now, addresses, every_s=CONFIRM_EVERY_S)

    def _address_of(self, seat_id: SeatId) -> str:
        voice = self._answers.by_seat.get(seat_id)
        if voice is not None and voice.address not in self._answers.n_failures:
            return voice.address
        former = self.roster.former or {}
        seat = self.roster.seat(seat_id) or former.get(seat_id)
        return "" if seat is None else seat.vm.peer_address

    def _ask_about_status(self, now: float) -> tuple[Action, ...]:
        """Ask VMs that the directory lately named whether they serve."""
        addresses, self._to_check = self._to_check, []
        return self._asker.ask(now, addresses, every_s=CHECK_EVERY_S)

    def _step_leave(self, now: float) -> tuple[Action, ...]:
        asked = successors_to_ask(self.vm, self._addresses())
        return (
            *self._asker.ask(now, asked, every_s=CONFIRM_EVERY_S),
            *self._held.step(now, self.roster.next_offset, self._answers.by_address),
        )

    def _is_staying(self, now: float, vm: Vm) -> bool:
        if vm.id == self.vm.id:
            return not self.vm.leaving and not self.incarnations.is_self_gone
        if vm.leaving or vm.id in self._departed or vm.id in self.incarnations.gone():
            return False
        return not self.incarnations.is_leaving(vm.peer_address)

    def _is_serving(self, now: float, vm: Vm) -> bool:
        if vm.id == self.vm.id:
            return self.is_fresh(now)
        if vm.peer_address in self._answers.n_failures:
            return False
        heard = self._answers.by_address.get(vm.peer_address)
        if heard is None or now - heard.at > STATUS_S:
            return True
        return heard.answer.fresh and heard.answer.vm.id == vm.id

    def _tidy(self, now: float) -> None:
        seats = {seat for part in self.roster.majorities() for seat in part}
        self._answers.keep_only(now, seats)
        self._asker.forget(now)
        gone = self.incarnations.gone()
        self._known = {
            vm: known
            for vm, known in self._known.items()
            if vm not in gone or vm == self.vm.id
        }
        self._departed &= self._known.keys()
        self._callers &= {vm.peer_address for vm in self._known.values()} | set(
            self.incarnations.listed
        )
