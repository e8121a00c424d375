"""The shares that one VM holds: claims, settlement and hand-over."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from wagtailpaddle_core import Offset, VmId

from wagtailpaddle_quota.fold import ShareFold
from wagtailpaddle_quota.handover import HandOverTracker
from wagtailpaddle_quota.hints import HolderHints
from wagtailpaddle_quota.lending_bucket import LENDER_TERM_S
from wagtailpaddle_quota.messages import (
    AppendRecord,
    BucketState,
    ChangeShares,
    HandOverShare,
    HandOverShareAnswer,
    QuotaAction,
    SendPeer,
    ShareChange,
    ShareEntry,
    ShareHint,
    ShareId,
    ShareRecord,
)
from wagtailpaddle_quota.placement import Placement

STREAM = "shares"
MAX_CLOCK_DRIFT = 1.05
APPEND_TIMEOUT_S = 5.0
CLAIM_STAGGER_S = 5.0
"""Delay before claiming a vacant share, for each VM that is ranked higher."""

MAX_CHANGES_PER_RECORD = 64
REBALANCE_AFTER_S = 10.0
REBALANCE_INTERVAL_S = 1.0
MAX_REBALANCED = 4


@dataclass(frozen=True, slots=True)
class HeldShare:
    """A share that this VM holds.

    ``revision`` is the offset of the share's last record known to the holder,
    which was folded at ``claimed_at``. ``ready_at`` is None until a majority has
    folded the claim; then it is the time from which the share may be spent. Its
    buckets have refilled since ``filling_since``. A share received by direct
    hand-over is not ``recorded`` until the log contains its record.
    """

    share: ShareId
    revision: Offset
    hop: int
    recorded: bool
    ready_at: float | None
    filling_since: float = 0.0
    claimed_at: float = 0.0

    def ready(self, now: float) -> bool:
        """Return whether the claim is settled and ``ready_at`` has been reached."""
        return self.ready_at is not None and now >= self.ready_at


@dataclass(frozen=True, slots=True)
class _PendingAppend:
    """An append whose record has not been folded yet."""

    shares: tuple[ShareId, ...]
    since: float


class ShareManager:
    """Claims, settles, holds and hands over the shares of one VM."""

    def __init__(self, vm: VmId, *, n_groups: int, n_shares: int, freshness_s: float):
        self.vm = vm
        self.fold = ShareFold(n_groups=n_groups, n_shares=n_shares)
        self.held: dict[ShareId, HeldShare] = {}
        self.hand_overs = HandOverTracker(vm)
        self.hints = HolderHints()
        self.placement = Placement(n_shares=n_shares)
        self.vacant_since: dict[ShareId, float] = {}
        self.draining = False
        self.n_declined = 0
        self._freshness_s = freshness_s
        self._vms: frozenset[VmId] = frozenset()
        self._gone: frozenset[VmId] = frozenset()
        self._pending: dict[str, _PendingAppend] = {}
        self._n_records = 0
        self._rebalance_at = float("-inf")

    @property
    def vms(self) -> frozenset[VmId]:
        """The live VMs."""
        return self._vms

    def may_be_live(self, vm: VmId) -> bool:
        """Return whether ``vm`` names a VM that is not proven gone."""
        return vm != "" and vm not in self._gone

    def n_stranded(self) -> int:
        """Count shares whose holder is neither live nor proven gone."""
        known = self._vms | self._gone | {VmId("")}
        return sum(self.holder_of(share) not in known for share in self.fold.entries)

    def holder_of(self, share: ShareId) -> VmId:
        """Return the last known holder of ``share``; empty if it has none."""
        return self.hints.holder(self.fold.entry(share))

    def on_hints(self, now: float, hints: Iterable[ShareHint]) -> None:
        """Apply hints about shares that were handed over directly."""
        for hint in hints:
            entry = self.fold.entry(hint.share)
            if hint.revision >= entry.revision and self.hints.update(hint):
                self._update_vacancy(now, entry)

    # Updates from the log, peers and the membership

    def on_record(self, now: float, offset: Offset, record: ShareRecord) -> None:
        """Fold a record and give up the shares that it assigns to other VMs."""
        in_order = self.fold.next_offset == offset
        changed = self.fold.apply(offset, record)
        if isinstance(record, ChangeShares):
            self._pending.pop(record.id, None)
        self._on_entries(now, changed, in_order)

    def load(
        self, now: float, next_offset: Offset, entries: Iterable[ShareEntry]
    ) -> None:
        """Load the folded state of a peer if its offset is higher."""
        self._on_entries(now, self.fold.load(next_offset, entries), False)

    def on_roster(
        self,
        now: float,
        vms: Iterable[VmId],
        gone: Iterable[VmId],
    ) -> None:
        """Set the live VMs and those proven gone."""
        known = (frozenset(vms), frozenset(gone))
        if known == (self._vms, self._gone):
            return
        self._vms, self._gone = known
        self.placement.set_vms(self._vms - self._gone)
        self.hand_overs.discard_receivers(self._gone)
        if not self._vms:
            return
        for group in range(self.fold.n_groups):
            for index in range(self.fold.n_shares):
                self._update_vacancy(now, self.fold.entry(ShareId(group, index)))

    @property
    def unsettled(self) -> Offset | None:
        """The offset of the last claim that no majority has folded, None if none."""
        waiting = [h.revision for h in self.held.values() if h.ready_at is None]
        return max(waiting, default=None)

    def on_settled(self, now: float, fresh_at: float, upto: Offset) -> None:
        """Set ``ready_at`` of the shares whose claims a majority has folded."""
        for share, held_share in self.held.items():
            is_settled = (
                held_share.revision < upto and held_share.claimed_at <= fresh_at
            )
            if held_share.ready_at is not None or not is_settled:
                continue
            ready_at = now + MAX_CLOCK_DRIFT * self._freshness_s + LENDER_TERM_S
            self.held[share] = replace(
                held_share, ready_at=ready_at, filling_since=ready_at
            )

    def on_append_failed(self, record_id: str) -> None:
        """Discard a failed append; changes that are still needed are retried."""
        self._pending.pop(record_id, None)

    # Hand-over

    def take_over(self, now: float, message: HandOverShare) -> bool:
        """Accept a share from its holder; return whether it is newly held."""
        share = message.share
        if not self._accepts(message):
            self.n_declined += 1
            return False
        self.hand_overs.record_accepted(message)
        self.held[share] = HeldShare(
            share=share,
            revision=message.revision,
            hop=message.hop,
            recorded=False,
            ready_at=now,
            filling_since=now - max(0.0, message.idle_s),
        )
        self.on_hints(now, (_hint_from(message),))
        return True

    def receiver(
        self, share: ShareId, *, declined_by: VmId | None = None
    ) -> VmId | None:
        """Return the VM to hand ``share`` over to, None if there is no other.

        Shares of a group are spread over the remaining VMs, so that one crash
        does not strand all of them.
        """
        excluded = {self.vm} if declined_by is None else {self.vm, declined_by}
        return self.placement.receiver(share, excluded, self._n_held(share.group))

    def _n_held(self, group: int) -> Counter[VmId]:
        """Count the shares of a group by holder, including pending hand-overs."""
        outgoing = self.hand_overs.outgoing
        shares = (ShareId(group, index) for index in range(self.fold.n_shares))
        return Counter(
            outgoing[share].receiver if share in outgoing else self.holder_of(share)
            for share in shares
        )

    def hand_over(
        self,
        held_share: HeldShare,
        receiver: VmId,
        buckets: tuple[BucketState, ...],
        idle_s: float,
    ) -> SendPeer:
        """Stop using ``held_share`` and return the message that hands it over."""
        del self.held[held_share.share]
        message = HandOverShare(
            share=held_share.share,
            receiver=receiver,
            revision=held_share.revision,
            hop=held_share.hop + 1,
            idle_s=idle_s,
            buckets=buckets,
        )
        return self.hand_overs.send(message)

    def on_hand_over_reply(
        self, now: float, message: HandOverShare, reply: HandOverShareAnswer
    ) -> tuple[QuotaAction, ...]:
        """Complete a hand-over, or offer a declined share to another VM."""
        if not self.hand_overs.complete(message):
            return ()
        if reply.taken:
            self.on_hints(now, (_hint_from(message),))
            return ()
        receiver = self.receiver(message.share, declined_by=message.receiver)
        if receiver is None:
            return ()
        return (self.hand_overs.redirect(message, receiver),)

    def release(self, now: float, share: ShareId) -> tuple[QuotaAction, ...]:
        """Release a share that is not ready yet."""
        held_share = self.held.pop(share)
        if not held_share.recorded:
            return ()
        return (
            self._append(now, (ShareChange(share, held_share.revision, VmId("")),)),
        )

    # Periodic work

    def tick(self, now: float) -> tuple[QuotaAction, ...]:
        """Claim vacant shares and resend hand-overs; release shares while draining."""
        self._expire_pending(now)
        claims = self._releases(now) if self.draining else self._claims(now)
        return claims + self.hand_overs.resend(now)

    def due_for_rebalance(self, now: float) -> tuple[tuple[HeldShare, VmId], ...]:
        """Return a few held shares that other live VMs should hold.

        At most ``MAX_REBALANCED`` shares are returned in ``REBALANCE_INTERVAL_S``.
        Groups of which this VM holds the most shares come first, since a crash
        would strand these shares together.
        """
        if self.draining or self.hand_overs.outgoing or now < self._rebalance_at:
            return ()
        self._rebalance_at = now + REBALANCE_INTERVAL_S
        n_held = Counter(share.group for share in self.held)
        found = []
        for share in sorted(self.held, key=lambda item: (-n_held[item.group], item)):
            held_share = self.held[share]
            if not held_share.recorded or not held_share.ready(now - REBALANCE_AFTER_S):
                continue
            preferred = self.placement.preferred(share)
            if preferred is not None and preferred != self.vm:
                found.append((held_share, preferred))
            if len(found) == MAX_REBALANCED:
                break
        return tuple(found)

    def _on_entries(
        self, now: float, changed: tuple[ShareEntry, ...], in_order: bool
    ) -> None:
        for entry in changed:
            self.hints.on_entry(entry)
            self._on_entry(now, entry, in_order)
            self._update_vacancy(now, entry)

    def _on_entry(self, now: float, entry: ShareEntry, in_order: bool) -> None:
        """Add, update or remove the held share of a changed entry.

        Records folded ``in_order`` show every change. Otherwise another VM may
        have held the share in between, so even a share held before must settle
        again.
        """
        share = entry.share
        self.hand_overs.on_entry(entry)
        held_share = self.held.get(share)
        if held_share is not None and entry.revision <= held_share.revision:
            return
        if entry.holder != self.vm:
            self.held.pop(share, None)
        elif held_share is not None and not held_share.recorded and in_order:
            self.held[share] = replace(
                held_share, revision=entry.revision, hop=0, recorded=True
            )
        else:
            self.held[share] = HeldShare(
                share=share,
                revision=entry.revision,
                hop=0,
                recorded=True,
                ready_at=None,
                claimed_at=now,
            )

    def _update_vacancy(self, now: float, entry: ShareEntry) -> None:
        holder = self.hints.holder(entry)
        if holder == "" or holder in self._gone or self._is_lost_in_hand_over(entry):
            self.vacant_since.setdefault(entry.share, now)
        else:
            self.vacant_since.pop(entry.share, None)

    def _is_lost_in_hand_over(self, entry: ShareEntry) -> bool:
        """Return whether this VM handed a share over to a VM that is now gone.

        The record still names this VM, so no other VM will claim the share.
        """
        if self.holder_of(entry.share) != self.vm:
            return False
        owned = (self.held, self.hand_overs.outgoing)
        return not any(entry.share in shares for shares in owned)

    def _claims(self, now: float) -> tuple[QuotaAction, ...]:
        if not self.fold.complete or self.vm not in self._vms - self._gone:
            return ()
        pending = {s for item in self._pending.values() for s in item.shares}
        changes = [
            ShareChange(share, held_share.revision, self.vm)
            for share, held_share in sorted(self.held.items())
            if not held_share.recorded and share not in pending
        ]
        for share in sorted(self.vacant_since):
            if share in pending or share in self.held:
                continue
            if share in self.hand_overs.outgoing or not self._may_claim(now, share):
                continue
            expected = self.fold.entry(share).revision
            changes.append(ShareChange(share, expected, self.vm))
        if not changes:
            return ()
        return (self._append(now, tuple(changes[:MAX_CHANGES_PER_RECORD])),)

    def _releases(self, now: float) -> tuple[QuotaAction, ...]:
        """Release shares that a late record assigned to this draining VM."""
        not_ready = [s for s, h in sorted(self.held.items()) if not h.ready(now)]
        return tuple(
            action for share in not_ready for action in self.release(now, share)
        )

    def _may_claim(self, now: float, share: ShareId) -> bool:
        if self.holder_of(share) == self.vm:
            return True
        waited_s = now - self.vacant_since[share]
        if waited_s < CLAIM_STAGGER_S:
            return self.placement.preferred(share) == self.vm
        return waited_s >= CLAIM_STAGGER_S * self.placement.claim_order(share, self.vm)

    def _append(self, now: float, changes: tuple[ShareChange, ...]) -> AppendRecord:
        self._n_records += 1
        record = ChangeShares(f"{self.vm}/{self._n_records}", self.vm, changes)
        shares = tuple(change.share for change in changes)
        self._pending[record.id] = _PendingAppend(shares, now)
        return AppendRecord(STREAM, record)

    def _expire_pending(self, now: float) -> None:
        for record_id, item in list(self._pending.items()):
            if now - item.since >= APPEND_TIMEOUT_S:
                del self._pending[record_id]

    def _accepts(self, message: HandOverShare) -> bool:
        share = message.share
        if self.draining or not self.hand_overs.is_new(message):
            return False
        if not 0 <= share.group < self.fold.n_groups:
            return False
        if not 0 <= share.index < self.fold.n_shares:
            return False
        if self.fold.entry(share).revision > message.revision:
            return False
        held_share = self.held.get(share)
        return held_share is None or held_share.revision < message.revision


def _hint_from(message: HandOverShare) -> ShareHint:
    return ShareHint(message.share, message.receiver, message.revision, message.hop)
