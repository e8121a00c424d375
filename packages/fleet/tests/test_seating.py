import pytest
from wagtailpaddle_fleet import (
    AppendRecord,
    Depart,
    FleetRecord,
    HandOverSeats,
    Join,
    Membership,
    Settle,
    TakeSeat,
)


@pytest.fixture
def member(vm):
    return Membership(vm("b"))


@pytest.fixture
def fold(member):
    def append(*changes):
        for change in changes:
            offset = member.roster.next_offset
            record = FleetRecord(f"r{offset}", "author", 0.0, change)
            member.on_folded(0.0, offset, b"", record)

    return append


@pytest.fixture
def proposed_changes(member):
    def step(now):
        member.on_log_head(now, now, member.roster.next_offset)
        return [
            action.record.change
            for action in member.tick(now)
            if isinstance(action, AppendRecord)
        ]

    return step


def receive_seat(member, seat):
    message = HandOverSeats(member.vm.id, (seat,), 0, 0.0)
    assert member.on_message(0.0, seat, message).accepted


def test_vm_without_a_seat_records_the_one_handed_over(
    member, fold, proposed_changes, vm
):
    a = vm("a")
    fold(Join(a), Settle(0))
    receive_seat(member, a.id)
    assert proposed_changes(5.0) == [TakeSeat(a.id, member.vm)]


def test_vm_with_a_seat_gives_up_the_one_handed_over(
    member, fold, proposed_changes, vm
):
    a = vm("a")
    fold(Join(a), Settle(0), Join(member.vm), Settle(2))
    receive_seat(member, a.id)
    assert proposed_changes(5.0) == [Depart(a.id, a.id)]


def test_vm_that_joined_while_it_took_a_seat_gives_one_up_seed_2005(
    member, fold, proposed_changes, vm
):
    a = vm("a")
    fold(Join(a), Settle(0), Join(member.vm), Settle(2), TakeSeat(a.id, member.vm))
    receive_seat(member, a.id)
    assert proposed_changes(5.0) == [Depart(a.id, member.vm.id)]


def test_seat_recorded_for_a_vm_that_does_not_hold_it_is_given_up(
    member, fold, proposed_changes, vm
):
    a = vm("a")
    fold(Join(a), Settle(0), Join(member.vm), Settle(2), TakeSeat(a.id, member.vm))
    assert proposed_changes(5.0) == []
    assert proposed_changes(20.0) == [Depart(a.id, member.vm.id)]


def test_vm_that_gives_up_a_surplus_seat_has_not_left(member, fold, vm):
    a, c = vm("a"), vm("c")
    fold(Join(a), Settle(0), Join(c), Settle(2), TakeSeat(a.id, c))
    assert [item.id for item in member.vms(0.0)] == [member.vm.id, c.id]
    fold(Depart(a.id, c.id))
    assert [item.id for item in member.vms(0.0)] == [member.vm.id, c.id]
    fold(Depart(c.id, c.id))
    assert [item.id for item in member.vms(0.0)] == [member.vm.id]


def test_other_vm_settles_a_change_only_after_a_delay(
    member, fold, proposed_changes, vm
):
    fold(Join(member.vm))
    assert proposed_changes(5.0) == []
    assert Settle(0) in proposed_changes(60.0)
