"""Which VMs carry callers, which relay, and whom each VM follows."""

from collections.abc import Iterable, Sequence
from functools import lru_cache

from wagtailpaddle_core import ZoneId, rank, score

from wagtailpaddle_replica.messages import Member

CARRIERS_PER_ZONE = 2
"""VMs of a zone that carry callers at least."""

CORES_PER_SLOT = 0.015
"""Processor that the requests of one slot of a backend server keep busy, in cores."""

FAN_OUT = 12
"""VMs that follow the same one within a zone."""

N_CANDIDATES = 3
PLACE_CACHE_SIZE = 16384


@lru_cache(maxsize=PLACE_CACHE_SIZE)
def _place(zone: ZoneId, address: str) -> tuple[int, str]:
    return -score(f"zone/{zone}", address), address


def zone_order(zone: ZoneId, members: Iterable[Member]) -> list[Member]:
    """Return the VMs of a zone: those that carry callers first, relays last.

    The largest come first. The order is equal on every VM and goes by address,
    so a VM that starts again has its former place.
    """
    return sorted(
        (member for member in members if member.zone == zone),
        key=lambda member: (-member.cores, _place(zone, member.peer_address)),
    )


def zones_of(members: Iterable[Member]) -> list[ZoneId]:
    """Return the zones in the order in which their relays are followed."""
    return rank("zones", {member.zone for member in members})


def carriers(members: Sequence[Member], *, n_slots: int = 0) -> tuple[Member, ...]:
    """Return the VMs that callers are sent to.

    In each zone they have the processor for its part of what ``n_slots`` slots
    of backend servers can do.
    """
    serving = [member for member in members if member.caller_address]
    zones = zones_of(serving)
    cores = n_slots * CORES_PER_SLOT / max(1, len(zones))
    found: list[Member] = []
    for zone in zones:
        found += _enough(zone_order(zone, serving), cores)
    return tuple(found)


def _enough(members: Sequence[Member], cores: float) -> Sequence[Member]:
    """Return the first members that have so many cores together."""
    n_taken = min(CARRIERS_PER_ZONE, len(members))
    taken = sum(member.cores for member in members[:n_taken])
    while taken < cores and n_taken < len(members):
        taken += members[n_taken].cores
        n_taken += 1
    return members[:n_taken]


def relays(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the relay of each zone; the first of them reads the store."""
    return tuple(zone_order(zone, members)[-1] for zone in zones_of(members))


def upstreams(own: Member, members: Sequence[Member]) -> tuple[Member, ...]:
    """Return whom a VM follows, the best first; nobody if it reads the store.

    A relay follows those of the zones before its own, the others of a zone follow
    in a tree below its relay, those that carry callers at its top. Only VMs that come
    before it are named, so nobody follows in a ring.
    """
    chain = relays(members)
    for index, relay in enumerate(chain):
        if relay.id == own.id:
            return chain[:index]
    nearest_first = zone_order(own.zone, members)[::-1]
    place = next(at for at, member in enumerate(nearest_first) if member.id == own.id)
    is_carrier = place >= len(nearest_first) - CARRIERS_PER_ZONE
    above = nearest_first[0 if is_carrier else (place - 1) // FAN_OUT]
    before = [item for item in nearest_first[:place] if item.id != above.id]
    others = [relay for relay in chain if relay.zone != own.zone]
    return (above, *before[: N_CANDIDATES - 2], *others)[:N_CANDIDATES]
