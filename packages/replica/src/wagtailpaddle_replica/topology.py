"""Which VMs are active, which are relays, and which upstreams each VM follows."""

from collections.abc import Iterable, Sequence
from functools import lru_cache

from wagtailpaddle_core import ZoneId, rank, score

from wagtailpaddle_replica.messages import Member

MIN_ACTIVE_PER_ZONE = 2
"""Smallest number of active VMs in a zone, if it has as many."""

CORES_PER_SLOT = 0.015
"""Processor cores used to proxy the requests of one slot of a backend server."""

FAN_OUT = 12
"""Followers of one VM within its zone."""

N_UPSTREAMS = 3
RANK_CACHE_SIZE = 16384


@lru_cache(maxsize=RANK_CACHE_SIZE)
def _rank_in_zone(zone: ZoneId, address: str) -> tuple[int, str]:
    return -score(f"zone/{zone}", address), address


def zone_order(zone: ZoneId, members: Iterable[Member]) -> list[Member]:
    """Return the VMs of a zone in order: active VMs first, the relay last.

    VMs with more cores come first, equal ones by a hash of their address. Every VM
    computes the same order, and a restarted VM returns to its previous place.
    """
    return sorted(
        (member for member in members if member.zone == zone),
        key=lambda member: (-member.cores, _rank_in_zone(zone, member.peer_address)),
    )


def ordered_zones(members: Iterable[Member]) -> list[ZoneId]:
    """Return the zones in the order of their relays in the relay chain."""
    return rank("zones", {member.zone for member in members})


def active_vms(members: Sequence[Member], *, n_slots: int = 0) -> tuple[Member, ...]:
    """Return the active VMs: those that the directory names to callers.

    The zones share the load of ``n_slots`` slots of backend servers equally, and each
    zone has enough active VMs to provide the processor cores for its share.
    """
    serving = [member for member in members if not member.is_leaving]
    zones = ordered_zones(serving)
    cores = n_slots * CORES_PER_SLOT / max(1, len(zones))
    active: list[Member] = []
    for zone in zones:
        active += _shortest_prefix(zone_order(zone, serving), cores)
    return tuple(active)


def _shortest_prefix(members: Sequence[Member], cores: float) -> Sequence[Member]:
    """Return the shortest prefix of ``members`` that has ``cores`` in total."""
    n_selected = min(MIN_ACTIVE_PER_ZONE, len(members))
    total_cores = sum(member.cores for member in members[:n_selected])
    while total_cores < cores and n_selected < len(members):
        total_cores += members[n_selected].cores
        n_selected += 1
    return members[:n_selected]


def relays(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the relay of each zone; the first relay reads the store."""
    return tuple(zone_order(zone, members)[-1] for zone in ordered_zones(members))


def upstreams(own: Member, members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the VMs that ``own`` may follow, best first; none if it reads the store.

    A relay follows the relays of the zones before its own. The other VMs of a zone
    form a tree below the zone's relay, with the active VMs directly below it. A VM
    follows only VMs that come before it in this order, so there are no cycles.
    """
    chain = relays(members)
    for index, relay in enumerate(chain):
        if relay.id == own.id:
            return chain[:index]
    relay_first = zone_order(own.zone, members)[::-1]
    position = next(
        index for index, member in enumerate(relay_first) if member.id == own.id
    )
    is_active = position >= len(relay_first) - MIN_ACTIVE_PER_ZONE
    parent = relay_first[0 if is_active else (position - 1) // FAN_OUT]
    closer = [item for item in relay_first[:position] if item.id != parent.id]
    other_relays = [relay for relay in chain if relay.zone != own.zone]
    return (parent, *closer[: N_UPSTREAMS - 2], *other_relays)[:N_UPSTREAMS]
