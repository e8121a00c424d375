"""The VMs of the fleet, and a failure detector for them."""

from collections.abc import Iterable
from dataclasses import replace
from functools import lru_cache, reduce
from operator import xor

from wagtailpaddle_core import VmId, score

from wagtailpaddle_replica.messages import NOT_SEEN_CS, Member, Sightings

ACTIVE_SILENCE_TIMEOUT_S = 2.0
"""An active VM counts as alive for this time after its last sighting."""

STANDBY_SILENCE_TIMEOUT_S = 3.5
"""The same for a standby VM: it sends less often and its sightings take more hops."""

MEMBER_RETENTION_S = 20.0
FOLLOWER_TTL_S = 1.0
"""A VM has followers if it received ``Follow`` within this time."""

ACTIVE_TTL_S = 4.0
"""A VM still counts as active for this time after it was last selected as active."""

CENTISECONDS_PER_S = 100.0
TAG_CACHE_SIZE = 16384


@lru_cache(maxsize=TAG_CACHE_SIZE)
def tag_of(vm: VmId) -> int:
    """Return the number that identifies one incarnation of a VM in ``Sightings``.

    A hash of 63 bits: collisions among some thousand VMs are improbable.
    """
    return score("tag", vm) >> 1


class Members:
    """The VMs of the fleet by their address for peers.

    A VM counts as alive for some time after its last sighting by any VM. A VM known
    only from the store counts as sighted when its record was received.
    """

    def __init__(self, own: Member):
        self.own = own
        self._members: dict[str, Member] = {own.peer_address: own}
        self._sorted: tuple[Member, ...] | None = None
        self._sorted_tags: tuple[int, ...] | None = None
        self._hash = 0
        self._watching_since = float("-inf")
        self._last_seen_at: dict[int, float] = {}
        self._last_follow_at: dict[int, float] = {}
        self._last_active_at: dict[int, float] = {}

    def on_stall(self, now: float) -> None:
        """This process stood still until now, and saw none of the others."""
        self._watching_since = now

    def add(self, now: float, member: Member, *, is_seen: bool = True) -> bool:
        """Add or replace a VM; return whether this incarnation is new.

        Without ``is_seen`` it counts as alive only after its next sighting.
        """
        previous = self._members.get(member.peer_address)
        if member.peer_address == self.own.peer_address:
            return False
        if previous is not None and previous.incarnation >= member.incarnation:
            return False
        if previous is not None:
            self._remove_tag(previous)
        self._members[member.peer_address] = member
        self._sorted = self._sorted_tags = None
        silent_s = 0.0 if is_seen else 2 * STANDBY_SILENCE_TIMEOUT_S
        self._last_seen_at.setdefault(tag_of(member.id), now - silent_s)
        return True

    def remove(self, address: str) -> bool:
        """Remove the VM at an address; return whether it was known."""
        if address == self.own.peer_address:
            return False
        member = self._members.pop(address, None)
        if member is None:
            return False
        self._sorted = self._sorted_tags = None
        self._remove_tag(member)
        return True

    def merge_sightings(self, now: float, sightings: Sightings) -> None:
        """Merge the sightings of another VM."""
        for tag, at in self._known_sightings(now, sightings):
            if at > self._last_seen_at[tag]:
                self._last_seen_at[tag] = at

    def record_follower(self, now: float, vm: VmId, followers: Sightings) -> None:
        """Record that ``vm`` follows this VM; ``followers`` are its own followers."""
        if tag_of(vm) in self._last_seen_at:
            self._last_seen_at[tag_of(vm)] = self._last_follow_at[tag_of(vm)] = now
        for tag, at in self._known_sightings(now, followers):
            self._last_seen_at[tag] = max(at, self._last_seen_at[tag])
            self._last_follow_at[tag] = max(at, self._last_follow_at.get(tag, at))

    def has_followers(self, now: float) -> bool:
        """Return whether any VM has followed this one recently."""
        return any(now - at <= FOLLOWER_TTL_S for at in self._last_follow_at.values())

    def follower_sightings(self, now: float) -> Sightings:
        """Return the sightings of direct and indirect followers."""
        return _sightings(now, self._last_follow_at, STANDBY_SILENCE_TIMEOUT_S)

    @property
    def hash(self) -> int:
        """The hash of the known VMs, the same on every VM that knows the same ones."""
        self._update_tags()
        return self._hash

    def sightings(self, now: float, *, members_hash: int = 0) -> Sightings:
        """Return the last sighting of each VM, and of this VM as of now.

        The tags are left out if the receiver knows the same VMs, that is, if
        ``members_hash`` is its hash of them and equals that of this VM.
        """
        seen_at = {**self._last_seen_at, tag_of(self.own.id): now}
        if members_hash != self.hash:
            return _sightings(now, seen_at, MEMBER_RETENTION_S)
        ages_cs = tuple(
            _age_cs(now, seen_at[tag], MEMBER_RETENTION_S)
            for tag in self._update_tags()
        )
        return Sightings((), ages_cs, members_hash)

    def at(self, address: str) -> Member | None:
        """Return the VM that is known at an address for peers, or None."""
        return self._members.get(address)

    def knows(self, vm: VmId) -> bool:
        """Return whether a VM is known; one that starts again is another VM."""
        return vm == self.own.id or tag_of(vm) in self._last_seen_at

    def all(self) -> tuple[Member, ...]:
        """Return every known VM, sorted by address."""
        if self._sorted is None:
            self._sorted = tuple(
                self._members[address] for address in sorted(self._members)
            )
        return self._sorted

    def alive(self, now: float) -> tuple[Member, ...]:
        """Return the VMs that are believed alive, including this one."""
        return tuple(
            member
            for member in self.all()
            if member is self.own or self._is_alive(now, member.id)
        )

    def record_active(self, now: float, vms: Iterable[VmId]) -> None:
        """Record which VMs are active now."""
        for vm in vms:
            self._last_active_at[tag_of(vm)] = now

    def is_active(self, now: float, vm: VmId) -> bool:
        """Return whether a VM is active, or was until recently.

        The delay prevents a dead VM from counting as alive again under the longer
        time-out for standby VMs as soon as it is no longer selected as active.
        """
        return now - self._last_active_at.get(tag_of(vm), float("-inf")) <= ACTIVE_TTL_S

    def expired(self, now: float) -> tuple[Member, ...]:
        """Return the other VMs without a sighting for ``MEMBER_RETENTION_S``.

        None has expired before this VM has watched for as long.
        """
        earliest = now - MEMBER_RETENTION_S
        if self._watching_since > earliest:
            return ()
        return tuple(
            member
            for member in self.all()
            if member is not self.own
            and self._last_seen_at[tag_of(member.id)] < earliest
        )

    def mark_leaving(self) -> None:
        """Mark this VM as leaving, so that the directory omits it."""
        self.own = replace(self.own, caller_address="")
        self._members[self.own.peer_address] = self.own
        self._sorted = None

    def _is_alive(self, now: float, vm: VmId) -> bool:
        max_silence_s = (
            ACTIVE_SILENCE_TIMEOUT_S
            if self.is_active(now, vm)
            else STANDBY_SILENCE_TIMEOUT_S
        )
        return now - self._last_seen_at[tag_of(vm)] <= max_silence_s

    def _known_sightings(
        self, now: float, sightings: Sightings
    ) -> Iterable[tuple[int, float]]:
        """Yield the tag and time of each sighting of a known VM."""
        tags = sightings.tags
        if not tags and sightings.members_hash == self.hash:
            tags = self._update_tags()
        for tag, age_cs in zip(tags, sightings.ages_cs, strict=False):
            if tag in self._last_seen_at and age_cs >= 0:
                yield tag, now - age_cs / CENTISECONDS_PER_S

    def _update_tags(self) -> tuple[int, ...]:
        """Return the sorted tags of all known VMs; update their hash if needed."""
        if self._sorted_tags is None:
            tags = (tag_of(self.own.id), *self._last_seen_at)
            self._sorted_tags = tuple(sorted(tags))
            self._hash = reduce(xor, self._sorted_tags)
        return self._sorted_tags

    def _remove_tag(self, member: Member) -> None:
        self._last_seen_at.pop(tag_of(member.id), None)
        self._last_follow_at.pop(tag_of(member.id), None)
        self._last_active_at.pop(tag_of(member.id), None)


def _sightings(
    now: float, last_seen_at: dict[int, float], max_silence_s: float
) -> Sightings:
    earliest = now - max_silence_s
    recent = [(tag, at) for tag, at in last_seen_at.items() if at >= earliest]
    return Sightings(
        tuple(tag for tag, _ in recent),
        tuple(_age_cs(now, at, max_silence_s) for _, at in recent),
    )


def _age_cs(now: float, at: float, max_silence_s: float) -> int:
    """Return the age of a sighting in hundredths of a second, if it is recent."""
    if at < now - max_silence_s:
        return NOT_SEEN_CS
    return max(0, int((now - at) * CENTISECONDS_PER_S))
