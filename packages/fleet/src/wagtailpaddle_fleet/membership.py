"""One VM's view of the fleet, composed of roster, freshness and directory."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from random import Random
from typing import Any

from wagtailpaddle_core import Offset, VmId, ZoneId

from wagtailpaddle_fleet.acceptance import Acceptance
from wagtailpaddle_fleet.catch_up import CatchUp, RecordTail
from wagtailpaddle_fleet.directory import Directory
from wagtailpaddle_fleet.freshness import FRESHNESS_S, Freshness
from wagtailpaddle_fleet.handover import HeldSeats, successor_candidates
from wagtailpaddle_fleet.incarnations import LIST_LAG_S, Incarnations
from wagtailpaddle_fleet.known_vms import KnownVms
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
from wagtailpaddle_fleet.offset_answers import OffsetAnswers
from wagtailpaddle_fleet.poll_policy import CONFIRM_INTERVAL_S, PollPolicy
from wagtailpaddle_fleet.poller import OffsetPoller
from wagtailpaddle_fleet.roster import Roster
from wagtailpaddle_fleet.seat_proposer import SeatProposer
from wagtailpaddle_fleet.shares_progress import NextOffset, SharesProgress

SnapshotSource = Callable[[float, Offset, int], SnapshotAnswer]

LOG_SILENT_S = 1.0
LOG_OUTAGE_S = 10.0
STATUS_POLL_INTERVAL_S = 4.0
STATUS_TTL_S = 12.0
HOUSEKEEPING_INTERVAL_S = 30.0
SERVING_CACHE_TTL_S = 0.5
MAX_STATUS_POLLS = 16


def no_snapshot(now: float, upto: Offset, index: int) -> SnapshotAnswer:
    """Return the answer of a VM that provides no snapshots."""
    return SnapshotAnswer(upto, index, 0, b"")


class Membership:
    """Makes all decisions of one VM about the fleet.

    Methods receive events with the current time and return frozen actions. The
    caller folds the ``config`` stream in order and reports each offset once.
    ``snapshot_chunk`` returns one encoded chunk of a snapshot of the state that
    this VM has folded, for VMs that start while the log is unavailable.
    ``shares_offset`` returns how far this VM has folded the ``shares`` stream.
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
        self._answers = OffsetAnswers()
        self._held = HeldSeats(vm)
        self.shares = SharesProgress(
            roster=self.roster,
            answers=self._answers,
            held_seats=self._voting_seats,
            next_offset=shares_offset,
        )
        self._poller = OffsetPoller(vm.peer_address, self._answers)
        self._record_tail = RecordTail()
        self._catch_up = CatchUp(rng=rng)
        self._acceptance = Acceptance(self.roster, self.confirmed_offset)
        self._seat_proposer = SeatProposer(
            vm,
            roster=self.roster,
            held=self._held,
            incarnations=self.incarnations,
            answers=self._answers,
            confirmed_offset=self.confirmed_offset,
            shares=self.shares,
            rng=rng,
        )
        self._known_vms = KnownVms(
            vm, roster=self.roster, incarnations=self.incarnations
        )
        self._poll_policy = PollPolicy(
            vm,
            roster=self.roster,
            held=self._held,
            answers=self._answers,
            known_vms=self._known_vms,
            poller=self._poller,
        )
        self._to_poll: list[str] = []
        self._serving_cached_at = float("-inf")
        self._housekeeping_at = float("-inf")
        self._last_gone_at = float("-inf")

    # Event handlers.

    def on_folded(
        self, now: float, offset: Offset, data: bytes, record: FleetRecord | None
    ) -> tuple[Action, ...]:
        """Handle a folded record; ``record`` is None if it is not about seats."""
        self._record_tail.add(RawRecord(offset, data))
        if record is None:
            self.roster.apply(offset, None)
            return ()
        previous_holder = self._known_vms.current_holder(record.change)
        self.roster.apply(offset, record)
        self._known_vms.on_change_folded(now, record.change, previous_holder)
        if isinstance(record.change, Settle):
            self.shares.on_seats_changed(now)
        return ()

    def on_log_head(
        self, now: float, sent_at: float, head: Offset
    ) -> tuple[Action, ...]:
        """Handle the head that the log returned to a query sent at ``sent_at``.

        Call it after the records in the same answer were folded.
        """
        self.freshness.on_log_head(sent_at, head, self.roster.next_offset)
        return ()

    def on_vm_list(self, now: float, entries: Iterable[ListedVm]) -> tuple[Action, ...]:
        """Handle a new copy of the platform's list of VMs."""
        self.incarnations.on_vm_list(now, entries)
        return ()

    def on_message(
        self, now: float, sender: VmId, body: PeerMessage
    ) -> PeerAnswer | None:
        """Return the answer to a peer's message, None for other message types."""
        self._known_vms.add_sender(now, sender)
        next_offset = self.roster.next_offset
        match body:
            case OffsetQuery():
                return self._offset_answer(now)
            case RecordsQuery():
                return self._record_tail.answer(body.start, next_offset)
            case SnapshotQuery():
                return self._snapshot_chunk(now, body.upto, body.index)
            case HandOverSeats():
                if self.incarnations.is_self_gone:
                    return HandOverAnswer(False, next_offset)
                return self._held.on_hand_over(
                    now, next_offset, body, shares_offset=self.shares.next_offset
                )
            case _:
                return None

    def on_reply(
        self, now: float, sent_at: float, address: str, body: PeerMessage, reply: Any
    ) -> tuple[Action, ...]:
        """Handle a peer's reply to the message ``body`` sent at ``sent_at``.

        A reply of the wrong type counts as a failed call.
        """
        next_offset = self.roster.next_offset
        match body, reply:
            case OffsetQuery(), OffsetAnswer():
                return self._on_offset_answer(now, sent_at, address, reply)
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
        """Handle a call to a peer that failed; the message may have arrived."""
        match body:
            case OffsetQuery():
                self._poller.on_completed(address)
                self._answers.on_failed(now, address)
            case RecordsQuery() | SnapshotQuery():
                self._catch_up.on_failed(address)
            case HandOverSeats():
                self._held.on_failed()
        return ()

    def on_snapshot_restored(
        self, now: float, upto: Offset, items: Iterable[tuple[str, Mapping[str, Any]]]
    ) -> tuple[Action, ...]:
        """Restore the roster's ``items`` of a snapshot at ``upto``.

        Raises ``ValueError`` if they are malformed.
        """
        self.roster.restore(upto, items)
        self.shares.on_seats_changed(now)
        for vm in self.roster.holders():
            self._known_vms.add(now, vm)
        return ()

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return the actions that are due; called several times a second."""
        if now - self._housekeeping_at >= HOUSEKEEPING_INTERVAL_S:
            self._housekeeping_at = now
            self._prune(now)
        if self.incarnations.is_self_gone:
            self._last_gone_at = now
        self._acceptance.update()
        actions: list[Action] = []
        is_silent = self._is_log_silent(now)
        if is_silent:
            self._count_reports(now)
            actions += self._poll_policy.poll_for_freshness(
                now,
                confirmed_at=self.freshness.confirmed_at,
                window_s=self.freshness.window_s,
            )
            actions += self._step_catch_up()
        if now - self.freshness.log_confirmed_at <= LOG_OUTAGE_S:
            actions += self._seat_proposer.step(now, is_caught_up=not is_silent)
        actions += self._poll_unconfirmed(now)
        actions += self._poll_policy.poll_holders(now, self.shares.lagging_seats())
        actions += self._poll_status(now)
        if self._held.leaving_since is not None:
            actions += self._step_leave(now)
        return tuple(actions)

    def track_acceptance(self, now: float, offset: Offset) -> tuple[Action, ...]:
        """Begin to count confirmations of the change at ``offset``."""
        self._acceptance.track(now, offset)
        return ()

    def leave(self, now: float) -> tuple[Action, ...]:
        """Begin a graceful stop: hand over the seats and leave the directory."""
        self.vm = replace(self.vm, leaving=True)
        self._held.begin_leave(now)
        return self._step_leave(now)

    # State queries.

    @property
    def has_left(self) -> bool:
        """Whether this VM is leaving and holds or hands over no more seats."""
        return self._held.has_left

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        if self.incarnations.is_self_gone:
            return False
        return self.freshness.is_fresh(now)

    def may_serve_open(self, now: float) -> bool:
        """Return whether routes that need no key may be served at ``now``."""
        return self.is_fresh(now)

    @property
    def held_seats(self) -> frozenset[SeatId]:
        """The seats that this VM votes for."""
        return frozenset(self._voting_seats())

    def confirmed_offset(self, seat: SeatId) -> Offset:
        """Return the highest next offset that was reported for a seat."""
        reported = self._answers.confirmed_offset(seat)
        if seat in self._held.seats:
            return max(reported, self.roster.next_offset)
        return reported

    def acceptance(self, offset: Offset) -> AcceptanceState:
        """Return how many seats have confirmed the change at ``offset``."""
        return self._acceptance.state(offset)

    def gone(self, now: float) -> frozenset[VmId]:
        """Return the known VMs that certainly no longer serve or spend tokens."""
        return self.incarnations.gone()

    def is_gone(self, now: float, vm: VmId) -> bool:
        """Return whether a VM is certainly gone; it need not be known."""
        return self.incarnations.is_gone(now, vm)

    def vms(self, now: float) -> tuple[Vm, ...]:
        """Return the known VMs that are neither gone nor leaving, ordered by id."""
        others = self._known_vms.active()
        if self.vm.leaving or self.incarnations.is_self_gone:
            return others
        return tuple(sorted((*others, self.vm), key=lambda vm: vm.id))

    def snapshot_items(self) -> tuple[tuple[str, dict[str, Any]], ...]:
        """Return the state of the roster as (name, table) pairs for a snapshot."""
        return self.roster.snapshot_items()

    def addresses_for(
        self,
        now: float,
        *,
        account: str | None = None,
        zone: ZoneId | None = None,
        preferred_vms: Sequence[VmId] = (),
    ) -> CallerAddresses:
        """Return the addresses that a caller should use, best first.

        Excludes VMs that are leaving or gone, or that recently were not fresh or
        did not answer. ``preferred_vms`` names VMs that hold shares of the
        account.
        """
        if now - self._serving_cached_at >= SERVING_CACHE_TTL_S:
            self._serving_cached_at = now
            active = self.vms(now)
            serving = [vm for vm in active if self._is_serving(now, vm)]
            self.directory.set_vms(serving)
            not_serving = {vm.peer_address for vm in active}
            not_serving -= {vm.peer_address for vm in serving}
            self._to_poll = sorted(not_serving)
        found = self.directory.addresses_for(
            account=account, zone=zone, preferred_vms=preferred_vms
        )
        self._to_poll = [*found.peer_addresses, *self._to_poll][:MAX_STATUS_POLLS]
        return found.answer

    def _offset_answer(self, now: float) -> OffsetAnswer:
        return OffsetAnswer(
            vm=self.vm,
            next_offset=self.roster.next_offset,
            seats=self._held.voting_seats() if self._may_vote() else (),
            fresh=self.is_fresh(now),
            at=now,
            shares_offset=self.shares.next_offset,
        )

    def _may_vote(self) -> bool:
        """Return whether no other VM can consider this VM gone.

        After it may have been considered gone, it votes again only once it has
        caught up with the log.
        """
        is_gone = self.incarnations.is_self_gone
        return not is_gone and self.freshness.log_confirmed_at >= self._last_gone_at

    def _on_offset_answer(
        self, now: float, sent_at: float, address: str, answer: OffsetAnswer
    ) -> tuple[Action, ...]:
        self._poller.on_completed(address)
        self._answers.add(now, sent_at, address, answer)
        self._known_vms.add(now, answer.vm)
        self._acceptance.update()
        if not self._is_log_silent(now):
            return ()
        self._count_reports(now)
        return self._step_catch_up()

    def _count_reports(self, now: float) -> None:
        held = self._voting_seats()
        self.freshness.on_seat_reports(now, self.roster, held, self._answers.by_seat)

    def _voting_seats(self) -> set[SeatId]:
        return self._held.seats if self._may_vote() else set()

    def _step_catch_up(self) -> tuple[Action, ...]:
        reachable = {
            address: received
            for address, received in self._answers.by_address.items()
            if address not in self._answers.n_failures
        }
        return self._catch_up.step(self.roster.next_offset, reachable)

    def _is_log_silent(self, now: float) -> bool:
        log_at = min(self.freshness.log_confirmed_at, self.shares.log_confirmed_at)
        return now - log_at > LOG_SILENT_S

    def _poll_unconfirmed(self, now: float) -> tuple[Action, ...]:
        offset = self._acceptance.latest_pending
        if (
            self.roster.unsettled_change is not None
            and self._seat_proposer.collects_confirmations(now)
        ):
            if self._seat_proposer.must_poll_all(now):
                return self._poll_policy.poll_all(now)
            offset = max(offset or 0, self.roster.unsettled_change)
        if offset is None:
            return ()
        return self._poll_policy.poll_unconfirmed(now, offset, self.confirmed_offset)

    def _poll_status(self, now: float) -> tuple[Action, ...]:
        """Query VMs that the directory recently returned or excluded."""
        addresses, self._to_poll = self._to_poll, []
        return self._poller.poll(now, addresses, interval_s=STATUS_POLL_INTERVAL_S)

    def _step_leave(self, now: float) -> tuple[Action, ...]:
        candidates = successor_candidates(self.vm, self._known_vms.addresses())
        return (
            *self._poller.poll(now, candidates, interval_s=CONFIRM_INTERVAL_S),
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
        received = self._answers.by_address.get(vm.peer_address)
        if received is None or now - received.received_at > STATUS_TTL_S:
            return True
        return received.answer.fresh and received.answer.vm.id == vm.id

    def _prune(self, now: float) -> None:
        seats = {seat for part in self.roster.majorities() for seat in part}
        self._answers.prune(now, seats)
        self._poller.prune(now)
        self._known_vms.prune()
