"""The replica side: votes on claims, and keeping up with the roster."""

from collections.abc import Callable, Mapping

from wagtailpaddle_core import VmId, ensure

from wagtailpaddle_once.messages import (
    AskAttempt,
    AttemptState,
    AttemptStatus,
    Claim,
    ClaimKey,
    ClaimState,
    HandOverClaims,
    OnceAction,
    Place,
    Placed,
    Roster,
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

N_HISTORY = 8
"""Roster revisions whose replicas are remembered."""

PAGE_BYTES = 64 * 1024
SYNC_INTERVAL_S = 0.3
MAX_SYNC_PAUSE_S = 2.0
MAX_SYNCS_PER_TICK = 24
HAND_OVER_INTERVAL_S = 0.5
ASK_AFTER_S = 5.0
MAX_ASKED = 50
"""Coordinators asked in one tick."""


class _Syncing:
    """A partition that this VM joined and may not vote on yet.

    ``last`` is the last revision at which it was a replica, None while it is
    one. A VM that left goes on, since others may wait for its claims.
    """

    __slots__ = (
        "after",
        "answered",
        "former",
        "last",
        "next_at",
        "pause_s",
        "since",
        "sources",
    )

    def __init__(self, former: int, sources: Replicas, since: float) -> None:
        self.former = former
        self.sources = sources
        self.since = since
        self.answered: set[VmId] = set()
        self.last: int | None = None
        self.next_at: float = 0.0
        self.pause_s: float = SYNC_INTERVAL_S
        self.after: dict[VmId, ClaimKey | None] = {}


class Replica:
    """Votes for this VM's partitions and the claims that it keeps.

    A VM that joins a partition votes once a majority of the former replicas
    has sent its claims, after moving on to a later roster themselves; so any
    claim that had a majority before is known to all but one replica at most.
    """

    def __init__(self, vm: VmId, *, store: ClaimStore, n_partitions: int, ttl_s: float):
        self.vm = vm
        self.store = store
        self.leaving = False
        self.revision = -1
        self.syncing: dict[int, _Syncing] = {}
        self._ttl_s = ttl_s
        self._n_partitions = n_partitions
        self._table = ReplicaTable(n_partitions=n_partitions)
        self._history: dict[int, tuple[Replicas, ...]] = {}
        self._synced: dict[int, int] = {}
        self._gone_at: dict[VmId, float] = {}
        self._pushed: dict[tuple[VmId, int], set[int]] = {}
        self._pushed_all: dict[tuple[VmId, int], float] = {}
        self._outgoing: dict[HandOverClaims, VmId] = {}
        self._resend_at = float("-inf")

    # Roster

    def replicas(self, partition: int) -> Replicas:
        """Return the replicas of ``partition`` under the present roster."""
        table = self._history.get(self.revision)
        return table[partition] if table else ()

    def partition(self, key: ClaimKey) -> int:
        """Return the partition of ``key``."""
        return partition_of(key, self._n_partitions)

    def on_roster(
        self,
        now: float,
        roster: Roster,
        previous: Roster | None,
        gone: frozenset[VmId],
    ) -> None:
        """Move on to ``roster``; an older one changes nothing."""
        self._note_gone(now, gone)
        if roster.revision <= self.revision:
            return
        in_order = previous is not None and previous.revision == self.revision
        if previous is not None and not in_order:
            self._history[previous.revision] = self._table.update(previous)
        former = None if previous is None else previous.revision
        self._history[roster.revision] = self._table.update(roster)
        self.revision = roster.revision
        for old in sorted(self._history)[:-N_HISTORY]:
            del self._history[old]
        for partition in range(self._n_partitions):
            self._join(now, partition, former, in_order)

    def _join(
        self, now: float, partition: int, former: int | None, in_order: bool
    ) -> None:
        """Work out whether this VM may vote on ``partition`` from now on."""
        present = self.replicas(partition)
        if self.vm not in present:
            left = self.syncing.get(partition)
            if left is not None and left.last is None:
                left.last = self.revision - 1
            return
        if former is None:
            self._synced[partition] = self.revision
            return
        before = self._history[former][partition]
        stays = in_order and self.vm in before and len(present) >= len(before)
        if stays:
            if partition not in self.syncing:
                self._synced[partition] = self.revision
            return
        syncing = _Syncing(former, before, now)
        if self._synced.get(partition, -1) == former and self.vm in before:
            syncing.answered.add(self.vm)
        self.syncing[partition] = syncing

    def _note_gone(self, now: float, gone: frozenset[VmId]) -> None:
        for vm in sorted(gone - set(self._gone_at)):
            self._gone_at[vm] = now
            self.store.gone(vm, now)
        for vm in [vm for vm in self._gone_at if vm not in gone]:
            del self._gone_at[vm]
        for name, pushed_at in list(self._pushed_all.items()):
            if now - pushed_at >= self._ttl_s:
                del self._pushed_all[name]
                self._pushed.pop(name, None)

    # Votes

    def on_place(self, now: float, message: Place) -> Placed:
        """Vote for an attempt, or name the claim that stands in its way."""
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
            kept = self.store.place(now, partition, claim)
            return Placed(message.attempt, Vote.ACCEPTED if kept else Vote.FULL)
        placed = entry.state is ClaimState.PLACED
        if placed and entry.attempts == (message.attempt,):
            return Placed(message.attempt, Vote.ACCEPTED)
        return Placed(message.attempt, Vote.HELD, self.store.copies(now, entry)[0])

    def _refusal(self, partition: int, revision: int) -> Vote | None:
        if self.leaving:
            return Vote.LEAVING
        if revision != self.revision and not self._unchanged(partition, revision):
            return Vote.REVISION
        if self.vm not in self.replicas(partition):
            return Vote.REVISION
        if partition in self.syncing:
            return Vote.NOT_SYNCED
        return None

    def _unchanged(self, partition: int, revision: int) -> bool:
        """Return whether the replicas are the same ones since ``revision``."""
        if revision > self.revision or revision not in self._history:
            return False
        present = self.replicas(partition)
        return all(
            table[partition] == present
            for known, table in self._history.items()
            if known >= revision
        )

    def on_withdraw(self, message: Withdraw) -> Settled:
        """Take back an attempt that did not run."""
        self.store.remove_attempt(message.key, message.attempt)
        return Settled(message.attempt)

    def on_store(self, now: float, message: Store) -> Settled:
        """Keep the outcome of an attempt."""
        partition = self.partition(message.key)
        return Settled(message.attempt, self.store.finish(now, partition, message))

    # Claims of coordinators that fell silent

    def ask_attempts(self, now: float) -> tuple[OnceAction, ...]:
        """Ask what became of attempts that were placed a while ago."""
        actions: list[OnceAction] = []
        for entry in self.store.placed():
            if len(actions) >= MAX_ASKED:
                break
            if now - entry.asked_at < ASK_AFTER_S:
                continue
            entry.asked_at = now
            if any(attempt.coordinator in self._gone_at for attempt in entry.attempts):
                self.store.lose_outcome(now, entry)
                continue
            actions += [
                SendPeer(attempt.coordinator, AskAttempt(entry.key, attempt))
                for attempt in entry.attempts
            ]
        return tuple(actions)

    def on_status(self, now: float, message: AskAttempt, reply: AttemptStatus) -> None:
        """Take in what a coordinator knows of its attempt."""
        entry = self.store.get(message.key)
        if entry is None or message.attempt not in entry.attempts:
            return
        if reply.state is AttemptState.WITHDRAWN:
            self.store.remove_attempt(message.key, message.attempt)
        elif reply.state is AttemptState.FORGOTTEN:
            self.store.lose_outcome(now, entry)
        elif reply.state is AttemptState.FINISHED and reply.store is not None:
            self.on_store(now, reply.store)

    # Keeping up

    def on_sync(self, now: float, message: Sync) -> SyncPage:
        """Send the claims of a partition, if this VM can vouch for them."""
        partition, former = message.partition, message.former
        vouches = self._synced.get(partition, -1) >= former
        if not vouches or self.revision <= former:
            return SyncPage(partition, former, refused=True)
        claims, more = self.store.claims(now, partition, message.after, PAGE_BYTES)
        return SyncPage(partition, former, False, more, claims)

    def ask_sync(self, now: float) -> tuple[OnceAction, ...]:
        """Ask the former replicas of the partitions that this VM joined."""
        actions: list[OnceAction] = []
        for partition, syncing in list(self.syncing.items()):
            self._count_others(now, partition, syncing)
            if self._finish_sync(partition, syncing) or now < syncing.next_at:
                continue
            if len(actions) >= MAX_SYNCS_PER_TICK:
                break
            syncing.next_at = now + syncing.pause_s
            syncing.pause_s = min(2 * syncing.pause_s, MAX_SYNC_PAUSE_S)
            for vm in syncing.sources:
                if vm != self.vm and vm not in syncing.answered:
                    after = syncing.after.get(vm)
                    message = Sync(partition, syncing.former, after)
                    actions.append(SendPeer(vm, message))
        return tuple(actions)

    def on_sync_page(
        self, now: float, vm: VmId, message: Sync, reply: SyncPage
    ) -> tuple[OnceAction, ...]:
        """Take in claims of a former replica and ask for the next page."""
        syncing = self.syncing.get(message.partition)
        if syncing is None or syncing.former != message.former or reply.refused:
            return ()
        if message.after != syncing.after.get(vm) or vm in syncing.answered:
            return ()
        if not self._merge(now, message.partition, reply.claims):
            return ()
        if reply.more and reply.claims:
            after = reply.claims[-1].key
            syncing.after[vm] = after
            return (SendPeer(vm, Sync(message.partition, message.former, after)),)
        syncing.answered.add(vm)
        self._finish_sync(message.partition, syncing)
        return ()

    def _merge(self, now: float, partition: int, claims: tuple[Claim, ...]) -> bool:
        """Take in copies of claims; False if one is wrong or has no room."""
        return all(
            self.partition(claim.key) == partition
            and self.store.merge(now, partition, claim)
            for claim in claims
        )

    def _count_others(self, now: float, partition: int, syncing: _Syncing) -> None:
        """Count former replicas that left, or are gone for a claim's life."""
        for vm in syncing.sources:
            gone_at = max(self._gone_at.get(vm, float("inf")), syncing.since)
            if (vm, partition) in self._pushed_all or now - gone_at >= self._ttl_s:
                syncing.answered.add(vm)

    def _finish_sync(self, partition: int, syncing: _Syncing) -> bool:
        if len(syncing.answered) < majority(syncing.sources):
            return False
        del self.syncing[partition]
        last = self.revision if syncing.last is None else syncing.last
        self._synced[partition] = max(last, self._synced.get(partition, -1))
        return True

    # Graceful stop

    def hand_over(self, now: float, heirs: Mapping[int, VmId]) -> None:
        """Stop voting and send the claims of each partition to its heir."""
        self.leaving = True
        for partition, heir in heirs.items():
            pages: list[tuple[Claim, ...]] = []
            after: ClaimKey | None = None
            more = True
            while more:
                claims, more = self.store.claims(now, partition, after, PAGE_BYTES)
                pages.append(claims)
                after = claims[-1].key if claims else None
            for page, claims in enumerate(pages):
                message = HandOverClaims(partition, page, len(pages), claims)
                self._outgoing[message] = heir

    def heirs(self, successors: Callable[[int], Replicas]) -> dict[int, VmId]:
        """Return who joins each partition that this VM can vouch for."""
        heirs = {}
        for partition in range(self._n_partitions):
            present = self.replicas(partition)
            if self.vm not in present or partition in self.syncing:
                continue
            joining = [vm for vm in successors(partition) if vm not in present]
            if joining:
                heirs[partition] = joining[0]
        return heirs

    @property
    def handed_over(self) -> bool:
        """Whether every hand-over was answered."""
        return not self._outgoing

    def send_hand_overs(self, now: float) -> tuple[OnceAction, ...]:
        """Return the hand-overs without an answer, from time to time."""
        if now < self._resend_at:
            return ()
        self._resend_at = now + HAND_OVER_INTERVAL_S
        return tuple(SendPeer(vm, message) for message, vm in self._outgoing.items())

    def on_hand_over_reply(self, message: HandOverClaims) -> None:
        """Forget a hand-over that was answered."""
        self._outgoing.pop(message, None)

    def on_hand_over(self, now: float, sender: VmId, message: HandOverClaims) -> bool:
        """Take the claims of a leaving replica; False if there is no room."""
        if self.leaving or not 0 <= message.partition < self._n_partitions:
            return False
        if not self._merge(now, message.partition, message.claims):
            return False
        name = (sender, message.partition)
        pages = self._pushed.setdefault(name, set())
        pages.add(message.page)
        if len(pages) >= message.n_pages:
            self._pushed_all[name] = now
        return True
