"""The voting seats of the fleet, folded from the log."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from wagtailpaddle_core import Offset, Registry, VmId, ZoneId, ensure

from wagtailpaddle_fleet.messages import (
    Depart,
    FleetRecord,
    Join,
    SeatId,
    Settle,
    TakeSeat,
    Vm,
)


@dataclass(frozen=True, slots=True)
class Seat:
    """One vote in majorities, and the VM that holds it according to the log."""

    id: SeatId
    vm: Vm


class Roster:
    """The registered seats at one offset of the log.

    A new set of seats takes effect when its change is folded. Until the change
    is settled, majorities of both the former and the new set are required. The
    next change begins only after that, and includes all pending joins and
    departures. A VM that has folded any prefix of the log and queries a
    majority of the seats in it therefore reaches at least one seat that
    confirmed the next change.

    ``members`` are the VMs that hold seats. ``members_revision`` increases
    whenever they change, and ``former_members`` are the members before the last
    change. Equal revisions mean equal members on all VMs.

    >>> roster = Roster()
    >>> roster.next_offset, len(roster.seats)
    (0, 0)
    """

    def __init__(self) -> None:
        self.next_offset: Offset = 0
        self.seats: dict[SeatId, Seat] = {}
        self.former_seats: dict[SeatId, Seat] | None = None
        self.unsettled_change: Offset | None = None
        self.unsettled_change_author: VmId | None = None
        self.version = 0
        self.members: tuple[Vm, ...] = ()
        self.members_revision: Offset = 0
        self.former_members: tuple[Vm, ...] = ()
        self.former_members_revision: Offset = 0
        self.n_void = 0
        self._joining: dict[SeatId, Seat] = {}
        self._departing: set[SeatId] = set()

    def apply(self, offset: Offset, record: FleetRecord | None) -> None:
        """Fold the record at ``offset``; None if it is not about seats."""
        ensure(offset == self.next_offset, "roster-offset-order", offset=offset)
        self.next_offset = offset + 1
        if record is None:
            return
        before = self.majorities()
        if not SEAT_CHANGE_APPLIERS[type(record.change).__name__](self, record.change):
            self.n_void += 1
            return
        self.version += 1
        self._begin_change(offset, record.author)
        self._update_members(offset + 1)
        ensure(
            not before[0] or not set(before).isdisjoint(self.majorities()),
            "roster-majorities-meet",
            offset=offset,
        )

    def seat(self, seat: SeatId) -> Seat | None:
        """Return a seat that is registered or whose join is pending."""
        return self.seats.get(seat) or self._joining.get(seat)

    def is_departing(self, seat: SeatId) -> bool:
        """Return whether the departure of a seat is pending."""
        return seat in self._departing

    def holders(self) -> tuple[Vm, ...]:
        """Return the VMs that hold seats according to the log, ordered by id."""
        vms = {
            seat.vm.id: seat.vm
            for seats in (self.seats, self._joining)
            for seat in seats.values()
        }
        return tuple(vms[vm] for vm in sorted(vms))

    def holds_seat(self, vm: VmId) -> bool:
        """Return whether a VM holds a seat that is not departing, per the log."""
        return any(
            seat.vm.id == vm and seat.id not in self._departing
            for seats in (self.seats, self._joining)
            for seat in seats.values()
        )

    def majorities(self) -> tuple[frozenset[SeatId], ...]:
        """Return the sets of seats; more than half of each must agree."""
        current = frozenset(self.seats)
        if self.former_seats:
            return (frozenset(self.former_seats), current)
        return (current,)

    def has_majority(self, is_confirmed: Callable[[SeatId], bool]) -> bool:
        """Return whether more than half of each set of seats have confirmed."""
        return all(
            2 * sum(map(is_confirmed, seats)) > len(seats)
            for seats in self.majorities()
        )

    def snapshot_items(self) -> tuple[tuple[str, dict[str, Any]], ...]:
        """Return the state as (name, table) pairs for a snapshot."""
        head = {
            "members_revision": self.members_revision,
            "former_members_revision": self.former_members_revision,
            "change": self.unsettled_change,
            "author": self.unsettled_change_author,
            "departing": sorted(self._departing),
        }
        parts = {
            "current": self.seats,
            "former": self.former_seats or {},
            "joining": self._joining,
        }
        rows = [
            (f"{part}/{name}", _vm_table(seats[name].vm))
            for part, seats in parts.items()
            for name in sorted(seats)
        ]
        former = [
            (f"former_member/{vm.id}", _vm_table(vm)) for vm in self.former_members
        ]
        return (("head", head), *rows, *former)

    def restore(
        self, upto: Offset, items: Iterable[tuple[str, Mapping[str, Any]]]
    ) -> None:
        """Replace the state by that of a snapshot.

        Raises ``ValueError`` if ``items`` is malformed.
        """
        ensure(upto >= self.next_offset, "roster-offset-monotonic", upto=upto)
        head: Mapping[str, Any] = {}
        parts: dict[str, dict[SeatId, Seat]] = {
            "current": {},
            "former": {},
            "joining": {},
            "former_member": {},
        }
        try:
            for name, table in items:
                if name == "head":
                    head = table
                    continue
                part, _, seat = name.partition("/")
                parts[part][seat] = Seat(seat, _vm_from_table(table))
            change, author = head.get("change"), head.get("author")
            departing = set(head.get("departing", ()))
            members_revision = int(head.get("members_revision", 0))
            former_revision = int(head.get("former_members_revision", 0))
        except (LookupError, TypeError) as exc:
            raise ValueError(
                f"malformed roster in snapshot at {upto}: {exc!r}"
            ) from None
        self.seats = parts["current"]
        self.former_seats = None if change is None else parts["former"]
        self.unsettled_change = change
        self.unsettled_change_author = author
        self._joining = parts["joining"]
        self._departing = departing
        self.members = self._seat_holders()
        self.members_revision = members_revision
        self.former_members_revision = former_revision
        self.former_members = tuple(
            seat.vm for _, seat in sorted(parts["former_member"].items())
        )
        self.next_offset = upto
        self.version += 1

    def _update_members(self, revision: Offset) -> None:
        """Update current and former members and their revisions."""
        members = self._seat_holders()
        if members == self.members:
            return
        self.former_members = self.members
        self.former_members_revision = self.members_revision
        self.members = members
        self.members_revision = revision

    def _seat_holders(self) -> tuple[Vm, ...]:
        vms = {seat.vm.id: seat.vm for seat in self.seats.values()}
        return tuple(vms[vm] for vm in sorted(vms))

    def _begin_change(self, offset: Offset, author: VmId) -> None:
        if self.unsettled_change is not None or not (self._joining or self._departing):
            return
        new = {**self.seats, **self._joining}
        for seat in self._departing:
            new.pop(seat, None)
        if not new:
            return
        self.former_seats = self.seats
        self.seats = dict(sorted(new.items()))
        self.unsettled_change = offset
        self.unsettled_change_author = author
        self._joining = {}
        self._departing = set()


SeatChangeApplier = Callable[[Roster, Any], bool]
SEAT_CHANGE_APPLIERS: Registry[SeatChangeApplier] = Registry("seat change")
"""Keyed by class name; an applier returns False if the change has no effect."""


@SEAT_CHANGE_APPLIERS.register("Join")
def _join(roster: Roster, change: Join) -> bool:
    vm = change.vm
    if roster.seat(vm.id) is not None:
        return False
    earlier = [
        seat
        for seats in (roster.seats, roster._joining)
        for seat in seats.values()
        if seat.vm.peer_address == vm.peer_address
    ]
    if any(seat.vm.incarnation >= vm.incarnation for seat in earlier):
        return False
    for seat in earlier:
        _remove(roster, seat.id)
    roster._joining[vm.id] = Seat(vm.id, vm)
    return True


@SEAT_CHANGE_APPLIERS.register("Depart")
def _depart(roster: Roster, change: Depart) -> bool:
    seat = roster.seat(change.seat)
    if seat is None or seat.vm.id != change.holder:
        return False
    return _remove(roster, change.seat)


@SEAT_CHANGE_APPLIERS.register("TakeSeat")
def _take_seat(roster: Roster, change: TakeSeat) -> bool:
    for seats in (roster.seats, roster._joining):
        seat = seats.get(change.seat)
        if seat is not None and seat.vm != change.vm:
            seats[change.seat] = replace(seat, vm=change.vm)
            roster._departing.discard(change.seat)
            return True
    return False


@SEAT_CHANGE_APPLIERS.register("Settle")
def _settle(roster: Roster, change: Settle) -> bool:
    if roster.unsettled_change is None or roster.unsettled_change != change.change:
        return False
    roster.unsettled_change = None
    roster.unsettled_change_author = None
    roster.former_seats = None
    return True


def _remove(roster: Roster, seat: SeatId) -> bool:
    if roster._joining.pop(seat, None) is not None:
        return True
    if seat in roster._departing:
        return False
    roster._departing.add(seat)
    return True


def _vm_table(vm: Vm) -> dict[str, Any]:
    return {
        "vm": vm.id,
        "zone": vm.zone,
        "caller_address": vm.caller_address,
        "peer_address": vm.peer_address,
        "incarnation": vm.incarnation,
    }


def _vm_from_table(table: Mapping[str, Any]) -> Vm:
    return Vm(
        id=VmId(table["vm"]),
        zone=ZoneId(table["zone"]),
        caller_address=table["caller_address"],
        peer_address=table["peer_address"],
        incarnation=table["incarnation"],
    )
