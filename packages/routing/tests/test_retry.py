from dataclasses import replace

import pytest
from wagtailpaddle_core import ANSWERS, ErrorKind, Outcome, RequestId, ServiceId
from wagtailpaddle_routing import Deliver, Dispatch, Refuse

SERVICE = ServiceId("booking")


@pytest.fixture
def dispatcher(make_dispatcher, views):
    return make_dispatcher(views)


def finish(dispatcher, now, name, result):
    return dispatcher.finish(now, RequestId(name), result)


def test_idempotent_request_goes_to_another_server(dispatcher, job, ended):
    (first,) = dispatcher.arrive(0.0, job("r"))
    (second,) = finish(dispatcher, 0.1, "r", ended("failed"))
    assert isinstance(second, Dispatch)
    assert second.attempt == 2
    assert second.server != first.server


@pytest.mark.parametrize("seed", range(8))
def test_retry_avoids_a_server_that_has_just_timed_out(
    make_dispatcher, view, job, ended, seed
):
    """A hanging server has no request in flight between two time-outs.

    A retry there would wait until the request's deadline.
    """
    views = tuple(view(f"s{index}") for index in range(3))
    dispatcher = make_dispatcher(views, seed=seed)
    (hanging,) = dispatcher.arrive(0.0, job("r1"))
    finish(dispatcher, 1.0, "r1", ended("timed-out", 1.0))
    finish(dispatcher, 1.1, "r1", ended())
    (first,) = dispatcher.arrive(1.2, job("r2", at=1.2))
    (second,) = finish(dispatcher, 1.3, "r2", ended(status=500))
    assert second.server not in (hanging.server, first.server)


def test_hanging_retry_after_an_error_leaves_time_for_another_server(
    dispatcher, job, ended
):
    """A server starts to hang between two answers, so it does not look suspect yet."""
    (first,) = dispatcher.arrive(0.0, job("r", timeout_s=10.0))
    (second,) = finish(dispatcher, 0.1, "r", ended(status=500))
    assert second.timeout_at < 5.1
    (third,) = finish(
        dispatcher, second.timeout_at, "r", ended("timed-out", second.timeout_at - 0.1)
    )
    assert third.timeout_at == 10.0
    assert len({first.server, second.server, third.server}) == 3


def test_last_permitted_attempt_may_use_the_time_that_is_left(dispatcher, job, ended):
    dispatcher.arrive(0.0, replace(job("r"), max_attempts=2))
    (second,) = finish(dispatcher, 0.1, "r", ended(status=500))
    assert second.timeout_at == 10.0


@pytest.mark.parametrize("outcome", ["failed", "timed-out", "cut-short", "cancelled"])
def test_non_idempotent_request_that_may_have_run_is_not_sent_again(
    dispatcher, job, ended, outcome
):
    dispatcher.arrive(0.0, job("r", idempotent=False))
    (refusal,) = finish(dispatcher, 0.1, "r", ended(outcome))
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN
    assert dispatcher.n_pending == 0


@pytest.mark.parametrize("outcome", ["shed", "not-sent"])
def test_non_idempotent_request_that_surely_did_not_run_is_sent_again(
    dispatcher, job, ended, outcome
):
    dispatcher.arrive(0.0, job("r", idempotent=False))
    (second,) = finish(dispatcher, 0.1, "r", ended(outcome))
    assert isinstance(second, Dispatch)
    (refusal,) = finish(dispatcher, 0.2, "r", ended("failed"))
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN


def test_server_error_of_an_idempotent_request_is_retried_once(dispatcher, job, ended):
    dispatcher.arrive(0.0, job("r"))
    (second,) = finish(dispatcher, 0.1, "r", ended(status=503))
    assert isinstance(second, Dispatch)
    assert finish(dispatcher, 0.2, "r", ended(status=503)) == (Deliver("r"),)


def test_server_error_of_a_non_idempotent_request_is_delivered(dispatcher, job, ended):
    dispatcher.arrive(0.0, job("r", idempotent=False))
    assert finish(dispatcher, 0.1, "r", ended(status=503)) == (Deliver("r"),)


def test_committed_answer_that_breaks_off_is_not_replaced(dispatcher, job, ended):
    dispatcher.arrive(0.0, job("r"))
    (refusal,) = finish(dispatcher, 0.1, "r", ended("cut-short", committed=True))
    assert refusal.kind is ErrorKind.SERVER_FAILED


def test_deadline_after_an_attempt_does_not_claim_not_run(dispatcher, job, ended):
    dispatcher.arrive(0.0, job("r", timeout_s=1.0))
    (refusal,) = finish(dispatcher, 1.0, "r", ended("timed-out", 1.0))
    assert refusal.kind is ErrorKind.DEADLINE_AFTER_DISPATCH
    assert ANSWERS[refusal.kind].outcome is Outcome.UNKNOWN


