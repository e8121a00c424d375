import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_fleet import (
    Depart,
    FleetRecord,
    Join,
    Roster,
    Settle,
    TakeSeat,
    Vm,
    vm_id,
)

numbers = st.integers(0, 6)


def seats(*vms):
    return frozenset(vm.id for vm in vms)


def test_change_waits_until_the_one_before_is_settled(roster, apply, vm):
    a, b, c = vm("a"), vm("b"), vm("c")
    apply(Join(a), Join(b), Join(c))
    assert roster.majorities() == (seats(a),)
    apply(Settle(0))
    assert roster.majorities() == (seats(a), seats(a, b, c))
    apply(Settle(0))
    assert roster.unsettled_change == 3
    apply(Settle(3))
    assert roster.majorities() == (seats(a, b, c),)


def test_unsettled_change_needs_both_majorities(roster, apply, vm):
    vms = [vm(f"v{index}") for index in range(8)]
    apply(*map(Join, vms[:1]), Settle(0), *map(Join, vms[1:4]), Settle(2))
    apply(Settle(5), *map(Join, vms[4:]))
    apply(Settle(roster.unsettled_change))
    former, current = roster.majorities()
    assert len(former) == 5 and len(current) == 8
    new_half = seats(vms[0], *vms[4:])
    assert not roster.has_majority(lambda seat: seat in new_half)
    assert roster.has_majority(lambda seat: seat in seats(*vms[:5]))


def test_exactly_half_is_no_majority(roster, apply, vm):
    vms = [vm(f"v{index}") for index in range(4)]
    apply(*map(Join, vms), Settle(0), Settle(4))
    assert not roster.has_majority(lambda seat: seat in seats(*vms[:2]))
    assert roster.has_majority(lambda seat: seat in seats(*vms[:3]))


def test_empty_roster_has_no_majority(roster):
    assert not roster.has_majority(lambda seat: True)


def test_restarted_vm_replaces_its_earlier_incarnation(roster, apply, vm):
    old, new = vm("a", incarnation="1"), vm("a", incarnation="2")
    apply(Join(old), Settle(0), Join(new), Settle(2), Join(old))
    assert set(roster.seats) == {new.id}
    assert roster.n_void == 1


def test_seat_that_was_handed_over_keeps_its_id(roster, apply, vm):
    a, b, c = vm("a"), vm("b"), vm("c")
    apply(Join(a), Settle(0), TakeSeat(a.id, b), Depart(a.id, a.id))
    assert roster.seats[a.id].vm == b
    assert roster.unsettled_change is None
    apply(TakeSeat(a.id, c))
    assert roster.seats[a.id].vm == c


def test_last_seat_is_not_removed(roster, apply, vm):
    a = vm("a")
    apply(Join(a), Settle(0), Depart(a.id, a.id))
    assert set(roster.seats) == {a.id}


@pytest.mark.parametrize("items", [[("x", {})], [("current/a", {"vm": 1})]])
def test_malformed_snapshot_raises(roster, items):
    with pytest.raises(ValueError, match="malformed roster in snapshot"):
        roster.restore(3, items)


def make_vm(name):
    return Vm(vm_id(name, "1"), "z", name, name, "1")


@st.composite
def seat_changes(draw):
    number, other = draw(numbers), draw(numbers)
    first, second = make_vm(f"v{number}"), make_vm(f"v{other}")
    return draw(
        st.sampled_from(
            [Join(first), Depart(first.id, second.id), TakeSeat(first.id, second)]
        )
    )


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(seat_changes() | st.none(), max_size=40), st.integers(0, 40))
def test_restored_snapshot_equals_the_folded_roster(changes, cut):
    folded, restored = Roster(), Roster()
    cut = min(cut, len(changes))
    for offset, change in enumerate(changes):
        settled = (
            Settle(folded.unsettled_change)
            if folded.unsettled_change is not None
            else None
        )
        record = FleetRecord(f"r{offset}", "author", 0.0, change or settled)
        entry = record if record.change is not None else None
        if offset == cut:
            restored.restore(offset, folded.snapshot_items())
        folded.apply(offset, entry)
        if offset >= cut:
            restored.apply(offset, entry)
    if cut == len(changes):
        restored.restore(cut, folded.snapshot_items())
    assert restored.snapshot_items() == folded.snapshot_items()
    assert restored.majorities() == folded.majorities()
    assert folded.seats or not any(isinstance(c, Join) for c in changes)
