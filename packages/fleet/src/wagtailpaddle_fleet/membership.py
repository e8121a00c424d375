"""One VM's view of the fleet: composes roster, freshness and directory."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from random import Random
from typing import Any

from wagtailpaddle_core import Offset, VmId, ZoneId

from wagtailpaddle_fleet.acceptance import Acceptance
from wagtailpaddle_fleet.answers import Answers
from wagtailpaddle_fleet.asking import Asker
from wagtailpaddle_fleet.directory import Directory
from wagtailpaddle_fleet.freshness import FRESHNESS_S, Freshness
from wagtailpaddle_fleet.handover import HeldSeats, successors_to_ask
from wagtailpaddle_fleet.incarnations import LIST_LAG_S, Incarnations
from wagtailpaddle_fleet.known import KnownVms
from wagtailpaddle_fleet.messages import (
    AcceptanceState,
    Action,
    CallerAddresses,
    FleetRecord,
    HandOverAnswer,
    HandOverSeats,
    ListedVm,
    OffsetAnswer,
    OffsetQuery,
    PeerAnswer,
    PeerMessage,
    RawRecord,
    RecordsAnswer,
    RecordsQuery,
    SeatId,
    Settle,
    SnapshotAnswer,
    SnapshotQuery,
    Vm,
)
from wagtailpaddle_fleet.questions import CONFIRM_EVERY_S, Questions
from wagtailpaddle_fleet.relay import CatchUp, RecordTail
from wagtailpaddle_fleet.roster import Roster
from wagtailpaddle_fleet.seating import Seating
from wagtailpaddle_fleet.sharesview import NextOffset, SharesView

SnapshotSource = Callable[[float, Offset, int], SnapshotAnswer]

LOG_SILENT_S = 1.0
LOG_LOST_S = 10.0
CHECK_EVERY_S = 4.0
STATUS_S = 12.0
HOUSEKEEPING_S = 30.0
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
    has folded, for VMs that start while the log is away. ``shares_offset``
    returns how far it has folded the ``shares`` stream.
    """

    def __init__(
        self,
        vm: Vm,
        *,
        seed: int = 0,
        snapshot_chunk: SnapshotSource = no_snapshot,
        shares_offset: NextOffset | None = None,
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
        self.shares = SharesView(
            roster=self.roster,
            answers=self._answers,
            held=self._own_seats,
            next_offset=shares_offset,
        )
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
            shares=self.shares,
            rng=rng,
        )
        self._known = KnownVms(vm, roster=self.roster, incarnations=self.incarnations)
        self._questions = Questions(
            vm,
            roster=self.roster,
            held=self._held,
            answers=self._answers,
            known=self._known,
            asker=self._asker,
        )
        self._to_check: list[str] = []
        self._serving_at = float("-inf")
        self._housekeeping_at = float("-inf")
        self._gone_until = float("-inf")

    # Events.

    def on_folded(
        self, now: float, offset: Offset, data: bytes, record: FleetRecord | None
    ) -> tuple[Action, ...]:
        """The record at ``offset`` was folded; None stands for any other kind."""
        self._tail.add(RawRecord(offset, data))
        if record is None:
            self.roster.apply(offset, None)
            return ()
        loser = self._known.holder_before(record.change)
        self.roster.apply(offset, record)
        self._known.folded(now, record.change, loser)
        if isinstance(record.change, Settle):
            self.shares.on_seats_changed(now)
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
        self._known.note_caller(now, sender)
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
                return self._held.on_offered(
                    now, next_offset, body, shares_offset=self.shares.next_offset
                )
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
        self.shares.on_seats_changed(now)
        for vm in self.roster.holders():
            self._known.note(now, vm)
        return ()

    def tick(self, now: float) -> tuple[Action, ...]:
        """Act on the passing of time; called several times a second."""
        if now - self._housekeeping_at >= HOUSEKEEPING_S:
            self._housekeeping_at = now
            self._tidy(now)
        if self.incarnations.is_self_gone:
            self._gone_until = now
        self._acceptance.update()
        actions: list[Action] = []
        is_silent = self._is_log_silent(now)
        if is_silent:
            self._count_voices(now)
            actions += self._questions.for_freshness(
                now,
                confirmed_at=self.freshness.confirmed_at,
                window_s=self.freshness.window_s,
            )
            actions += self._step_catch_up()
        if now - self.freshness.log_at <= LOG_LOST_S:
            actions += self._seating.step(now, is_current=not is_silent)
        actions += self._ask_for_confirmations(now)
        actions += self._questions.of_seats(now, self.shares.lacking())
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

    def may_serve_open(self, now: float) -> bool:
        """Return whether routes open to all may be served at ``now``."""
        return self.is_fresh(now)

    @property
    def held_seats(self) -> frozenset[SeatId]:
        """The seats for which this VM speaks."""
        return frozenset(self._own_seats())

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
        others = self._known.staying()
        if self.vm.leaving or self.incarnations.is_self_gone:
            return others
        return tuple(sorted((*others, self.vm), key=lambda vm: vm.id))

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
            seats=self._held.spoken_for() if self._may_speak() else (),
            fresh=self.is_fresh(now),
            at=now,
            shares_offset=self.shares.next_offset,
        )

    def _may_speak(self) -> bool:
        """Return whether others can't have counted this VM as gone.

        One that was taken for gone speaks again once it has read the log.
        """
        is_gone = self.incarnations.is_self_gone
        return not is_gone and self.freshness.log_at >= self._gone_until

    def _on_offset(
        self, now: float, sent_at: float, address: str, answer: OffsetAnswer
    ) -> tuple[Action, ...]:
        self._asker.done(address)
        self._answers.note(now, sent_at, address, answer)
        self._known.note(now, answer.vm)
        self._acceptance.update()
        if not self._is_log_silent(now):
            return ()
        self._count_voices(now)
        return self._step_catch_up()

    def _count_voices(self, now: float) -> None:
        held = self._own_seats()
        self.freshness.peers_answered(now, self.roster, held, self._answers.by_seat)

    def _own_seats(self) -> set[SeatId]:
        return self._held.seats if self._may_speak() else set()

    def _step_catch_up(self) -> tuple[Action, ...]:
        reachable = {
            address: heard
            for address, heard in self._answers.by_address.items()
            if address not in self._answers.n_failures
        }
        return self._catch_up.step(self.roster.next_offset, reachable)

    def _is_log_silent(self, now: float) -> bool:
        log_at = min(self.freshness.log_at, self.shares.log_at)
        return now - log_at > LOG_SILENT_S

    def _ask_for_confirmations(self, now: float) -> tuple[Action, ...]:
        wanted = self._acceptance.wanted
        if self.roster.change is not None and self._seating.must_confirm(now):
            if self._seating.needs_every_vm(now):
                return self._questions.of_everyone(now)
            wanted = max(wanted or 0, self.roster.change)
        if wanted is None:
            return ()
        return self._questions.for_confirmations(now, wanted, self.confirmed)

    def _ask_about_status(self, now: float) -> tuple[Action, ...]:
        """Ask VMs that the directory lately named whether they serve."""
        addresses, self._to_check = self._to_check, []
        return self._asker.ask(now, addresses, every_s=CHECK_EVERY_S)

    def _step_leave(self, now: float) -> tuple[Action, ...]:
        asked = successors_to_ask(self.vm, self._known.addresses())
        return (
            *self._asker.ask(now, asked, every_s=CONFIRM_EVERY_S),
            *self._held.step(
                now,
                self.roster.next_offset,
                self._answers.by_address,
                shares_offset=self.shares.next_offset,
            ),
        )

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
        self._known.forget()
