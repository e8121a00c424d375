import pytest
from wagtailpaddle_fleet import HandOverAnswer, HandOverSeats, OffsetAnswer
from wagtailpaddle_fleet.handover import HAND_OVER_VALIDITY_S, HeldSeats
from wagtailpaddle_fleet.offset_answers import ReceivedAnswer


@pytest.fixture
def sender(vm):
    return HeldSeats(vm("a"))


@pytest.fixture
def receiver(vm):
    return HeldSeats(vm("b"))


@pytest.fixture
def answers(vm):
    def build(*vms, at=0.0):
        return {
            item.peer_address: ReceivedAnswer(
                OffsetAnswer(item, 5, (), True, at), at, at
            )
            for item in vms or [vm("b")]
        }

    return build


def start_hand_over(sender, answers):
    sender.begin_leave(0.0)
    (call,) = sender.step(1.0, 5, answers)
    return call


def test_sender_stops_voting_once_it_has_sent(sender, receiver, answers, vm):
    call = start_hand_over(sender, answers())
    assert sender.voting_seats() == ()
    assert receiver.on_hand_over(2.0, 5, call.body).accepted
    assert receiver.voting_seats() == (vm("a").id, vm("b").id)
    assert receiver.on_hand_over(3.0, 5, call.body).accepted
    sender.on_answer(1.0, HandOverAnswer(True, 5))
    assert sender.has_left


def test_receiver_that_has_folded_less_refuses(sender, receiver, answers):
    call = start_hand_over(sender, answers())
    assert not receiver.on_hand_over(2.0, 4, call.body).accepted


def test_delayed_message_is_refused(sender, receiver, answers):
    call = start_hand_over(sender, answers())
    assert not receiver.on_hand_over(HAND_OVER_VALIDITY_S + 1, 5, call.body).accepted


def test_another_incarnation_refuses(receiver, vm):
    other = vm("b", incarnation="0").id
    message = HandOverSeats(other, ("s",), 0, 0.0)
    assert not receiver.on_hand_over(1.0, 5, message).accepted


def test_refusal_after_a_lost_call_returns_no_seats(sender, answers):
    start_hand_over(sender, answers())
    sender.on_failed()
    (retry,) = sender.step(4.0, 5, answers())
    sender.on_answer(4.0, HandOverAnswer(False, 5))
    assert sender.voting_seats() == ()
    assert not sender.has_left
    assert sender.step(5.0, 5, answers()) == (retry,)
    sender.on_answer(HAND_OVER_VALIDITY_S + 2, HandOverAnswer(False, 5))
    assert sender.voting_seats() != ()


def test_refusal_selects_another_successor(sender, answers, vm):
    call = start_hand_over(sender, answers(vm("b"), vm("c")))
    sender.on_answer(1.0, HandOverAnswer(False, 5))
    (other,) = sender.step(2.0, 5, answers(vm("b"), vm("c")))
    assert other.address != call.address


def test_leaving_vm_refuses_seats(receiver):
    receiver.begin_leave(0.0)
    message = HandOverSeats(receiver._vm.id, ("s",), 0, 0.0)
    assert not receiver.on_hand_over(1.0, 5, message).accepted
