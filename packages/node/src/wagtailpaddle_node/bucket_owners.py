"""Which VMs own the buckets of the client accounts on the platform."""

from collections.abc import Sequence, Set

from wagtailpaddle_core import VmId
from wagtailpaddle_fleet import started_at
from wagtailpaddle_replica import Collection, Member, Replica

N_BUCKET_OWNERS = 3
FLEET_DISCOVERY_S = 2.0
"""The VMs of a fleet that starts have discovered each other after this time."""


class BucketOwners:
    """Chooses the owners of the buckets from the VMs that this VM knows."""

    def __init__(self, replica: Replica):
        self._replica = replica
        self._vms_known_at: float | None = None
        self._has_older_peer = False

    def choose(
        self, now: float, alive: Sequence[Member], active: Set[VmId]
    ) -> list[VmId]:
        """Return the owners of the buckets, the preferred one first.

        These are the oldest standby VMs, so that no VM that starts takes over from an
        owner that lives. A VM that starts is none yet, or every VM of a fleet that
        starts would own all buckets. It asks the owners of a fleet that was there
        before it.
        """
        candidates = [member for member in alive if not member.is_leaving]
        if not self._is_fleet_known(now):
            if not self._has_older_peer:
                return []
            candidates = [item for item in candidates if item is not self._replica.own]
        standby = [member for member in candidates if member.id not in active]
        oldest_first = sorted(
            standby or candidates,
            key=lambda member: (started_at(member.incarnation), member.id),
        )
        return [member.id for member in oldest_first[:N_BUCKET_OWNERS]]

    def record_peer(self, peer: Member | None) -> None:
        """Record whether a VM that lives knew the fleet before this one began.

        The buckets have an owner then, which this VM may ask at once.
        """
        if peer is not None and not self._has_older_peer:
            latest_start = started_at(self._replica.own.incarnation) - FLEET_DISCOVERY_S
            self._has_older_peer = started_at(peer.incarnation) < latest_start

    def _is_fleet_known(self, now: float) -> bool:
        """Return whether the VMs of the fleet have had time to discover each other."""
        if self._vms_known_at is None and self._replica.copies[Collection.VMS].is_known:
            self._vms_known_at = now
        known_at = self._vms_known_at
        return known_at is not None and now - known_at >= FLEET_DISCOVERY_S
