"""Which VMs there are and which of them were heard from lately."""

from collections.abc import Iterable
from dataclasses import replace

from wagtailpaddle_core import VmId

from wagtailpaddle_replica.messages import Member, Sighting

ALIVE_S = 2.0
GONE_S = 20.0


class Members:
    """The VMs of the fleet by the address at which other VMs reach them.

    A VM counts as alive for ``ALIVE_S`` after anybody heard from it; one that
    is only known from the store counts as heard from when its record came.
    """

    def __init__(self, own: Member):
        self.own = own
        self._members: dict[str, Member] = {own.peer_address: own}
        self._seen_at: dict[VmId, float] = {}

    def learn(self, now: float, member: Member) -> bool:
        """Take in a VM; return whether it was not known."""
        known = self._members.get(member.peer_address)
        if member.peer_address == self.own.peer_address:
            return False
        if known is not None and known.incarnation >= member.incarnation:
            return False
        self._members[member.peer_address] = member
        self._seen_at.setdefault(member.id, now)
        return True

    def forget(self, address: str) -> bool:
        """Forget the VM at an address; return whether it was known."""
        if address == self.own.peer_address:
            return False
        member = self._members.pop(address, None)
        if member is None:
            return False
        self._seen_at.pop(member.id, None)
        return True

    def see(self, now: float, sightings: Iterable[Sighting]) -> None:
        """Take in who heard from whom."""
        known = {member.id for member in self._members.values()}
        for sighting in sightings:
            if sighting.vm in known and sighting.age_s >= 0.0:
                at = now - sighting.age_s
                self._seen_at[sighting.vm] = max(
                    at, self._seen_at.get(sighting.vm, float("-inf"))
                )

    def heard(self, now: float, vm: VmId) -> None:
        """Note that this VM itself heard from another one."""
        self._seen_at[vm] = now

    def sightings(
        self, now: float, *, within_s: float = GONE_S
    ) -> tuple[Sighting, ...]:
        """Return when VMs were last heard from; this one was just now."""
        found = [Sighting(self.own.id, 0.0)]
        for vm, at in self._seen_at.items():
            age_s = now - at
            if age_s <= within_s:
                found.append(Sighting(vm, round(age_s, 2)))
        return tuple(found)

    def all(self) -> tuple[Member, ...]:
        """Return every known VM, by address."""
        return tuple(self._members[name] for name in sorted(self._members))

    def alive(self, now: float) -> tuple[Member, ...]:
        """Return the VMs that were heard from lately, this one included."""
        return tuple(
            member
            for member in self.all()
            if member.id == self.own.id or self._is_alive(now, member.id)
        )

    def silent(self, now: float) -> tuple[Member, ...]:
        """Return the VMs that nobody heard from for ``GONE_S``."""
        return tuple(
            member
            for member in self.all()
            if member.id != self.own.id
            and now - self._seen_at.get(member.id, now) > GONE_S
        )

    def leave(self) -> None:
        """Mark this VM as leaving: callers are sent to others."""
        self.own = replace(self.own, caller_address="")
        self._members[self.own.peer_address] = self.own

    def _is_alive(self, now: float, vm: VmId) -> bool:
        return now - self._seen_at.get(vm, float("-inf")) <= ALIVE_S
