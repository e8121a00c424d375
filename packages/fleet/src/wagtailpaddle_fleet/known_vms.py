"""The other VMs that this VM knows."""

from wagtailpaddle_core import VmId

from wagtailpaddle_fleet.incarnations import Incarnations, split_vm_id
from wagtailpaddle_fleet.messages import Depart, Join, SeatChange, TakeSeat, Vm
from wagtailpaddle_fleet.roster import Roster


class KnownVms:
    """Tracks the VMs named in records and answers, and those that have left."""

    def __init__(self, vm: Vm, *, roster: Roster, incarnations: Incarnations):
        self._vm = vm
        self._roster = roster
        self._incarnations = incarnations
        self._vms: dict[VmId, Vm] = {}
        self._departed: set[VmId] = set()
        self._sender_addresses: set[str] = set()

    def add(self, now: float, vm: Vm) -> None:
        """Add or update a VM named in a record or an answer."""
        if vm.id != self._vm.id:
            self._incarnations.observe(now, vm.id)
            self._vms[vm.id] = vm

    def add_sender(self, now: float, vm: VmId) -> None:
        """Record that a VM sent a message."""
        self._incarnations.observe(now, vm)
        self._sender_addresses.add(split_vm_id(vm)[0])

    def current_holder(self, change: SeatChange) -> VmId | None:
        """Return the holder of the seat that ``change`` would remove or reassign.

        Call it before ``change`` is folded.
        """
        if not isinstance(change, Depart | TakeSeat):
            return None
        seat = self._roster.seat(change.seat)
        return None if seat is None else seat.vm.id

    def on_change_folded(
        self, now: float, change: SeatChange, previous_holder: VmId | None
    ) -> None:
        """Handle a seat change that was folded.

        A VM that lost its last seat counts as departed until it holds one again.
        """
        if previous_holder is not None and not self._roster.holds_seat(previous_holder):
            self._departed.add(previous_holder)
        if isinstance(change, Join | TakeSeat):
            self._departed.discard(change.vm.id)
            self.add(now, change.vm)

    def active(self) -> tuple[Vm, ...]:
        """Return the other VMs, ordered by id.

        Excludes VMs that are gone, departed or leaving.
        """
        return tuple(vm for _, vm in sorted(self._vms.items()) if self._is_active(vm))

    def addresses(self) -> set[str]:
        """Return all addresses on which a VM may answer."""
        gone = self._incarnations.gone()
        held = {vm.peer_address for vm in self._roster.holders() if vm.id not in gone}
        return held | set(self._incarnations.listed) | self._sender_addresses

    def prune(self) -> None:
        """Remove VMs that are gone."""
        gone = self._incarnations.gone()
        self._vms = {vm_id: vm for vm_id, vm in self._vms.items() if vm_id not in gone}
        self._departed &= self._vms.keys()
        addresses = {vm.peer_address for vm in self._vms.values()}
        self._sender_addresses &= addresses | set(self._incarnations.listed)

    def _is_active(self, vm: Vm) -> bool:
        if vm.leaving or vm.id in self._departed:
            return False
        if vm.id in self._incarnations.gone():
            return False
        return not self._incarnations.is_leaving(vm.peer_address)
