import pytest
from wagtailpaddle_core import ErrorKind, RequestId, ServerId, ServiceId
from wagtailpaddle_routing import Deliver, Dispatch, Refuse

SERVICE = ServiceId("booking")


@pytest.fixture
def one_slot(make_dispatcher, view):
    def make(**options):
        return make_dispatcher((view("s0", slots=1),), limiter="fixed", **options)

    return make


def drain(dispatcher, actions, ended, latencies_s, now=0.0):
    """Finish requests one by one; return them in the order of dispatch."""
    order = []
    while actions:
        (dispatch,) = [item for item in actions if isinstance(item, Dispatch)] or [None]
        if dispatch is None:
            return order
        order.append(dispatch.request)
        now += latencies_s(dispatch.request)
        actions = dispatcher.finish(now, dispatch.request, ended())
    return order


def test_finished_request_makes_room_for_a_queued_one(one_slot, job, ended):
    dispatcher = one_slot()
    dispatcher.arrive(0.0, job("r1"))
    assert dispatcher.arrive(0.0, job("r2")) == ()
    delivered, started = dispatcher.finish(1.0, RequestId("r1"), ended())
    assert delivered == Deliver("r1")
    assert (started.request, started.queued_s) == ("r2", 1.0)


def test_cancelled_request_makes_room_for_a_queued_one(one_slot, job):
    dispatcher = one_slot()
    dispatcher.arrive(0.0, job("r1"))
    dispatcher.arrive(0.0, job("r2"))
    _, started = dispatcher.cancel(1.0, RequestId("r1"))
    assert started.request == "r2"


def test_account_with_a_long_queue_does_not_hold_up_another(one_slot, job, ended):
    dispatcher = one_slot()
    actions = dispatcher.arrive(0.0, job("big0", "big"))
    for index in range(1, 50):
        dispatcher.arrive(0.0, job(f"big{index}", "big"))
    dispatcher.arrive(0.0, job("small", "small"))
    order = drain(dispatcher, actions, ended, lambda name: 0.01)
    assert order.index("small") <= 2


def test_account_with_slow_requests_gets_fewer_turns(one_slot, job, ended):
    dispatcher = one_slot()
    actions = dispatcher.arrive(0.0, job("slow0", "slow"))
    for index in range(40):
        dispatcher.arrive(0.0, job(f"slow{index + 1}", "slow"))
        dispatcher.arrive(0.0, job(f"quick{index}", "quick"))
    order = drain(
        dispatcher, actions, ended, lambda name: 0.1 if name.startswith("s") else 0.01
    )
    n_slow = sum(name.startswith("slow") for name in order[:40])
    assert 3 <= n_slow <= 8


def test_weight_scales_the_part_of_an_account(one_slot, job, ended):
    dispatcher = one_slot()
    actions = dispatcher.arrive(0.0, job("light", "light"))
    for index in range(40):
        dispatcher.arrive(0.0, job(f"light{index}", "light"))
        dispatcher.arrive(0.0, job(f"heavy{index}", "heavy", weight=3.0))
    order = drain(dispatcher, actions, ended, lambda name: 0.01)
    n_heavy = sum(name.startswith("heavy") for name in order[:40])
    assert 28 <= n_heavy <= 32


def test_full_queue_evicts_from_the_longest_account(one_slot, job):
    dispatcher = one_slot(max_waiting=4)
    for index in range(5):
        dispatcher.arrive(0.0, job(f"big{index}", "big"))
    (refusal,) = dispatcher.arrive(0.0, job("big5", "big"))
    assert (refusal.request, refusal.kind) == ("big5", ErrorKind.OVERLOADED)
    (refusal,) = dispatcher.arrive(0.0, job("small", "small"))
    assert (refusal.request, refusal.kind) == ("big4", ErrorKind.OVERLOADED)
    (status,) = dispatcher.status(0.0)
    assert status.n_queued == 4


def test_shed_requests_that_return_leave_the_queue_within_its_bound(
    make_dispatcher, view, job, ended
):
    dispatcher = make_dispatcher((view("s0"),), max_waiting=2)
    for index in range(6):
        dispatcher.arrive(0.0, job(f"r{index}"))
    refused = []
    for index in range(4):
        actions = dispatcher.finish(0.01, RequestId(f"r{index}"), ended("shed"))
        refused += [item for item in actions if isinstance(item, Refuse)]
    assert {item.kind for item in refused} == {ErrorKind.OVERLOADED}
    (status,) = dispatcher.status(0.01)
    assert status.n_queued == 2
    assert dispatcher.n_pending + len(refused) == 6


