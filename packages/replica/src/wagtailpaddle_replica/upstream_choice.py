"""Which VM a replica follows next."""

from collections.abc import Iterable, Sequence
from random import Random

from wagtailpaddle_replica.messages import Member
from wagtailpaddle_replica.topology import relays

UPSTREAM_BACKOFF_S = 2.0


class UpstreamChoice:
    """Chooses the address to follow; one that did not answer is left out for a time.

    A VM without upstreams reads the store. While its reads fail it follows any other
    VM, and if it knows no other VM, the ``seeds``.
    """

    def __init__(self, own: Member, rng: Random, *, seeds: Iterable[str]):
        self._own_id = own.id
        self._rng = rng
        self._seeds = tuple(item for item in seeds if item != own.peer_address)
        self._backoff_until: dict[str, float] = {}

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
        *,
        is_failing: bool,
    ) -> str | None:
        """Return the address of the VM to follow now, or None.

        ``candidates`` are this VM's upstreams, best first. ``is_failing`` states that
        its reads of the store fail.
        """
        addresses = [member.peer_address for member in candidates]
        if not addresses and is_failing:
            addresses = self._fallback_addresses(alive)
        if not addresses and len(alive) == 1:
            addresses = list(self._seeds)
        for address in addresses:
            if self._backoff_until.get(address, float("-inf")) <= now:
                return address
        return None

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
