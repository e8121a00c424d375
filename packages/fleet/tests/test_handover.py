import pytest
from wagtailpaddle_fleet import HandOverAnswer, HandOverSeats, OffsetAnswer
from wagtailpaddle_fleet.answers import Heard
from wagtailpaddle_fleet.handover import HAND_OVER_S, HeldSeats


@pytest.fixture
def giver(vm):
    return HeldSeats(vm("a"))


@pytest.fixture
def taker(vm):
    return HeldSeats(vm("b"))


@pytest.fixture
def heard(vm):
    def build(*vms, at=0.0):
        return {
            item.peer_address: Heard(OffsetAnswer(item, 5, (), True, at), at, at)
            for item in vms or [vm("b")]
        }

    return build


def begin(giver, heard):
    giver.begin(0.0)
    (call,) = giver.step(1.0, 5, heard)
    return call


def test_giver_speaks_no_longer_once_it_sent(giver, taker, heard, vm):
    call = begin(giver, heard())
    assert giver.spoken_for() == ()
    assert taker.on_offered(2.0, 5, call.body).accepted
    assert taker.spoken_for() == (vm("a").id, vm("b").id)
    assert taker.on_offered(3.0, 5, call.body).accepted
    giver.on_answer(1.0, HandOverAnswer(True, 5))
    assert giver.has_left


def test_taker_that_folded_less_refuses(giver, taker, heard):
    call = begin(giver, heard())
    assert not taker.on_offered(2.0, 4, call.body).accepted


def test_message_that_was_held_up_is_refused(giver, taker, heard):
    call = begin(giver, heard())
    assert not taker.on_offered(HAND_OVER_S + 1, 5, call.body).accepted


def test_another_incarnation_refuses(taker, vm):
    other = vm("b", incarnation="0").id
    message = HandOverSeats(other, ("s",), 0, 0.0)
    assert not taker.on_offered(1.0, 5, message).accepted


def test_refusal_after_a_lost_call_gives_nothing_back(giver, heard):
    begin(giver, heard())
    giver.on_failed()
    (again,) = giver.step(4.0, 5, heard())
    giver.on_answer(4.0, HandOverAnswer(False, 5))
    assert giver.spoken_for() == ()
    assert not giver.has_left
    assert giver.step(5.0, 5, heard()) == (again,)
    giver.on_answer(HAND_OVER_S + 2, HandOverAnswer(False, 5))
    assert giver.spoken_for() != ()


def test_refusal_lets_another_vm_take_over(giver, heard, vm):
    call = begin(giver, heard(vm("b"), vm("c")))
    giver.on_answer(1.0, HandOverAnswer(False, 5))
    (other,) = giver.step(2.0, 5, heard(vm("b"), vm("c")))
    assert other.address != call.address


def test_vm_that_leaves_takes_nothing(taker):
    taker.begin(0.0)
    message = HandOverSeats(taker._vm.id, ("s",), 0, 0.0)
    assert not taker.on_offered(1.0, 5, message).accepted
