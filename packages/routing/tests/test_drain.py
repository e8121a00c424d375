"""Tests of the queue of a VM that is shutting down."""

import pytest
from wagtailpaddle_core import ANSWERS, ErrorKind, Outcome, RequestId
from wagtailpaddle_routing import CancelAttempt, Dispatch, Refuse

SERVICE_S = 0.5
ENDS_AT = 4.0


@pytest.fixture
def queue(make_dispatcher, view, job, ended):
    """A dispatcher with one slot, and 20 requests of 0.5 s that arrive together."""
    dispatcher = make_dispatcher((view("s0", slots=1),), limiter="fixed")
    for index in range(10):
        dispatcher.arrive(0.0, job(f"warm{index}"))
        dispatcher.finish(0.0, RequestId(f"warm{index}"), ended(latency_s=SERVICE_S))
    dispatcher.arrive(0.0, job("r0"))
    for index in range(1, 20):
        dispatcher.arrive(0.0, job(f"r{index}", f"account{index % 3}", timeout_s=30.0))
    return dispatcher


def run_until_the_end(dispatcher, actions, ended):
    """Answer each dispatch after 0.5 s; return the refusals and when each ran."""
    refusals, started = list(actions), {"r0": 0.0}
    now, running = 0.0, "r0"
    while now < ENDS_AT and running:
        now += SERVICE_S
        actions = dispatcher.finish(now, RequestId(running), ended(latency_s=SERVICE_S))
        actions += dispatcher.tick(now)
        refusals += [item for item in actions if isinstance(item, Refuse)]
        dispatches = [item for item in actions if isinstance(item, Dispatch)]
        running = dispatches[0].request if dispatches else None
        started |= {item.request: now for item in dispatches}
    return refusals, started


def test_requests_whose_turn_is_after_the_end_are_refused_at_once(queue, ended):
    """Guards against queued requests that a stop cuts without an answer."""
    refused = queue.drain_until(0.0, ENDS_AT)
    assert refused
    assert {item.kind for item in refused} == {ErrorKind.DRAINING}
    assert all(ANSWERS[item.kind].outcome is Outcome.NOT_RUN for item in refused)
    assert all(item.retry_after_s > 0.0 for item in refused)
    assert len({item.retry_after_s for item in refused}) > 1
    refusals, started = run_until_the_end(queue, refused, ended)
    assert queue.n_pending == 0
    assert len(refusals) + len(started) == 20
    assert max(started.values()) + SERVICE_S <= ENDS_AT
    assert len(started) >= 5


def test_queue_that_stalls_is_refused_before_the_end(queue):
    """The running request takes longer than the estimate said."""
    queue.drain_until(0.0, ENDS_AT)
    assert queue.n_pending > 1
    now = 0.0
    while now < ENDS_AT and queue.n_pending > 1:
        now = queue.next_wake(now)
        queue.tick(now)
    assert now < ENDS_AT
    assert queue.n_pending == 1


def test_request_that_may_have_run_is_not_called_not_run(
    make_dispatcher, view, job, ended
):
    """It waits for a second server, with both of them busy."""
    views = (view("s0", slots=1), view("s1", slots=1))
    dispatcher = make_dispatcher(views, limiter="fixed")
    for index in range(8):
        dispatcher.arrive(0.0, job(f"r{index}"))
    dispatcher.finish(0.1, RequestId("r0"), ended("failed", 0.1))
    refused = dispatcher.drain_until(0.1, 0.2)
    by_request = {item.request: item for item in refused}
    assert by_request["r0"].kind is ErrorKind.SERVER_FAILED
    assert by_request["r0"].retry_after_s is None
    assert by_request["r7"].kind is ErrorKind.DRAINING


def test_queue_is_kept_without_an_end(queue):
    assert queue.tick(1.0) == ()
    assert queue.n_pending == 20


@pytest.mark.parametrize("idempotent", [True, False])
def test_request_at_a_server_is_answered_when_the_vm_ends(
    make_dispatcher, view, job, idempotent
):
    """Guards against work that is passed on and cut without an answer."""
    dispatcher = make_dispatcher((view("s0"),))
    dispatcher.arrive(0.0, job("r0", idempotent=idempotent, timeout_s=30.0))
    cancelled, refused = dispatcher.abandon(ENDS_AT, RequestId("r0"))
    assert cancelled == CancelAttempt(RequestId("r0"), "s0", 1)
    assert ANSWERS[refused.kind].outcome is Outcome.UNKNOWN
    assert refused.retry_after_s is None
    assert dispatcher.n_pending == 0
    # The server is not blamed: it serves the next request.
    (dispatch,) = dispatcher.arrive(ENDS_AT, job("r1", at=ENDS_AT))
    assert dispatch.server == "s0"


def test_request_that_waits_for_a_server_is_not_abandoned(queue):
    """Guards against an unknown outcome where "not run" is certain."""
    assert queue.abandon(0.0, RequestId("r1")) == ()