def test_request_that_cannot_be_served_in_time_is_refused_at_once(one_slot, job, ended):
    dispatcher = one_slot()
    dispatcher.arrive(0.0, job("first"))
    dispatcher.finish(1.0, RequestId("first"), ended(latency_s=1.0))
    for index in range(6):
        dispatcher.arrive(1.0, job(f"r{index}", at=1.0))
    (refusal,) = dispatcher.arrive(1.0, job("late", at=1.0, timeout_s=2.0))
    assert refusal.kind is ErrorKind.OVERLOADED
    assert refusal.retry_after_s == pytest.approx(5.0)
    assert dispatcher.arrive(1.0, job("other", "y", at=1.0, timeout_s=3.0)) == ()


def test_wait_behind_slow_requests_of_others_is_not_overestimated(one_slot, job, ended):
    dispatcher = one_slot()
    dispatcher.arrive(0.0, job("slow0", "slow"))
    dispatcher.arrive(0.0, job("quick0", "quick"))
    dispatcher.arrive(0.0, job("slow1", "slow"))
    dispatcher.arrive(0.0, job("quick1", "quick"))
    dispatcher.finish(4.0, RequestId("slow0"), ended(latency_s=4.0))
    dispatcher.finish(4.01, RequestId("quick0"), ended(latency_s=0.01))
    for index in range(2, 9):
        dispatcher.arrive(4.02, job(f"slow{index}", "slow", at=4.02))
    assert dispatcher.arrive(4.1, job("r", "quick", at=4.1, timeout_s=2.0)) == ()
    (refusal,) = dispatcher.arrive(4.1, job("s", "slow", at=4.1, timeout_s=2.0))
    assert refusal.kind is ErrorKind.OVERLOADED


def test_shed_attempts_do_not_lower_the_estimate(one_slot, job, ended):
    dispatcher = one_slot()
    dispatcher.arrive(0.0, job("r0"))
    dispatcher.arrive(0.0, job("r1"))
    dispatcher.finish(4.0, RequestId("r0"), ended(latency_s=4.0))
    dispatcher.finish(4.001, RequestId("r1"), ended("shed", 0.001))
    dispatcher.arrive(4.002, job("r2", at=4.002))
    (status,) = dispatcher.status(4.002)
    assert status.wait_s == pytest.approx(8.0)


def test_slots_are_reserved_for_accounts_with_low_usage(make_dispatcher, view, job):
    dispatcher = make_dispatcher((view("s0"),), limiter="fixed")
    dispatcher.arrive(0.0, job("other", "y"))
    dispatcher.cancel(0.0, RequestId("other"))
    taken = [dispatcher.arrive(0.1, job(f"slow{i}", "x")) for i in range(6)]
    assert sum(len(actions) for actions in taken) == 3
    (started,) = dispatcher.arrive(0.1, job("new", "y"))
    assert started.request == "new"


def test_single_account_gets_every_slot(make_dispatcher, view, job):
    dispatcher = make_dispatcher((view("s0"),), limiter="fixed")
    taken = [dispatcher.arrive(0.0, job(f"r{i}", "x")) for i in range(6)]
    assert sum(len(actions) for actions in taken) == 4


def test_removed_service_refuses_queued_and_finishes_running_requests(
    one_slot, job, ended
):
    dispatcher = one_slot()
    dispatcher.arrive(0.0, job("runs"))
    dispatcher.arrive(0.0, job("waits"))
    (refusal,) = dispatcher.remove_service(0.1, SERVICE)
    assert (refusal.request, refusal.kind) == ("waits", ErrorKind.NO_HEALTHY_SERVER)
    assert dispatcher.finish(0.2, RequestId("runs"), ended()) == (Deliver("runs"),)
    dispatcher.tick(0.3)
    assert dispatcher.status(0.3) == ()
    (refusal,) = dispatcher.arrive(0.3, job("late", at=0.3))
    assert refusal.kind is ErrorKind.NO_HEALTHY_SERVER


def test_service_without_traffic_is_removed(make_dispatcher, views, job, ended):
    dispatcher = make_dispatcher(views)
    dispatcher.arrive(0.0, job("r"))
    dispatcher.finish(0.1, RequestId("r"), ended())
    dispatcher.tick(1.0)
    assert len(dispatcher.status(1.0)) == 1
    dispatcher.tick(1000.0)
    assert dispatcher.status(1000.0) == ()
    (started,) = dispatcher.arrive(1000.0, job("r2", at=1000.0))
    assert started.server in {ServerId(view.id) for view in views}
