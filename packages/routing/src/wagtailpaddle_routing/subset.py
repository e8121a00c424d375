"""Subsetting: which servers of a large service one VM uses.

Using few VMs per server keeps the server's connections under its limit. Using
few servers per VM keeps the VM's state small.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from wagtailpaddle_core import Registry, ServerId, VmId, ZoneId, rank, score

MIN_SUBSET = 6


class ZonedServer(Protocol):
    """A server with its availability zone."""

    @property
    def id(self) -> ServerId:
        """The server's id."""

    @property
    def zone(self) -> ZoneId:
        """The server's availability zone."""


Subsetter = Callable[[VmId, Sequence[VmId], Sequence[ServerId], int], list[ServerId]]
SUBSETTERS: Registry[Subsetter] = Registry("subsetter")


@SUBSETTERS.register("rendezvous")
def rendezvous(
    vm: VmId, vms: Sequence[VmId], servers: Sequence[ServerId], size: int
) -> list[ServerId]:
    """Return the servers with the highest scores for ``vm``.

    Independent of the other VMs: adding or removing a VM changes no other VM's
    servers, and removing a server affects only the VMs that used it.
    """
    return rank(vm, servers)[:size]


@SUBSETTERS.register("slices")
def slices(
    vm: VmId, vms: Sequence[VmId], servers: Sequence[ServerId], size: int
) -> list[ServerId]:
    """Return one slice of a shuffled list; consecutive VMs get consecutive slices.

    Balances best, but adding or removing a VM shifts the slices of all VMs
    after it.
    """
    ordered = sorted(servers)
    n_slices = max(1, len(ordered) // size)
    index = sorted(vms).index(vm)
    Random(index // n_slices).shuffle(ordered)
    start = index % n_slices * size
    return ordered[start : start + size]


def subset(
    vm: VmId,
    vms: Sequence[VmId],
    servers: Sequence[ZonedServer],
    size: int,
    *,
    method: str = "rendezvous",
    min_size: int = MIN_SUBSET,
) -> tuple[ServerId, ...]:
    """Return the ids of the servers that ``vm`` uses; every VM computes the same.

    Selects ``size`` servers, but not fewer than ``min_size``, or all servers if
    there are no more. Zones are represented in proportion to their servers, and
    by at least one server each as far as ``size`` allows. Which zones get the
    remainder differs between VMs. Raises ``ValueError`` if ``size`` is under 1.
    """
    if size < 1:
        raise ValueError(f"subset size {size} is under 1")
    wanted = max(size, min_size)
    if len(servers) <= wanted:
        return tuple(sorted(server.id for server in servers))
    by_zone: dict[ZoneId, list[ServerId]] = defaultdict(list)
    for server in servers:
        by_zone[server.zone].append(server.id)
    choose = SUBSETTERS[method]
    chosen: list[ServerId] = []
    for zone, part in servers_per_zone(vm, by_zone, wanted).items():
        if part:
            chosen += choose(vm, vms, by_zone[zone], part)
    return tuple(sorted(chosen))


def servers_per_zone(
    vm: VmId, by_zone: dict[ZoneId, list[ServerId]], wanted: int
) -> dict[ZoneId, int]:
    """Return how many servers of each zone ``vm`` uses, ``wanted`` in total.

    Each zone gets the integer part of its proportion. The remainder goes to the
    zones with the highest random keys for this VM, weighted by the fractions
    that they lack, so that over many VMs every zone gets its proportion.
    """
    n_servers = sum(len(servers) for servers in by_zone.values())
    quotas = {zone: wanted * len(by_zone[zone]) / n_servers for zone in sorted(by_zone)}
    parts = {zone: int(part) for zone, part in quotas.items()}
    remainder = wanted - sum(parts.values())

    def key(zone: ZoneId) -> tuple[bool, float]:
        fraction = quotas[zone] - parts[zone]
        uniform = (score(f"{vm}/zone", zone) + 1) / 2**64
        return parts[zone] == 0, uniform ** (1 / fraction) if fraction else 0.0

    for zone in sorted(parts, key=key, reverse=True)[:remainder]:
        parts[zone] += 1
    return parts


def subset_size(n_servers: int, connections: int, n_vms: int, *, per_vm: int) -> int:
    """Return how many servers a VM may use within the servers' connection limit.

    ``per_vm`` is how many connections a VM needs to one server. A subset has at
    least ``MIN_SUBSET`` servers. If there are too many VMs for that, each VM
    gets fewer connections to a server instead (see ``connection_cap``).

    >>> subset_size(100, 300, 1000, per_vm=4)
    7
    """
    n_sharing_vms = max(1, connections // per_vm)
    size = n_servers * n_sharing_vms // max(1, n_vms)
    return min(n_servers, max(MIN_SUBSET, size))