def test_deadline_in_the_queue_after_an_attempt_does_not_claim_not_run(
    make_dispatcher, view, job, ended
):
    pair = (view("s0", slots=1), view("s1", slots=1))
    dispatcher = make_dispatcher(pair, limiter="fixed")
    dispatcher.arrive(0.0, job("r", timeout_s=1.0))
    dispatcher.arrive(0.0, job("other"))
    assert finish(dispatcher, 0.5, "r", ended("failed")) == ()
    assert dispatcher.next_wake(0.5) == 1.0
    (refusal,) = dispatcher.tick(1.0)
    assert refusal.kind is ErrorKind.DEADLINE_AFTER_DISPATCH


def test_drop_of_a_request_that_may_have_run_does_not_claim_not_run(
    make_dispatcher, view, job, ended
):
    pair = (view("s0", slots=1), view("s1", slots=1))
    dispatcher = make_dispatcher(pair, limiter="fixed")
    dispatcher.arrive(0.0, job("r"))
    dispatcher.arrive(0.0, job("other"))
    finish(dispatcher, 0.5, "r", ended("failed"))
    withdrawn = ErrorKind.KEY_UNKNOWN, "withdrawn"
    (refusal,) = dispatcher.drop(0.6, RequestId("r"), *withdrawn)
    assert refusal.kind is ErrorKind.SERVER_FAILED
    assert dispatcher.drop(0.6, RequestId("other"), *withdrawn) == ()


def test_drop_of_a_queued_request_keeps_its_kind(make_dispatcher, view, job):
    dispatcher = make_dispatcher((view("s0", slots=1),), limiter="fixed")
    dispatcher.arrive(0.0, job("running"))
    dispatcher.arrive(0.0, job("r"))
    (refusal,) = dispatcher.drop(
        0.6, RequestId("r"), ErrorKind.KEY_UNKNOWN, "withdrawn"
    )
    assert refusal.kind is ErrorKind.KEY_UNKNOWN


@pytest.mark.parametrize(
    "outcome, kind",
    [("failed", ErrorKind.SERVER_FAILED), ("not-sent", ErrorKind.KEY_UNKNOWN)],
)
def test_drop_of_a_running_request_ends_its_retries(
    dispatcher, job, ended, outcome, kind
):
    dispatcher.arrive(0.0, job("r"))
    assert dispatcher.drop(0.1, RequestId("r"), ErrorKind.KEY_UNKNOWN, "gone") == ()
    (refusal,) = finish(dispatcher, 0.2, "r", ended(outcome))
    assert refusal.kind is kind


def test_drop_of_a_running_request_keeps_its_answer(dispatcher, job, ended):
    dispatcher.arrive(0.0, job("r"))
    dispatcher.drop(0.1, RequestId("r"), ErrorKind.KEY_UNKNOWN, "gone")
    assert finish(dispatcher, 0.2, "r", ended(status=503)) == (Deliver("r"),)


def test_outage_is_not_amplified(make_dispatcher, views, job, ended):
    dispatcher = make_dispatcher(views)
    n_dispatched = 0
    for index in range(400):
        now = index * 0.01
        actions = dispatcher.arrive(now, job(f"r{index}", at=now))
        while isinstance(actions[0], Dispatch):
            n_dispatched += 1
            actions = finish(dispatcher, now, f"r{index}", ended("failed"))
        assert actions[0].kind is ErrorKind.SERVER_FAILED
    assert n_dispatched <= 400 * 1.2 + 20 + 0.5 * 4


@pytest.mark.parametrize(("outcome", "most"), [("shed", 25), ("not-sent", 4)])
def test_unsuccessful_attempts_are_bounded_for_each_server(
    make_dispatcher, view, job, ended, outcome, most
):
    dispatcher = make_dispatcher((view("s0"), view("s1")))
    n_dispatched = 0
    running = []
    for tick in range(1, 2000):
        now = tick / 1000
        actions = dispatcher.arrive(now, job(f"r{tick}", at=now, timeout_s=0.2))
        actions += dispatcher.tick(now)
        running = [item.request for item in actions if isinstance(item, Dispatch)]
        while running:
            n_dispatched += 1
            actions = finish(dispatcher, now, running.pop(), ended(outcome, 0.0))
            running += [item.request for item in actions if isinstance(item, Dispatch)]
    assert n_dispatched <= 2 * (8 + most)


