"""One VM's copy of the store's collections, and how it is kept current."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wagtailpaddle_replica.collection_copy import Change, CollectionCopy, Decoder
from wagtailpaddle_replica.members import Members
from wagtailpaddle_replica.messages import (
    UNKNOWN_AGE_S,
    Batch,
    Collection,
    Follow,
    FollowVm,
    Member,
    NotifyFollowers,
    ReadStore,
    ReplicaAction,
    Update,
    WriteMember,
)
from wagtailpaddle_replica.read_schedule import ReadSchedule
from wagtailpaddle_replica.topology import relays, upstreams

ACTIVE_HOLD_S = 0.2
"""Hold time of the long polls of VMs that are active or have followers."""

STANDBY_HOLD_S = 0.5
ANSWER_TIMEOUT_S = 0.4
"""An answer must arrive within this time after the hold time."""

UPSTREAM_BACKOFF_S = 2.0
RELAY_MAX_AGE_S = 1.3
ACTIVE_MAX_AGE_S = 1.5
STANDBY_MAX_AGE_S = 2.4
MIN_EXPIRING_OUTAGE_S = 3.0
"""The shortest outage of the store in which entries of live servers may expire.

An entry expires after three heartbeat intervals without a heartbeat. Up to one of
them may have passed before the outage began."""

OUTAGE_GRACE_S = 2.2
"""Live servers have registered again within this time after an outage ends."""

REGISTER_BACKOFF_S = 1.0


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
    maximum age reads the store itself, so no VM depends on another one. The age of
    a copy is measured by this VM's own clock: an ``Update`` returns the time at
    which its ``Follow`` was sent.
    """

    def __init__(
        self,
        own: Member,
        decoders: Mapping[Collection, Decoder],
        *,
        seeds: tuple[str, ...] = (),
        seed: int = 0,
    ):
        rng = Random(f"replica/{seed}/{own.id}")
        self.members = Members(own)
        self.read_schedule = ReadSchedule(rng)
        self.copies = {
            item: CollectionCopy(item, decoders[item]) for item in Collection
        }
        self._seeds = tuple(item for item in seeds if item != own.peer_address)
        self._rng = rng
        self._following: str | None = None
        self._avoid_until: dict[str, float] = {}
        self._registered = False
        self._register_at = 0.0
        self._leaving = False
        self._back_at: float | None = None

    @property
    def own(self) -> Member:
        """This VM."""
        return self.members.own

    def age_s(self, now: float, collection: Collection) -> float:
        """Return the time since the copy was last proven current."""
        return now - self.copies[collection].as_of

    def in_grace(self, now: float) -> bool:
        """Return whether entries of live servers may have expired in an outage."""
        back_at = self._back_at
        return back_at is not None and now - back_at < OUTAGE_GRACE_S

    # Events reported by the host

    def on_tick(self, now: float) -> StepResult:
        """Perform the due reads, follows and writes; called several times a second."""
        actions: list[ReplicaAction] = [*self._register(now)]
        followed = self._upstreams(now)
        actions += self._read(now, followed)
        actions += self._follow(now, followed)
        if not followed:
            actions += self._clear_silent(now)
        return StepResult(tuple(actions))

    def on_read(self, now: float, sent_at: float, batch: Batch) -> StepResult:
        """The store answered a read that was sent at ``sent_at``."""
        self.read_schedule.record_success(now, batch.collection)
        step = self._take(now, ((batch, sent_at),))
        reads = self._read(now, self._upstreams(now))
        return StepResult((*step.actions, *reads), step.changed)

    def on_read_failed(self, now: float, collection: Collection) -> StepResult:
        """The store did not answer a read, or refused it."""
        self.read_schedule.record_failure(now, collection)
        return StepResult()

    def on_written(self, now: float, address: str, *, done: bool) -> None:
        """The store answered a ``WriteMember``, or did not."""
        if address == self.own.peer_address:
            self._registered = done

    def on_update(
        self, now: float, address: str, update: Update, follow: Follow
    ) -> StepResult:
        """The VM at ``address`` answered ``follow``."""
        self._following = None
        self._avoid_until.pop(address, None)
        if update.clock != follow.clock:
            return StepResult()
        told_at = update.clock + max(0.0, update.held_s)
        self.members.merge_sightings(now, update.sightings)
        self._note_outage(now, update.outage_age_s)
        ages = {
            Collection.CONFIG: update.config_age_s,
            Collection.SERVERS: update.servers_age_s,
        }
        batches = {batch.collection: batch for batch in update.batches}
        taken = []
        for collection in Collection:
            age_s = ages.get(collection, 0.0)
            starts_at = follow.start_of(collection)
            batch = batches.get(
                collection, Batch(collection, starts_at, (), whole=False)
            )
            is_proof = age_s >= 0.0
            if collection is Collection.VMS:
                is_proof = collection in batches or self.copies[collection].is_known
            if is_proof or batch.records:
                as_of = min(now, told_at) - age_s if is_proof else float("-inf")
                taken.append((batch, as_of))
        step = self._take(now, tuple(taken))
        asked = self._follow(now, self._upstreams(now))
        return StepResult((*step.actions, *asked), step.changed)

    def on_follow_failed(self, now: float, address: str) -> StepResult:
        """The VM at ``address`` did not answer."""
        self._following = None
        self._avoid_until[address] = now + UPSTREAM_BACKOFF_S
        followed = self._upstreams(now)
        return StepResult((*self._follow(now, followed), *self._read(now, followed)))

    def on_follow(self, now: float, follow: Follow) -> StepResult:
        """Another VM sent a ``Follow``; it is alive, and so are its followers."""
        is_new = self.members.add(now, follow.member)
        self.members.record_follower(now, follow.member.id, follow.sightings)
        return StepResult((NotifyFollowers(),) if is_new else ())

    def has_update_for(self, follow: Follow) -> bool:
        """Return whether the copies contain changes that the follower lacks."""
        return any(
            copy.batch_since(follow.start_of(copy.collection)) is not None
            for copy in self.copies.values()
        )

    def make_update(self, now: float, follow: Follow, asked_at: float) -> Update:
        """Return the answer to a ``Follow`` that was received at ``asked_at``."""
        batches = tuple(
            batch
            for copy in self.copies.values()
            if (batch := copy.progress_since(follow.start_of(copy.collection)))
            is not None
        )
        back_at = self._back_at
        return Update(
            clock=follow.clock,
            held_s=now - asked_at,
            config_age_s=self._told_age(now, Collection.CONFIG),
            servers_age_s=self._told_age(now, Collection.SERVERS),
            batches=batches,
            sightings=self.members.sightings(now),
            outage_age_s=UNKNOWN_AGE_S if back_at is None else now - back_at,
        )

    def leave(self, now: float) -> StepResult:
        """Begin a graceful stop: leave the directory and delete this VM's record."""
        self._leaving = True
        self.members.mark_leaving()
        return StepResult((WriteMember(self.own.peer_address, None), NotifyFollowers()))

    # Reading, following and registering

    def _register(self, now: float) -> list[ReplicaAction]:
        if self._registered or self._leaving or now < self._register_at:
            return []
        self._register_at = now + REGISTER_BACKOFF_S * (1.0 + self._rng.random())
        return [WriteMember(self.own.peer_address, self.own)]

    def _upstreams(self, now: float) -> tuple[Member, ...]:
        """Return the VMs that this VM may follow, best first; none if it reads."""
        return upstreams(self.own, self.members.alive(now))

    def _read(self, now: float, followed: tuple[Member, ...]) -> list[ReplicaAction]:
        reads: list[ReplicaAction] = []
        for collection, copy in self.copies.items():
            if not self._wants(now, collection, followed):
                continue
            if self.read_schedule.begin_if_due(now, collection):
                whole = not copy.is_known
                reads.append(ReadStore(collection, copy.next_offset, whole))
        return reads

    def _wants(
        self, now: float, collection: Collection, followed: tuple[Member, ...]
    ) -> bool:
        """Return whether this VM should read a collection from the store itself."""
        if not followed or not self.copies[collection].is_known:
            return True
        if collection is Collection.VMS:
            return False
        return self.age_s(now, collection) > self._patience_s(now, followed)

    def _patience_s(self, now: float, followed: tuple[Member, ...]) -> float:
        is_relay = all(member.zone != self.own.zone for member in followed)
        if is_relay:
            return RELAY_MAX_AGE_S
        is_active = self.members.is_active(now, self.own.id)
        usual_s = ACTIVE_MAX_AGE_S if is_active else STANDBY_MAX_AGE_S
        return usual_s * (1.0 + 0.1 * self._rng.random())

    def _is_watched(self, now: float) -> bool:
        """Return whether this VM is active or has followers."""
        is_active = self.members.is_active(now, self.own.id)
        return is_active or self.members.has_followers(now)

    def _follow(self, now: float, followed: tuple[Member, ...]) -> list[ReplicaAction]:
        if self._following is not None:
            return []
        address = self._upstream(now, followed)
        if address is None:
            return []
        self._following = address
        starts = {item: copy.next_offset for item, copy in self.copies.items()}
        hold_s = ACTIVE_HOLD_S if self._is_watched(now) else STANDBY_HOLD_S
        question = Follow(
            member=self.own,
            clock=now,
            config_from=starts[Collection.CONFIG],
            servers_from=starts[Collection.SERVERS],
            vms_from=starts[Collection.VMS],
            hold_s=hold_s,
            sightings=self.members.follower_sightings(now),
        )
        return [FollowVm(address, question, hold_s + ANSWER_TIMEOUT_S)]

    def _upstream(self, now: float, followed: tuple[Member, ...]) -> str | None:
        """Return the address of the VM to follow now, or None."""
        alive = self.members.alive(now)
        named = [member.peer_address for member in followed]
        if not named and self.read_schedule.is_failing:
            named = self._others(alive)
        if not named and len(alive) == 1:
            named = list(self._seeds)
        for address in named:
            if self._avoid_until.get(address, float("-inf")) <= now:
                return address
        return None

    def _others(self, alive: tuple[Member, ...]) -> list[str]:
        """Return the VMs that the reader follows while its own reads fail.

        The relays of other availability zones come first: they read in its place.
        """
        near = [item.peer_address for item in relays(alive) if item.id != self.own.id]
        rest = [item.peer_address for item in alive if item.id != self.own.id]
        self._rng.shuffle(rest)
        return [*near, *rest]

    def _clear_silent(self, now: float) -> list[ReplicaAction]:
        """Remove the expired VMs and delete their records from the store."""
        records = self.copies[Collection.VMS].values()
        dropped: list[ReplicaAction] = []
        for member in self.members.expired(now):
            self.members.remove(member.peer_address)
            if member.peer_address in records:
                dropped.append(WriteMember(member.peer_address, None))
        return dropped

    def _take(self, now: float, batches: tuple[tuple[Batch, float], ...]) -> StepResult:
        changed = []
        for batch, as_of in batches:
            changes = self._apply(now, batch, as_of)
            if changes:
                changed.append(CollectionChanges(batch.collection, changes))
            if batch.collection is Collection.VMS:
                self._note_members(now, changes)
        actions = (NotifyFollowers(),) if changed else ()
        return StepResult(actions, tuple(changed))

    def _apply(self, now: float, batch: Batch, as_of: float) -> tuple[Change, ...]:
        """Apply a batch; a long gap between batches of servers is an outage."""
        copy = self.copies[batch.collection]
        before = copy.as_of
        changes = copy.apply(batch, as_of)
        is_gap = (
            before != float("-inf") and copy.as_of - before >= MIN_EXPIRING_OUTAGE_S
        )
        if batch.collection is Collection.SERVERS and is_gap:
            self._back_at = now
        return changes

    def _note_outage(self, now: float, age_s: float) -> None:
        """Merge the end of an outage that another VM reported."""
        if age_s >= 0.0:
            at = now - age_s
            self._back_at = at if self._back_at is None else max(at, self._back_at)

    def _note_members(self, now: float, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if change.key == self.own.peer_address:
                self._registered = change.value == self.own
            elif change.value is not None:
                self.members.add(now, change.value)
            else:
                self.members.remove(change.key)

    def _told_age(self, now: float, collection: Collection) -> float:
        copy = self.copies[collection]
        return now - copy.as_of if copy.is_known else UNKNOWN_AGE_S
