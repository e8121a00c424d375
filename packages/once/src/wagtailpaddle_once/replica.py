"""The replica side: voting on claims, and moving them as the roster changes."""

from collections.abc import Callable, Mapping

from wagtailpaddle_core import VmId, ensure

from wagtailpaddle_once.messages import (
    AskAttempt,
    AttemptState,
    AttemptStatus,
    Claim,
    ClaimKey,
    ClaimRoster,
    ClaimState,
    HandOverClaims,
    OnceAction,
    Place,
    Placed,
    SendPeer,
    Settled,
    Store,
    Sync,
    SyncPage,
    Vote,
    Withdraw,
)
from wagtailpaddle_once.store import ClaimStore
from wagtailpaddle_once.table import Replicas, ReplicaTable, majority, partition_of

MAX_ROSTER_HISTORY = 8
"""Number of roster revisions whose replicas are retained."""

PAGE_BYTES = 64 * 1024
SYNC_INTERVAL_S = 0.3
MAX_SYNC_INTERVAL_S = 2.0
MAX_SYNCS_PER_TICK = 24
HAND_OVER_RETRY_INTERVAL_S = 0.5
ATTEMPT_QUERY_INTERVAL_S = 5.0
MAX_ATTEMPT_QUERIES_PER_TICK = 50


class _PartitionSync:
    """Transfer of the claims of a partition that this VM joined.

    The VM may not vote on the partition before the transfer is complete.
    ``last_revision`` is the last revision at which this VM was a replica, or None
    while it is one. The transfer continues after the VM has left the partition,
    since later replicas may wait for its claims.
    """

    __slots__ = (
        "completed",
        "cursors",
        "former_revision",
        "last_revision",
        "retry_at",
        "retry_interval_s",
        "sources",
        "started_at",
    )

    def __init__(
        self, former_revision: int, sources: Replicas, started_at: float
    ) -> None:
        self.former_revision = former_revision
        self.sources = sources
        self.started_at = started_at
        self.completed: set[VmId] = set()
        self.last_revision: int | None = None
        self.retry_at: float = 0.0
        self.retry_interval_s: float = SYNC_INTERVAL_S
        self.cursors: dict[VmId, ClaimKey | None] = {}


