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
        self._known: dict[VmId, Vm] = {}
        self._departed: set[VmId] = set()
        self._callers: set[str] = set()

    def note(self, now: float, vm: Vm) -> None:
        """Take in what a record or an answer states of a VM."""
        if vm.id != self._vm.id:
            self._incarnations.heard_of(now, vm.id)
            self._known[vm.id] = vm

    def note_caller(self, now: float, vm: VmId) -> None:
        """A VM sent a message."""
        self._incarnations.heard_of(now, vm)
        self._callers.add(split_vm_id(vm)[0])

    def holder_before(self, change: SeatChange) -> VmId | None:
        """Return which VM loses a seat by a change that is about to be folded."""
        if not isinstance(change, Depart | TakeSeat):
            return None
        seat = self._roster.seat(change.seat)
        return None if seat is None else seat.vm.id

    def folded(self, now: float, change: SeatChange, loser: VmId | None) -> None:
        """Take in a seat change after it was folded.

        A VM that lost its last seat has left, until it joins again.
        """
        if loser is not None and not self._roster.holds_seat(loser):
            self._departed.add(loser)
        if isinstance(change, Join | TakeSeat):
            self._departed.discard(change.vm.id)
            self.note(now, change.vm)

    def staying(self) -> tuple[Vm, ...]:
        """Return the other VMs that are neither gone nor leaving, by id."""
        return tuple(vm for _, vm in sorted(self._known.items()) if self._stays(vm))

    def addresses(self) -> set[str]:
        """Return all addresses at which a VM may answer."""
        gone = self._incarnations.gone()
        held = {vm.peer_address for vm in self._roster.holders() if vm.id not in gone}
        return held | set(self._incarnations.listed) | self._callers

    def forget(self) -> None:
        """Forget VMs that are gone."""
        gone = self._incarnations.gone()
        self._known = {vm: known for vm, known in self._known.items() if vm not in gone}
        self._departed &= self._known.keys()
        addresses = {vm.peer_address for vm in self._known.values()}
        self._callers &= addresses | set(self._incarnations.listed)

    def _stays(self, vm: Vm) -> bool:
        if vm.leaving or vm.id in self._departed:
            return False
        if vm.id in self._incarnations.gone():
            return False
        return not self._incarnations.is_leaving(vm.peer_address)
