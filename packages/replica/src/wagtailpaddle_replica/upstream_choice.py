"""Which VM a replica follows next."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from wagtailpaddle_replica.messages import Member
from wagtailpaddle_replica.topology import relays

UPSTREAM_BACKOFF_S = 2.0
PROBE_INTERVAL_S = 0.5
"""Time between two probes of VMs that seem dead."""

FALLBACK_PROBE_INTERVAL_S = 2.0
"""The same while other VMs bring what reads do not: a probe delays it."""


@dataclass(frozen=True, slots=True)
class FollowTarget:
    """The address of a VM to follow; ``is_probe`` if the VM seems dead."""

    address: str
    is_probe: bool = False


class UpstreamChoice:
    """Chooses the address to follow; one that did not answer is left out for a time.

    A VM without upstreams reads the store. While its reads fail it follows any other
    VM. Otherwise it probes one of the VMs that seem dead now and then, and the
    ``seeds`` if all others do. If two parts of a fleet have lost sight of each other,
    each has a reader, and one answer to it joins the parts.
    """

    def __init__(self, own: Member, rng: Random, *, seeds: Iterable[str]):
        self._own_id = own.id
        self._rng = rng
        self._seeds = tuple(item for item in seeds if item != own.peer_address)
        self._backoff_until: dict[str, float] = {}
        self._next_probe_at = float("-inf")

    def record_answer(self, address: str) -> None:
        """Record that the VM at ``address`` answered."""
        self._backoff_until.pop(address, None)

    def record_failure(self, now: float, address: str) -> None:
        """Record that the VM at ``address`` did not answer."""
        self._backoff_until[address] = now + UPSTREAM_BACKOFF_S

    def select(
        self,
        now: float,
        candidates: Sequence[Member],
        alive: Sequence[Member],
        known: Sequence[Member],
        *,
        is_failing: bool,
    ) -> FollowTarget | None:
        """Return the VM to follow now, or None.

        ``candidates`` are this VM's upstreams, best first. ``is_failing`` states that
        its reads of the store fail.
        """
        addresses = [member.peer_address for member in candidates]
        if not addresses and is_failing:
            addresses = self._fallback_addresses(alive)
        if not addresses and len(alive) == 1:
            addresses = list(self._seeds)
        if not candidates and now >= self._next_probe_at:
            address = self._first_available(now, self._silent_addresses(alive, known))
            if address is not None:
                self._schedule_probe(now, has_fallback=bool(addresses))
                return FollowTarget(address, is_probe=True)
        address = self._first_available(now, addresses)
        return None if address is None else FollowTarget(address)

    def _schedule_probe(self, now: float, *, has_fallback: bool) -> None:
        interval_s = FALLBACK_PROBE_INTERVAL_S if has_fallback else PROBE_INTERVAL_S
        self._next_probe_at = now + interval_s

    def _first_available(self, now: float, addresses: Iterable[str]) -> str | None:
        """Return the first address without a recent failure, or None."""
        for address in addresses:
            if self._backoff_until.get(address, float("-inf")) <= now:
                return address
        return None

    def _silent_addresses(
        self, alive: Sequence[Member], known: Sequence[Member]
    ) -> list[str]:
        """Return the VMs that seem dead, in random order."""
        if len(alive) == len(known):
            return []
        sighted = {member.peer_address for member in alive}
        addresses = [
            item.peer_address for item in known if item.peer_address not in sighted
        ]
        self._rng.shuffle(addresses)
        return addresses

    def _fallback_addresses(self, alive: Sequence[Member]) -> list[str]:
        """Return the VMs that the reader follows while its own reads fail.

        The relays of other availability zones come first: they read in its place.
        """
        relay_addresses = [
            item.peer_address for item in relays(alive) if item.id != self._own_id
        ]
        other_addresses = [
            item.peer_address for item in alive if item.id != self._own_id
        ]
        self._rng.shuffle(other_addresses)
        return [*relay_addresses, *other_addresses]
