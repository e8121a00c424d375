"""Cases of the ``shares`` stream that random search does not reach."""

import pytest
from wagtailpaddle_fleet import (
    FleetRecord,
    HandOverSeats,
    Join,
    OffsetAnswer,
    Roster,
    Settle,
)
from wagtailpaddle_fleet.answers import Answers
from wagtailpaddle_fleet.handover import HeldSeats
from wagtailpaddle_fleet.sharesview import SharesView


@pytest.fixture
def seats(vm):
    """Three settled seats of others; this VM has folded 5 records of shares."""
    roster, answers = Roster(), Answers()
    for name in ("a", "b", "c"):
        join = Join(vm(name))
        offset = roster.next_offset
        roster.apply(offset, FleetRecord(name, name, 0.0, join))
        roster.apply(offset + 1, FleetRecord(f"s{name}", name, 0.0, Settle(offset)))
    view = SharesView(roster=roster, answers=answers, held=set, next_offset=lambda: 5)
    return view, roster, answers


@pytest.fixture
def hear(seats, vm):
    view, roster, answers = seats

    def answer(name, sent_at, *, shares, ahead=0):
        said = vm(name)
        offset = roster.next_offset + ahead
        reply = OffsetAnswer(said, offset, (said.id,), True, 0.0, shares)
        answers.note(sent_at, sent_at, said.peer_address, reply)

    return answer


def test_majority_that_is_not_ahead_confirms(seats, hear):
    view, _, _ = seats
    hear("a", 10.0, shares=5)
    assert view.confirmed_at(11.0) == float("-inf")
    hear("b", 9.0, shares=3)
    assert view.confirmed_at(11.0) == 9.0
    assert view.settled_upto() == 3


@pytest.mark.parametrize(("shares", "ahead"), [(6, 0), (5, 1)])
def test_answer_that_is_ahead_in_either_stream_confirms_nothing(
    seats, hear, shares, ahead
):
    view, _, _ = seats
    hear("a", 10.0, shares=5)
    hear("b", 10.0, shares=shares, ahead=ahead)
    assert view.confirmed_at(11.0) == float("-inf")


def test_answers_from_before_the_seats_changed_confirm_nothing(seats, hear):
    view, _, _ = seats
    hear("a", 10.0, shares=5)
    hear("b", 10.0, shares=5)
    view.on_seats_changed(10.5)
    assert view.confirmed_at(11.0) == float("-inf")
    hear("a", 10.6, shares=5)
    hear("b", 10.7, shares=5)
    assert view.confirmed_at(11.0) == 10.6


def test_seats_settle_once_most_know_the_shares_of_before(seats, hear):
    view, _, _ = seats
    nobody = set().__contains__
    assert not view.follow(20.0, 4, nobody)
    view.on_head(19.9, 3)
    assert not view.follow(20.1, 4, nobody)
    view.on_head(20.1, 5)
    view.on_head(20.5, 9)
    hear("a", 21.0, shares=5)
    assert not view.follow(21.0, 4, nobody)
    hear("b", 21.0, shares=4)
    assert not view.follow(21.0, 4, nobody)
    hear("b", 22.0, shares=5)
    assert view.follow(22.0, 4, nobody)


def test_seat_that_nobody_speaks_for_holds_up_nothing(seats, hear, vm):
    view, _, _ = seats
    void = {vm("b").id}.__contains__
    view.follow(20.0, 4, void)
    view.on_head(20.1, 5)
    assert not view.follow(21.0, 4, void)
    hear("a", 21.0, shares=5)
    assert view.follow(21.0, 4, void)


def test_claim_that_waits_is_asked_about(seats, hear, vm):
    view, _, _ = seats
    assert view.lacking() == set()
    view.wanted = 4
    hear("a", 10.0, shares=5)
    hear("b", 10.0, shares=4)
    assert view.lacking() == {vm("b").id, vm("c").id}


@pytest.mark.parametrize(("shares", "accepted"), [(4, False), (5, True)])
def test_seat_passes_only_to_a_vm_that_folded_the_shares(vm, shares, accepted):
    taker = HeldSeats(vm("b"))
    message = HandOverSeats(vm("b").id, ("a",), 0, 0.0, 5)
    answer = taker.on_offered(1.0, 0, message, shares_offset=shares)
    assert answer.accepted is accepted
