"""One VM's copy of the store's collections, and how it is kept current."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from types import MappingProxyType

from wagtailpaddle_replica.collection_copy import (
    Change,
    CollectionCopy,
    Decoder,
    VersionOf,
    no_version,
)
from wagtailpaddle_replica.members import Members
from wagtailpaddle_replica.messages import (
    UNKNOWN_AGE_S,
    Batch,
    Collection,
    Era,
    Follow,
    FollowVm,
    Member,
    NotifyFollowers,
    ReadStore,
    ReplicaAction,
    Update,
    WriteMember,
)
from wagtailpaddle_replica.own_reads import DEFAULT_APPLY_S, OwnReads
from wagtailpaddle_replica.read_schedule import ReadSchedule
from wagtailpaddle_replica.topology import upstreams
from wagtailpaddle_replica.upstream_choice import UpstreamChoice

ACTIVE_HOLD_S = 0.2
"""Hold time of the long polls of VMs that are active or have followers."""

STANDBY_HOLD_S = 0.5
ANSWER_TIMEOUT_S = 0.4
"""An answer must arrive within this time after the hold time."""

OLD_AGE = 0.4
"""Age of a copy, as a fraction of ``apply_s``, above which it counts as old."""

MIN_EXPIRING_OUTAGE_S = 3.0
"""The shortest outage of the store in which entries of live servers may expire.

