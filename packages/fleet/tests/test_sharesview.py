"""Edge cases of the ``shares`` stream that the random tests do not reach."""

import pytest
from wagtailpaddle_fleet import (
    FleetRecord,
    HandOverSeats,
    Join,
    OffsetAnswer,
    Roster,
    Settle,
)
from wagtailpaddle_fleet.handover import HeldSeats
from wagtailpaddle_fleet.offset_answers import OffsetAnswers
from wagtailpaddle_fleet.shares_progress import SharesProgress


@pytest.fixture
def seats(vm):
    """Three settled seats of other VMs; this VM has folded 5 records of ``shares``."""
    roster, answers = Roster(), OffsetAnswers()
    for name in ("a", "b", "c"):
        join = Join(vm(name))
        offset = roster.next_offset
        roster.apply(offset, FleetRecord(name, name, 0.0, join))
        roster.apply(offset + 1, FleetRecord(f"s{name}", name, 0.0, Settle(offset)))
    progress = SharesProgress(
        roster=roster, answers=answers, held_seats=set, next_offset=lambda: 5
    )
    return progress, roster, answers


@pytest.fixture
def report(seats, vm):
    progress, roster, answers = seats

    def answer(name, sent_at, *, shares, ahead=0):
        reporter = vm(name)
        offset = roster.next_offset + ahead
        reply = OffsetAnswer(reporter, offset, (reporter.id,), True, 0.0, shares)
        answers.add(sent_at, sent_at, reporter.peer_address, reply)

    return answer


def test_majority_that_is_not_ahead_confirms(seats, report):
    progress, _, _ = seats
    report("a", 10.0, shares=5)
    assert progress.confirmed_at(11.0) == float("-inf")
    report("b", 9.0, shares=3)
    assert progress.confirmed_at(11.0) == 9.0
    assert progress.settled_upto() == 3


@pytest.mark.parametrize(("shares", "ahead"), [(6, 0), (5, 1)])
def test_answer_that_is_ahead_in_either_stream_confirms_nothing(
    seats, report, shares, ahead
):
    progress, _, _ = seats
    report("a", 10.0, shares=5)
    report("b", 10.0, shares=shares, ahead=ahead)
    assert progress.confirmed_at(11.0) == float("-inf")


def test_answers_from_before_the_seats_changed_confirm_nothing(seats, report):
    progress, _, _ = seats
    report("a", 10.0, shares=5)
    report("b", 10.0, shares=5)
    progress.on_seats_changed(10.5)
    assert progress.confirmed_at(11.0) == float("-inf")
    report("a", 10.6, shares=5)
    report("b", 10.7, shares=5)
    assert progress.confirmed_at(11.0) == 10.6


def test_change_settles_once_a_majority_has_folded_the_earlier_shares(seats, report):
    progress, _, _ = seats
    is_vacant = set().__contains__
    assert not progress.has_majority_caught_up(20.0, 4, is_vacant)
    progress.on_log_head(19.9, 3)
    assert not progress.has_majority_caught_up(20.1, 4, is_vacant)
    progress.on_log_head(20.1, 5)
    progress.on_log_head(20.5, 9)
    report("a", 21.0, shares=5)
    assert not progress.has_majority_caught_up(21.0, 4, is_vacant)
    report("b", 21.0, shares=4)
    assert not progress.has_majority_caught_up(21.0, 4, is_vacant)
    report("b", 22.0, shares=5)
    assert progress.has_majority_caught_up(22.0, 4, is_vacant)


def test_vacant_seat_does_not_block_settlement(seats, report, vm):
    progress, _, _ = seats
    is_vacant = {vm("b").id}.__contains__
    progress.has_majority_caught_up(20.0, 4, is_vacant)
    progress.on_log_head(20.1, 5)
    assert not progress.has_majority_caught_up(21.0, 4, is_vacant)
    report("a", 21.0, shares=5)
    assert progress.has_majority_caught_up(21.0, 4, is_vacant)


def test_seats_that_lag_behind_an_awaited_claim_are_listed(seats, report, vm):
    progress, _, _ = seats
    assert progress.lagging_seats() == set()
    progress.awaited_offset = 4
    report("a", 10.0, shares=5)
    report("b", 10.0, shares=4)
    assert progress.lagging_seats() == {vm("b").id, vm("c").id}


@pytest.mark.parametrize(("shares", "accepted"), [(4, False), (5, True)])
def test_seat_is_handed_only_to_a_vm_that_has_folded_the_shares(vm, shares, accepted):
    receiver = HeldSeats(vm("b"))
    message = HandOverSeats(vm("b").id, ("a",), 0, 0.0, 5)
    answer = receiver.on_hand_over(1.0, 0, message, shares_offset=shares)
    assert answer.accepted is accepted
