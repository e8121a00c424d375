"""Placement of shares on VMs."""

from collections.abc import Iterable, Mapping

from wagtailpaddle_core import VmId, rank

from wagtailpaddle_quota.messages import ShareId


class Placement:
    """Rendezvous placement of shares on live VMs.

    The shares of a group go to distinct VMs if there are enough. Replacing one
    of n VMs moves about 1/n of the shares. Rankings are computed on demand, so
    the cost is proportional to the number of shares that move.
    """

    def __init__(self, *, n_shares: int):
        self._n_shares = n_shares
        self._vms: tuple[VmId, ...] = ()
        self._by_group: dict[int, list[VmId]] = {}

    def set_vms(self, vms: Iterable[VmId]) -> None:
        """Set the live VMs."""
        self._vms = tuple(sorted(vms))
        self._by_group = {}

    def preferred(self, share: ShareId) -> VmId | None:
        """Return the VM that should hold ``share``, or None if no VM is live."""
        order = self._by_group.get(share.group)
        if order is None:
            order = self._by_group[share.group] = self._order_group(share.group)
        return order[share.index] if order else None

    def claim_order(self, share: ShareId, vm: VmId) -> int:
        """Return how many live VMs should claim ``share`` before ``vm``."""
        first = self.preferred(share)
        if first == vm:
            return 0
        others = [other for other in self._rank(share) if other != first]
        return 1 + others.index(vm)

    def receiver(
        self, share: ShareId, excluded: Iterable[VmId], n_held: Mapping[VmId, int]
    ) -> VmId | None:
        """Return the VM that should receive ``share``, or None if all are excluded.

        It is the best-ranked VM among those with the fewest shares of the group.
        ``n_held`` holds these counts.
        """
        skipped = frozenset(excluded)
        ranked = [vm for vm in self._rank(share) if vm not in skipped]
        return min(ranked, key=lambda vm: n_held.get(vm, 0), default=None)

    def _rank(self, share: ShareId) -> list[VmId]:
        return rank(f"{share.group}/{share.index}", self._vms)

    def _order_group(self, group: int) -> list[VmId]:
        order: list[VmId] = []
        for index in range(self._n_shares if self._vms else 0):
            ranked = self._rank(ShareId(group, index))
            order.append(next((vm for vm in ranked if vm not in order), ranked[0]))
        return order