An entry expires after three heartbeat intervals without a heartbeat. Up to one of
them may have passed before the outage began."""

OUTAGE_GRACE_S = 2.2
"""Live servers have registered again within this time after an outage ends, and
writers have written again what the store lost."""

REGISTER_BACKOFF_S = 1.0


USE_TTL_S = 5.0
"""A VM is in use for this time after it decided for a caller or another VM."""

PROVEN_COLLECTIONS = (Collection.CONFIG, Collection.SERVERS)
"""The collections that must be known within ``apply_s``."""

DatedBatch = tuple[Batch, float]
"""A batch, and the time at which it was current."""


@dataclass(frozen=True, slots=True)
class CollectionChanges:
    """The changes of one collection that an event caused."""

    collection: Collection
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class StepResult:
    """The result of an event: actions for the host, and changes of the copies."""

    actions: tuple[ReplicaAction, ...] = ()
    changed: tuple[CollectionChanges, ...] = ()


class Replica:
    """Keeps copies of the store's collections, by reading or by following.

    One VM of the fleet reads the store. The relays of the other availability zones
    follow it, and the VMs of a zone follow their relay. A VM whose copy exceeds its
    maximum age reads the store itself, so no VM depends on another one. Every VM
    must know a written record after ``apply_s``. The age of a copy is measured by
    this VM's own clock: an ``Update`` returns the time at which its ``Follow`` was
    sent.
    """

    def __init__(
        self,
        own: Member,
        decoders: Mapping[Collection, Decoder],
        *,
        versions: Mapping[Collection, VersionOf] = MappingProxyType({}),
        seeds: tuple[str, ...] = (),
        apply_s: float = DEFAULT_APPLY_S,
        seed: int = 0,
    ):
        rng = Random(f"replica/{seed}/{own.id}")
        self.members = Members(own)
        self.read_schedule = ReadSchedule(rng, apply_s=apply_s)
        self._apply_s = apply_s
        self._own_reads = OwnReads(rng, apply_s=apply_s)
        self.copies = {
            item: CollectionCopy(
                item, decoders[item], version_of=versions.get(item, no_version)
            )
            for item in Collection
        }
        self._upstream_choice = UpstreamChoice(own, rng, seeds=seeds)
        self._rng = rng
        self._pending_upstream: str | None = None
        self._pending_is_probe = False
        self._registered = False
        self._next_register_at = 0.0
        self._leaving = False
        self.era: Era = 0
        self._grace_ends_at = float("-inf")
        self._rewritten_at = float("-inf")
        self._servers_known_at: float | None = None
        self._stalled_s = 0.0
        self._used_at = float("-inf")

    @property
    def own(self) -> Member:
        """This VM."""
        return self.members.own

    def age_s(self, now: float, collection: Collection) -> float:
        """Return the time since the copy was last proven current."""
        return now - self.copies[collection].as_of

    def in_grace(self, now: float) -> bool:
        """Return whether entries of live servers may have expired in an outage."""
        return now < self._grace_ends_at

    @property
    def grace_ends_at(self) -> float:
        """When live servers have registered again after the last outage."""
        return self._grace_ends_at

    @property
    def rewritten_at(self) -> float:
        """When the records that the store lost last have been written again."""
        return self._rewritten_at

    def is_outdated(self, now: float) -> bool:
        """Return whether a copy is not proven to be current within ``apply_s``."""
        return any(
            self.copies[item].is_known and self.age_s(now, item) > self._apply_s
            for item in PROVEN_COLLECTIONS
        )

    def may_confirm(self, now: float) -> bool:
        """Return whether a read of the store would soon prove the copies current."""
        return self.read_schedule.is_store_reachable(now)

    def confirm(self, now: float) -> StepResult:
        """Read the outdated copies from the store, unless reads are in flight."""
        reads = [
            self._read_store(item)
            for item in PROVEN_COLLECTIONS
            if self.age_s(now, item) > self._apply_s
            and self.read_schedule.begin_if_due(now, item)
        ]
        return StepResult(tuple(reads))

    # Events reported by the host

    def record_use(self, now: float) -> None:
        """This VM decides for a caller or another VM."""
        self._used_at = now

    def on_stall(self, now: float, stalled_s: float) -> None:
        """This process stood still: for that time it knows nothing of the others."""
        self._stalled_s += stalled_s
        self.members.on_stall(now)

    def on_tick(self, now: float) -> StepResult:
        """Perform the due reads, follows and writes; called several times a second."""
        actions: list[ReplicaAction] = [*self._register(now)]
        candidates = self._upstream_candidates(now)
        actions += self._read(now, candidates)
        actions += self._follow(now, candidates)
        if not candidates:
            actions += self._remove_expired(now)
        return StepResult(tuple(actions))

    def on_read(self, now: float, sent_at: float, batch: Batch) -> StepResult:
        """The store answered a read that was sent at ``sent_at``."""
        self.read_schedule.record_success(now, batch.collection)
        self._learn_era(now, batch.era)
        step = self._apply_batches(now, ((batch, sent_at),))
        reads = self._read(now, self._upstream_candidates(now))
        return StepResult((*step.actions, *reads), step.changed)

    def on_read_failed(self, now: float, collection: Collection) -> StepResult:
        """The store did not answer a read, or refused it."""
        candidates = self._upstream_candidates(now)
        is_urgent = self._is_relay(candidates) or not self._own_reads.upstream_answers
        self.read_schedule.record_failure(now, collection, is_urgent=is_urgent)
        return StepResult()

    def on_written(self, now: float, address: str, *, done: bool, era: Era = 0) -> None:
        """The store answered a ``WriteMember`` in ``era``, or did not.

        What it acknowledged in an earlier era than its newest may be lost.
        """
        if address == self.own.peer_address:
            self._registered = done and era >= self.era
        self._learn_era(now, era)

    def on_update(
        self, now: float, address: str, update: Update, follow: Follow
    ) -> StepResult:
        """The VM at ``address`` answered ``follow``."""
        self._pending_upstream = None
        self._upstream_choice.record_answer(address)
        if update.clock != follow.clock:
            return StepResult()
        self.members.merge_sightings(now, update.sightings)
        for batch in update.batches:
            self._learn_era(now, batch.era)
        dated_batches = self._date_batches(now, update, follow)
        advanced = frozenset(
            batch.collection
            for batch, as_of in dated_batches
            if self._is_advance(batch, as_of)
        )
        ages_s = (update.config_age_s, update.servers_age_s)
        self._own_reads.on_update(ages_s, advanced)
        step = self._apply_batches(now, dated_batches)
        candidates = self._upstream_candidates(now)
        follows = self._follow(now, candidates)
        reads = self._read(now, candidates)
        return StepResult((*step.actions, *follows, *reads), step.changed)

    def on_follow_failed(self, now: float, address: str) -> StepResult:
        """The VM at ``address`` did not answer."""
        self._pending_upstream = None
        self._upstream_choice.record_failure(now, address)
        if not self._pending_is_probe:
            self._own_reads.on_follow_failed()
        candidates = self._upstream_candidates(now)
        return StepResult(
            (*self._follow(now, candidates), *self._read(now, candidates))
        )

    def on_follow(self, now: float, follow: Follow) -> StepResult:
        """Another VM sent a ``Follow``; it is alive, and so are its followers."""
        self._learn_era(now, follow.newest_era)
        is_new = self.members.add(now, follow.member)
        self.members.record_follower(now, follow.member.id, follow.sightings)
        return StepResult((NotifyFollowers(),) if is_new else ())

    def has_update_for(self, follow: Follow) -> bool:
        """Return whether the copies contain changes that the follower lacks."""
        return any(
            copy.batch_since(follow.start_of(copy.collection)) is not None
            for copy in self.copies.values()
        )

    def make_update(self, now: float, follow: Follow, received_at: float) -> Update:
        """Return the answer to a ``Follow`` that was received at ``received_at``."""
        batches = tuple(
            batch
            for copy in self.copies.values()
            if (batch := copy.progress_since(follow.start_of(copy.collection)))
            is not None
        )
        return Update(
            clock=follow.clock,
            held_s=now - received_at,
            config_age_s=self._reported_age_s(now, Collection.CONFIG),
            servers_age_s=self._reported_age_s(now, Collection.SERVERS),
            batches=batches,
            sightings=self.members.sightings(now, members_hash=follow.members_hash),
        )

    def leave(self, now: float) -> StepResult:
        """Begin a graceful stop: leave the directory and delete this VM's record."""
        self._leaving = True
        self.members.mark_leaving()
        return StepResult((WriteMember(self.own.peer_address, None), NotifyFollowers()))

    # Reading, following and registering

    def _register(self, now: float) -> list[ReplicaAction]:
        if self._registered or self._leaving or now < self._next_register_at:
            return []
        self._next_register_at = now + REGISTER_BACKOFF_S * (1.0 + self._rng.random())
        return [WriteMember(self.own.peer_address, self.own)]

    def _upstream_candidates(self, now: float) -> tuple[Member, ...]:
        """Return the VMs that this VM may follow, best first; none if it reads."""
        return upstreams(self.own, self.members.alive(now))

    def _read(self, now: float, candidates: tuple[Member, ...]) -> list[ReplicaAction]:
        reads: list[ReplicaAction] = []
        for collection in self.copies:
            if not self._should_read(now, collection, candidates):
                continue
            if self.read_schedule.begin_if_due(now, collection):
                reads.append(self._read_store(collection))
        return reads

    def _read_store(self, collection: Collection) -> ReadStore:
        copy = self.copies[collection]
        is_usable = copy.is_known and copy.era == self.era
        return ReadStore(collection, copy.position, whole=not is_usable)

    def _should_read(
        self, now: float, collection: Collection, candidates: tuple[Member, ...]
    ) -> bool:
        """Return whether this VM should read a collection from the store itself."""
        if not candidates or not self.copies[collection].is_known:
            return True
        if collection is Collection.VMS:
            return False
        age_s = self.age_s(now, collection)
        return self._own_reads.is_due(
            collection,
            age_s,
            is_relay=self._is_relay(candidates),
            is_in_use=now - self._used_at <= USE_TTL_S,
        )

    def _is_relay(self, candidates: tuple[Member, ...]) -> bool:
        """Return whether this VM has no upstream in its own zone."""
        return all(member.zone != self.own.zone for member in candidates)

    def _hold_s(self, now: float) -> float:
        """Return how long an upstream may hold a ``Follow`` without changes.

        It is short where others depend on this VM, and where the copy is old: then
        the age of the upstream's copy soon tells whether to wait for it.
        """
        age_s = self.age_s(now, Collection.CONFIG)
        is_old = age_s > OLD_AGE * self._apply_s
        return ACTIVE_HOLD_S if is_old or self._has_dependents(now) else STANDBY_HOLD_S

    def _has_dependents(self, now: float) -> bool:
        """Return whether this VM is active or has followers."""
        is_active = self.members.is_active(now, self.own.id)
        return is_active or self.members.has_followers(now)

    def _follow(
        self, now: float, candidates: tuple[Member, ...]
    ) -> list[ReplicaAction]:
        if self._pending_upstream is not None:
            return []
        target = self._upstream_choice.select(
            now,
            candidates,
            self.members.alive(now),
            self.members.all(),
            is_failing=self.read_schedule.is_failing(now),
        )
        if target is None:
            return []
        self._pending_upstream = target.address
        self._pending_is_probe = target.is_probe
        starts = {item: copy.position for item, copy in self.copies.items()}
        hold_s = 0.0 if target.is_probe else self._hold_s(now)
        body = Follow(
            member=self.own,
            clock=now,
            config_from=starts[Collection.CONFIG].offset,
            servers_from=starts[Collection.SERVERS].offset,
            vms_from=starts[Collection.VMS].offset,
            hold_s=hold_s,
            sightings=self.members.follower_sightings(now),
            members_hash=self.members.hash,
            config_era=starts[Collection.CONFIG].era,
            servers_era=starts[Collection.SERVERS].era,
            vms_era=starts[Collection.VMS].era,
        )
        return [FollowVm(target.address, body, hold_s + ANSWER_TIMEOUT_S)]

    def _remove_expired(self, now: float) -> list[ReplicaAction]:
        """Remove the expired VMs and delete their records from the store."""
        records = self.copies[Collection.VMS].values()
        deletions: list[ReplicaAction] = []
        for member in self.members.expired(now):
            self.members.remove(member.peer_address)
            if member.peer_address in records:
                deletions.append(WriteMember(member.peer_address, None))
        return deletions

    def _date_batches(
        self, now: float, update: Update, follow: Follow
    ) -> tuple[DatedBatch, ...]:
        """Return the batches of an update, each with the time at which it was current.

        A collection without changes has an empty batch, if its age is known. It is of
        the era that this VM stated, so it proves nothing about a later one.
        """
        answered_at = min(now, update.clock + max(0.0, update.held_s))
        ages_s = {
            Collection.CONFIG: update.config_age_s,
            Collection.SERVERS: update.servers_age_s,
        }
        batches = {batch.collection: batch for batch in update.batches}
        dated_batches: list[DatedBatch] = []
        for collection in Collection:
            age_s = ages_s.get(collection, 0.0)
            start = follow.start_of(collection)
            unchanged = Batch(collection, start.offset, (), era=start.era or 0)
            batch = batches.get(collection, unchanged)
            has_age = age_s >= 0.0
            if collection is Collection.VMS:
                has_age = collection in batches or self.copies[collection].is_known
            if has_age or batch.records:
                as_of = answered_at - age_s if has_age else float("-inf")
                dated_batches.append((batch, as_of))
        return tuple(dated_batches)

    def _apply_batches(self, now: float, batches: tuple[DatedBatch, ...]) -> StepResult:
        changed = []
        actions: list[ReplicaAction] = []
        for batch, as_of in batches:
            copy = self.copies[batch.collection]
            is_restored = copy.is_known and batch.whole and batch.era > copy.era
            changes = self._apply_batch(now, batch, as_of)
            if changes:
                changed.append(CollectionChanges(batch.collection, changes))
            if batch.collection is Collection.VMS and is_restored:
                actions += self._restore_members(now, changes)
            elif batch.collection is Collection.VMS:
                self._update_members(now, changes)
        if changed:
            actions.append(NotifyFollowers())
        return StepResult(tuple(actions), tuple(changed))

    def _learn_era(self, now: float, era: Era) -> None:
        """The store stated an era, to this VM or to another one.

        In a later era than before it has lost what was written last. All collections
        are read anew, and what is missing is missed only when it had time to return.
        """
        if era <= self.era:
            return
        self.era = era
        if any(copy.is_known for copy in self.copies.values()):
            self._grace_ends_at = self._rewritten_at = now + OUTAGE_GRACE_S
            self.read_schedule.expedite()

    def _is_advance(self, batch: Batch, as_of: float) -> bool:
        """Return whether a batch proves that a copy is more current than known."""
        copy = self.copies[batch.collection]
        if batch.era != copy.era:
            return batch.era > copy.era
        return as_of > copy.as_of

    def _apply_batch(
        self, now: float, batch: Batch, as_of: float
    ) -> tuple[Change, ...]:
        """Apply a batch; a long gap between batches of servers is an outage.

        Only what this VM saw itself counts: not the time before its first batch, nor
        a time in which it stood still, nor a gap of another VM.
        """
        copy = self.copies[batch.collection]
        previous_as_of = copy.as_of
        changes = copy.apply(batch, as_of)
        if batch.collection is Collection.SERVERS and copy.as_of > previous_as_of:
            self._check_for_outage(now, previous_as_of, copy.as_of)
        return changes

    def _check_for_outage(
        self, now: float, previous_as_of: float, as_of: float
    ) -> None:
        if self._servers_known_at is None:
            self._servers_known_at = now
        gap_s = as_of - max(previous_as_of, self._servers_known_at)
        if gap_s - self._stalled_s >= MIN_EXPIRING_OUTAGE_S:
            self._grace_ends_at = now + OUTAGE_GRACE_S
        self._stalled_s = 0.0

    def _update_members(self, now: float, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.key == self.own.peer_address:
                self._registered = change.value == self.own
            elif change.value is not None:
                self.members.add(now, change.value)
            else:
                self.members.remove(change.key)

    def _restore_members(
        self, now: float, changes: tuple[Change, ...]
    ) -> list[ReplicaAction]:
        """Apply a snapshot of the VMs of a store that lost records.

        A VM whose record is lost registers again, or is expired like any other one.
        One whose record is back may have left, so it must be seen first. This VM's
        own record is lost, or it is back though this VM is leaving.
        """
        for change in changes:
            if change.value is not None and change.key != self.own.peer_address:
                self.members.add(now, change.value, is_seen=False)
        record = self.copies[Collection.VMS].get(self.own.peer_address)
        self._registered = record == self.own
        if self._leaving and record is not None:
            return [WriteMember(self.own.peer_address, None)]
        return []

    def _reported_age_s(self, now: float, collection: Collection) -> float:
        copy = self.copies[collection]
        return now - copy.as_of if copy.is_known else UNKNOWN_AGE_S
