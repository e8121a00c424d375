"""Which VMs carry callers, which relay, and whom each VM follows."""

from collections.abc import Iterable, Sequence

from wagtailpaddle_core import ZoneId, rank

from wagtailpaddle_replica.messages import Member

CARRIERS_PER_ZONE = 2
N_CANDIDATES = 3


def by_rank(name: str, members: Iterable[Member]) -> list[Member]:
    """Return members in an order that is equal on every VM.

    It goes by address, so a VM that starts again has its former place.
    """
    by_address = {member.peer_address: member for member in members}
    return [by_address[address] for address in rank(name, by_address)]


def zone_order(zone: ZoneId, members: Iterable[Member]) -> list[Member]:
    """Return the VMs of a zone: those that carry callers first, relays last."""
    return by_rank(f"zone/{zone}", [item for item in members if item.zone == zone])


def zones_of(members: Iterable[Member]) -> list[ZoneId]:
    """Return the zones in the order in which their relays are followed."""
    return rank("zones", {member.zone for member in members})


def carriers(
    members: Sequence[Member], *, per_zone: int = CARRIERS_PER_ZONE
) -> tuple[Member, ...]:
    """Return the VMs that callers are sent to, ``per_zone`` of each zone."""
    serving = [member for member in members if member.caller_address]
    return tuple(
        member
        for zone in zones_of(serving)
        for member in zone_order(zone, serving)[:per_zone]
    )


def relays(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the relay of each zone; the first of them reads the store."""
    return tuple(zone_order(zone, members)[-1] for zone in zones_of(members))


def upstreams(own: Member, members: Sequence[Member]) -> tuple[Member, ...]:
    """Return whom a VM follows, the best first; nobody if it reads the store.

    A VM follows the relay of its zone, a relay those of the zones before its
    own. Only VMs that come before it are named, so nobody follows in a ring.
    """
    chain = relays(members)
    for index, relay in enumerate(chain):
        if relay.id == own.id:
            return chain[:index]
    behind = zone_order(own.zone, members)
    place = next(at for at, member in enumerate(behind) if member.id == own.id)
    nearer = behind[place + 1 :][::-1]
    others = [relay for relay in chain if relay.zone != own.zone]
    return (*nearer[: N_CANDIDATES - 1], *others)[:N_CANDIDATES]
