"""Assignment of claim partitions to replicas."""

from collections.abc import Iterable
from hashlib import blake2b

from wagtailpaddle_core import VmId, ZoneId, rank, score

from wagtailpaddle_once.messages import ClaimKey, ClaimRoster, RosterMember

N_REPLICAS = 3

Replicas = tuple[VmId, ...]


def partition_of(key: ClaimKey, n_partitions: int) -> int:
    """Return the partition of ``key``, equal on every VM."""
    data = f"{key.account}\x00{key.key}".encode()
    digest = blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, "big") % n_partitions


def majority(replicas: Replicas) -> int:
    """Return the number of VMs that is a majority of ``replicas``."""
    return len(replicas) // 2 + 1


class ReplicaTable:
    """The replicas of every partition, updated incrementally with each roster.

    In each zone the VM with the highest rendezvous score for the partition is the
    candidate, and the three candidates with the highest scores are the replicas.
    With fewer than three zones, the VMs with the next highest scores are added.
    Adding a VM costs one hash for each partition. Removing one costs a scan of its
    zone for each partition for which it was the candidate.

    >>> table = ReplicaTable(n_partitions=1)
    >>> table.update(ClaimRoster(1, (RosterMember(VmId("a"), ZoneId("z")),)))
    (('a',),)
    """

    def __init__(self, *, n_partitions: int):
        self._n_partitions = n_partitions
        self._zone_of: dict[VmId, ZoneId] = {}
        self._best: list[dict[ZoneId, tuple[int, VmId]]] = [
            {} for _ in range(n_partitions)
        ]

    def update(self, roster: ClaimRoster) -> tuple[Replicas, ...]:
        """Apply a roster and return the replicas of each partition."""
        zone_of = {member.vm: member.zone for member in roster.members}
        removed = [vm for vm, zone in self._zone_of.items() if zone_of.get(vm) != zone]
        added = [
            member
            for member in roster.members
            if self._zone_of.get(member.vm) != member.zone
        ]
        by_zone: dict[ZoneId, list[VmId]] = {}
        for vm, zone in sorted(zone_of.items()):
            by_zone.setdefault(zone, []).append(vm)
        for partition, best in enumerate(self._best):
            self._remove(partition, best, removed, by_zone)
            self._add(partition, best, added)
        self._zone_of = zone_of
        return tuple(self._replicas(partition) for partition in range(len(self._best)))

    def _remove(
        self,
        partition: int,
        best: dict[ZoneId, tuple[int, VmId]],
        removed: Iterable[VmId],
        by_zone: dict[ZoneId, list[VmId]],
    ) -> None:
        for vm in removed:
            zone = self._zone_of[vm]
            if best.get(zone, (0, ""))[1] != vm:
                continue
            del best[zone]
            candidates = [
                (score(str(partition), other), other) for other in by_zone.get(zone, ())
            ]
            if candidates:
                best[zone] = max(candidates)

    def _add(
        self,
        partition: int,
        best: dict[ZoneId, tuple[int, VmId]],
        added: Iterable[RosterMember],
    ) -> None:
        for member in added:
            entry = (score(str(partition), member.vm), member.vm)
            if entry > best.get(member.zone, (-1, VmId(""))):
                best[member.zone] = entry

    def _replicas(self, partition: int) -> Replicas:
        best = sorted(self._best[partition].values(), reverse=True)
        chosen = [vm for _, vm in best[:N_REPLICAS]]
        if len(chosen) < N_REPLICAS:
            ranked = rank(str(partition), self._zone_of)
            chosen += [vm for vm in ranked if vm not in chosen]
        return tuple(chosen[:N_REPLICAS])
