"""The VMs of which this VM has heard."""

from wagtailpaddle_core import VmId

from wagtailpaddle_fleet.incarnations import Incarnations, split_vm_id
from wagtailpaddle_fleet.messages import Depart, Join, SeatChange, TakeSeat, Vm
from wagtailpaddle_fleet.roster import Roster


class KnownVms:
    """Keeps VMs from records and answers, and which of them have left."""

    def __init__(self, vm: Vm, *, roster: Roster, incarnations: Incarnations):
        self._vm = vm
        self._roster = roster
        self._incarnations = incarnations
        self._vms: dict[VmId, Vm] = {}
        self._departed: set[VmId] = set()
        self._sender_addresses: set[str] = set()

    def add(self, now: float, vm: Vm) -> None:
        """Take in what a record or an answer states of a VM."""
        if vm.id != self._vm.id:
            self._incarnations.observe(now, vm.id)
            self._vms[vm.id] = vm

    def add_sender(self, now: float, vm: VmId) -> None:
        """A VM sent a message."""
        self._incarnations.observe(now, vm)
        self._sender_addresses.add(split_vm_id(vm)[0])

    def current_holder(self, change: SeatChange) -> VmId | None:
        """Return which VM loses a seat by a change that is about to be folded."""
        if not isinstance(change, Depart | TakeSeat):
            return None
        seat = self._roster.seat(change.seat)
        return None if seat is None else seat.vm.id

    def on_change_folded(
        self, now: float, change: SeatChange, previous_holder: VmId | None
    ) -> None:
        """Take in a seat change after it was folded.

        A VM that lost its last seat has left, until it joins again.
        """
        if previous_holder is not None and not self._roster.holds_seat(previous_holder):
            self._departed.add(previous_holder)
        if isinstance(change, Join | TakeSeat):
            self._departed.discard(change.vm.id)
            self.add(now, change.vm)

    def active(self) -> tuple[Vm, ...]:
        """Return the other VMs that are neither gone nor leaving, by id."""
        return tuple(vm for _, vm in sorted(self._vms.items()) if self._is_active(vm))

    def addresses(self) -> set[str]:
        """Return all addresses at which a VM may answer."""
        gone = self._incarnations.gone()
        held = {vm.peer_address for vm in self._roster.holders() if vm.id not in gone}
        return held | set(self._incarnations.listed) | self._sender_addresses

    def prune(self) -> None:
        """Forget VMs that are gone."""
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