def test_shed_request_backs_off_and_is_served(make_dispatcher, view, job, ended):
    dispatcher = make_dispatcher((view("s0"),))
    dispatcher.arrive(0.0, job("r", idempotent=False))
    assert finish(dispatcher, 0.1, "r", ended("shed")) == ()
    wake = dispatcher.next_wake(0.1)
    assert 0.1 < wake <= 0.12
    (again,) = dispatcher.tick(wake)
    assert isinstance(again, Dispatch)
    assert finish(dispatcher, 0.2, "r", ended()) == (Deliver("r"),)


def test_shed_until_the_deadline_is_refused_as_not_run(
    make_dispatcher, view, job, ended
):
    dispatcher = make_dispatcher((view("s0"),))
    now = 0.0
    actions = dispatcher.arrive(now, job("r", idempotent=False, timeout_s=0.5))
    while not (actions and isinstance(actions[0], Refuse)):
        if actions:
            actions = finish(dispatcher, now, "r", ended("shed", 0.0))
            continue
        now = dispatcher.next_wake(now)
        actions = dispatcher.tick(now)
    assert ANSWERS[actions[0].kind].outcome is Outcome.NOT_RUN
    assert now <= 0.5


def test_hang_leaves_time_for_another_server(dispatcher, job, ended):
    for index in range(30):
        dispatcher.arrive(0.0, job(f"warm{index}"))
        finish(dispatcher, 0.02, f"warm{index}", ended())
    (first,) = dispatcher.arrive(1.0, job("r", at=1.0))
    assert first.timeout_at == pytest.approx(2.0)
    (second,) = finish(dispatcher, 2.0, "r", ended("timed-out", 1.0))
    assert second.timeout_at == 11.0
    (once,) = dispatcher.arrive(2.0, job("once", at=2.0, idempotent=False))
    assert once.timeout_at == 12.0


@pytest.fixture
def hanging(make_dispatcher, view, job, ended):
    """A dispatcher with a server that answers and one that hangs on a request."""
    dispatcher = make_dispatcher((view("s0"), view("s1")))
    for index in range(40):
        at = index * 0.05
        dispatcher.arrive(at, job(f"w{index}", at=at))
        finish(dispatcher, at + 0.02, f"w{index}", ended())
    for index in range(40):
        (sent,) = dispatcher.arrive(2.0, job(f"h{index}", at=2.0))
        if sent.server == "s1":
            return dispatcher, f"h{index}"
        finish(dispatcher, 2.0, f"h{index}", ended())
    pytest.fail("no request went to the server that hangs")


def test_non_idempotent_request_avoids_a_silent_server(hanging, job):
    dispatcher, _ = hanging
    sent = [
        action
        for index in range(8)
        for action in dispatcher.arrive(2.5, job(f"n{index}", idempotent=False, at=2.5))
    ]
    assert sent
    assert {action.server for action in sent} == {"s0"}


def test_silent_servers_are_used_when_all_are_silent(hanging, job):
    dispatcher, _ = hanging
    dispatcher.arrive(2.5, job("n0", idempotent=False, at=2.5))
    (sent,) = dispatcher.arrive(9.0, job("n1", idempotent=False, at=9.0))
    assert isinstance(sent, Dispatch)


def test_server_that_answers_again_is_not_silent(hanging, job, ended):
    dispatcher, name = hanging
    finish(dispatcher, 2.6, name, ended(latency_s=0.6))
    sent = [
        action.server
        for index in range(8)
        for action in dispatcher.arrive(2.6, job(f"n{index}", idempotent=False, at=2.6))
    ]
    assert "s1" in sent


def test_first_attempt_without_latency_samples_leaves_time_for_another(
    dispatcher, job, ended
):
    (first,) = dispatcher.arrive(0.0, job("r", timeout_s=3.0))
    assert first.timeout_at <= 1.5
    (second,) = finish(dispatcher, 1.5, "r", ended("timed-out", 1.5))
    assert second.server != first.server
    assert second.timeout_at == 3.0


def test_non_idempotent_request_prefers_a_server_that_just_answered(
    make_dispatcher, view, job, ended
):
    dispatcher = make_dispatcher(tuple(view(f"s{index}") for index in range(6)))
    (known,) = dispatcher.arrive(0.0, job("first"))
    finish(dispatcher, 0.02, "first", ended())
    (soon_after,) = dispatcher.arrive(0.1, job("n0", idempotent=False, at=0.1))
    assert soon_after.server == known.server
    finish(dispatcher, 0.12, "n0", ended())
    later = [
        action.server
        for index in range(6)
        for action in dispatcher.arrive(5.0, job(f"l{index}", idempotent=False, at=5.0))
    ]
    assert len(set(later)) > 1