class Replica:
    """Votes on the partitions of this VM and stores their claims.

    A VM that joins a partition votes only after a majority of the former replicas
    has sent it their claims. They send them only after they have applied a later
    roster themselves. A claim that a majority accepted before is therefore missing
    on one replica at most.
    """

    def __init__(self, vm: VmId, *, store: ClaimStore, n_partitions: int, ttl_s: float):
        self.vm = vm
        self.store = store
        self.leaving = False
        self.revision = -1
        self.syncing: dict[int, _PartitionSync] = {}
        self._ttl_s = ttl_s
        self._n_partitions = n_partitions
        self._table = ReplicaTable(n_partitions=n_partitions)
        self._history: dict[int, tuple[Replicas, ...]] = {}
        self._synced_revision: dict[int, int] = {}
        self._gone_at: dict[VmId, float] = {}
        self._received_pages: dict[tuple[VmId, int], set[int]] = {}
        self._hand_over_received_at: dict[tuple[VmId, int], float] = {}
        self._pending_hand_overs: dict[HandOverClaims, VmId] = {}
        self._resend_at = float("-inf")

    # Applying rosters

    def replicas(self, partition: int) -> Replicas:
        """Return the replicas of ``partition`` under the current roster."""
        table = self._history.get(self.revision)
        return table[partition] if table else ()

    def partition(self, key: ClaimKey) -> int:
        """Return the partition of ``key``."""
        return partition_of(key, self._n_partitions)

    def on_roster(
        self,
        now: float,
        roster: ClaimRoster,
        previous: ClaimRoster | None,
        gone: frozenset[VmId],
    ) -> None:
        """Apply ``gone``, and ``roster`` if it is newer than the current one."""
        self._update_gone(now, gone)
        if roster.revision <= self.revision:
            return
        consecutive = previous is not None and previous.revision == self.revision
        if previous is not None and not consecutive:
            self._history[previous.revision] = self._table.update(previous)
        former_revision = None if previous is None else previous.revision
        self._history[roster.revision] = self._table.update(roster)
        self.revision = roster.revision
        for revision in sorted(self._history)[:-MAX_ROSTER_HISTORY]:
            del self._history[revision]
        for partition in range(self._n_partitions):
            self._update_partition(now, partition, former_revision, consecutive)

    def _update_partition(
        self, now: float, partition: int, former_revision: int | None, consecutive: bool
    ) -> None:
        """Determine whether this VM may vote on ``partition`` under the new roster."""
        current = self.replicas(partition)
        if self.vm not in current:
            pending = self.syncing.get(partition)
            if pending is not None and pending.last_revision is None:
                pending.last_revision = self.revision - 1
            return
        if former_revision is None:
            self._synced_revision[partition] = self.revision
            return
        former_replicas = self._history[former_revision][partition]
        remains = (
            consecutive
            and self.vm in former_replicas
            and len(current) >= len(former_replicas)
        )
        if remains:
            if partition not in self.syncing:
                self._synced_revision[partition] = self.revision
            return
        sync = _PartitionSync(former_revision, former_replicas, now)
        if (
            self._synced_revision.get(partition, -1) == former_revision
            and self.vm in former_replicas
        ):
            sync.completed.add(self.vm)
        self.syncing[partition] = sync

    def _update_gone(self, now: float, gone: frozenset[VmId]) -> None:
        for vm in sorted(gone - set(self._gone_at)):
            self._gone_at[vm] = now
            self.store.on_coordinator_gone(vm, now)
        for vm in [vm for vm in self._gone_at if vm not in gone]:
            del self._gone_at[vm]
        for transfer, received_at in list(self._hand_over_received_at.items()):
            if now - received_at >= self._ttl_s:
                del self._hand_over_received_at[transfer]
                self._received_pages.pop(transfer, None)

    # Voting and settling claims

    def on_place(self, now: float, message: Place) -> Placed:
        """Vote on an attempt, and return the conflicting claim if there is one."""
        partition = self.partition(message.key)
        vote = self._refusal(partition, message.revision)
        if vote is not None:
            return Placed(message.attempt, vote)
        ensure(
            self.vm in self.replicas(partition) and partition not in self.syncing,
            "only-synced-replicas-vote",
            vm=self.vm,
            partition=partition,
        )
        entry = self.store.get(message.key)
        if entry is None:
            claim = Claim(
                key=message.key,
                fingerprint=message.fingerprint,
                attempt=message.attempt,
                state=ClaimState.PLACED,
                age_s=0.0,
            )
            stored = self.store.place(now, partition, claim)
            return Placed(message.attempt, Vote.ACCEPTED if stored else Vote.FULL)
        unsettled = entry.state is ClaimState.PLACED
        if unsettled and entry.attempts == (message.attempt,):
            return Placed(message.attempt, Vote.ACCEPTED)
        return Placed(message.attempt, Vote.HELD, self.store.to_claims(now, entry)[0])

    def _refusal(self, partition: int, revision: int) -> Vote | None:
        if self.leaving:
            return Vote.LEAVING
        if revision != self.revision and not self._replicas_unchanged(
            partition, revision
        ):
            return Vote.REVISION
        if self.vm not in self.replicas(partition):
            return Vote.REVISION
        if partition in self.syncing:
            return Vote.NOT_SYNCED
        return None

    def _replicas_unchanged(self, partition: int, revision: int) -> bool:
        """Return whether ``partition`` has had the same replicas since ``revision``."""
        if revision > self.revision or revision not in self._history:
            return False
        current = self.replicas(partition)
        return all(
            table[partition] == current
            for other_revision, table in self._history.items()
            if other_revision >= revision
        )

    def on_withdraw(self, message: Withdraw) -> Settled:
        """Remove an attempt that has not run."""
        self.store.remove_attempt(message.key, message.attempt)
        return Settled(message.attempt)

    def on_store(self, now: float, message: Store) -> Settled:
        """Store the outcome of an attempt."""
        partition = self.partition(message.key)
        return Settled(message.attempt, self.store.finish(now, partition, message))

    # Querying coordinators about claims without an outcome

    def query_attempts(self, now: float) -> tuple[OnceAction, ...]:
        """Query the coordinators of attempts that have been unsettled for a while.

        If one of them is gone, the outcome of the claim becomes unknown.
        """
        actions: list[OnceAction] = []
        for entry in self.store.unsettled():
            if len(actions) >= MAX_ATTEMPT_QUERIES_PER_TICK:
                break
            if now - entry.queried_at < ATTEMPT_QUERY_INTERVAL_S:
                continue
            entry.queried_at = now
            if any(attempt.coordinator in self._gone_at for attempt in entry.attempts):
                self.store.mark_unknown(now, entry)
                continue
            actions += [
                SendPeer(attempt.coordinator, AskAttempt(entry.key, attempt))
                for attempt in entry.attempts
            ]
        return tuple(actions)

    def on_attempt_status(
        self, now: float, message: AskAttempt, reply: AttemptStatus
    ) -> None:
        """Apply the state of an attempt that its coordinator reported."""
        entry = self.store.get(message.key)
        if entry is None or message.attempt not in entry.attempts:
            return
        if reply.state is AttemptState.WITHDRAWN:
            self.store.remove_attempt(message.key, message.attempt)
        elif reply.state is AttemptState.FORGOTTEN:
            self.store.mark_unknown(now, entry)
        elif reply.state is AttemptState.FINISHED and reply.store is not None:
            self.on_store(now, reply.store)

    # Synchronising claims from former replicas

    def on_sync(self, now: float, message: Sync) -> SyncPage:
        """Return the claims of a partition; refuse if this VM may lack some."""
        partition, former = message.partition, message.former
        has_all_claims = self._synced_revision.get(partition, -1) >= former
        if not has_all_claims or self.revision <= former:
            return SyncPage(partition, former, refused=True)
        claims, more = self.store.claims(now, partition, message.after, PAGE_BYTES)
        return SyncPage(partition, former, False, more, claims)

    def request_sync(self, now: float) -> tuple[OnceAction, ...]:
        """Request claims from the former replicas of partitions this VM joined."""
        actions: list[OnceAction] = []
        for partition, sync in list(self.syncing.items()):
            self._complete_absent_sources(now, partition, sync)
            if self._finish_sync(partition, sync) or now < sync.retry_at:
                continue
            if len(actions) >= MAX_SYNCS_PER_TICK:
                break
            sync.retry_at = now + sync.retry_interval_s
            sync.retry_interval_s = min(2 * sync.retry_interval_s, MAX_SYNC_INTERVAL_S)
            for vm in sync.sources:
                if vm != self.vm and vm not in sync.completed:
                    after = sync.cursors.get(vm)
                    message = Sync(partition, sync.former_revision, after)
                    actions.append(SendPeer(vm, message))
        return tuple(actions)

    def on_sync_page(
        self, now: float, vm: VmId, message: Sync, reply: SyncPage
    ) -> tuple[OnceAction, ...]:
        """Merge a page of claims of a former replica and request the next one."""
        sync = self.syncing.get(message.partition)
        if sync is None or sync.former_revision != message.former or reply.refused:
            return ()
        if message.after != sync.cursors.get(vm) or vm in sync.completed:
            return ()
        if not self._merge(now, message.partition, reply.claims):
            return ()
        if reply.more and reply.claims:
            after = reply.claims[-1].key
            sync.cursors[vm] = after
            return (SendPeer(vm, Sync(message.partition, message.former, after)),)
        sync.completed.add(vm)
        self._finish_sync(message.partition, sync)
        return ()

    def _merge(self, now: float, partition: int, claims: tuple[Claim, ...]) -> bool:
        """Merge copies of claims.

        Returns False if one belongs to another partition or memory is full.
        """
        return all(
            self.partition(claim.key) == partition
            and self.store.merge(now, partition, claim)
            for claim in claims
        )

    def _complete_absent_sources(
        self, now: float, partition: int, sync: _PartitionSync
    ) -> None:
        """Count former replicas as completed that no longer need to answer.

        They have handed over their claims, or have been gone for the TTL of claims.
        """
        for vm in sync.sources:
            gone_at = max(self._gone_at.get(vm, float("inf")), sync.started_at)
            if (
                vm,
                partition,
            ) in self._hand_over_received_at or now - gone_at >= self._ttl_s:
                sync.completed.add(vm)

    def _finish_sync(self, partition: int, sync: _PartitionSync) -> bool:
        if len(sync.completed) < majority(sync.sources):
            return False
        del self.syncing[partition]
        last_revision = (
            self.revision if sync.last_revision is None else sync.last_revision
        )
        self._synced_revision[partition] = max(
            last_revision, self._synced_revision.get(partition, -1)
        )
        return True

    # Handing over claims at a graceful stop

    def start_hand_over(self, now: float, successors: Mapping[int, VmId]) -> None:
        """Stop voting and queue the claims of each partition for its successor."""
        self.leaving = True
        for partition, successor in successors.items():
            pages: list[tuple[Claim, ...]] = []
            after: ClaimKey | None = None
            more = True
            while more:
                claims, more = self.store.claims(now, partition, after, PAGE_BYTES)
                pages.append(claims)
                after = claims[-1].key if claims else None
            for page, claims in enumerate(pages):
                message = HandOverClaims(partition, page, len(pages), claims)
                self._pending_hand_overs[message] = successor

    def successors(self, next_replicas: Callable[[int], Replicas]) -> dict[int, VmId]:
        """Return a joining VM for each partition whose claims this VM has in full."""
        chosen = {}
        for partition in range(self._n_partitions):
            current = self.replicas(partition)
            if self.vm not in current or partition in self.syncing:
                continue
            joining = [vm for vm in next_replicas(partition) if vm not in current]
            if joining:
                chosen[partition] = joining[0]
        return chosen

    @property
    def handed_over(self) -> bool:
        """Whether every hand-over message was answered."""
        return not self._pending_hand_overs

    def send_hand_overs(self, now: float) -> tuple[OnceAction, ...]:
        """Send the unanswered hand-over messages again if a retry is due."""
        if now < self._resend_at:
            return ()
        self._resend_at = now + HAND_OVER_RETRY_INTERVAL_S
        return tuple(
            SendPeer(vm, message) for message, vm in self._pending_hand_overs.items()
        )

    def on_hand_over_reply(self, message: HandOverClaims) -> None:
        """Remove a hand-over message that was answered."""
        self._pending_hand_overs.pop(message, None)

    def on_hand_over_claims(
        self, now: float, sender: VmId, message: HandOverClaims
    ) -> bool:
        """Merge a page of claims of a leaving replica; False if it is refused."""
        if self.leaving or not 0 <= message.partition < self._n_partitions:
            return False
        if not self._merge(now, message.partition, message.claims):
            return False
        transfer = (sender, message.partition)
        pages = self._received_pages.setdefault(transfer, set())
        pages.add(message.page)
        if len(pages) >= message.n_pages:
            self._hand_over_received_at[transfer] = now
        return True
