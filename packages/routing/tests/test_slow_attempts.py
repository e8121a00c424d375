"""Tests of attempts that are still unanswered at their time-out."""

from dataclasses import replace

import pytest
from wagtailpaddle_core import RequestId

N_SLOW = 3


@pytest.fixture
def start_slow(make_dispatcher, view, job, ended):
    """Start requests at the same time on warm servers; none is answered yet."""

    def start(n_requests=N_SLOW, **options):
        views = (view("s0"), view("s1"))
        dispatcher = make_dispatcher(views, retries_per_request=0.0, **options)
        for index in range(30):
            dispatcher.arrive(0.0, job(f"warm{index}"))
            dispatcher.finish(0.02, RequestId(f"warm{index}"), ended())
        sent = [
            dispatcher.arrive(1.0, job(f"slow{index}", at=1.0, timeout_s=3.0))[0]
            for index in range(n_requests)
        ]
        return dispatcher, sent

    return start


def time_out(dispatcher, now, action, ended):
    """Do what a front end does at the time-out; return whether it gave up."""
    if dispatcher.extend_timeout(now, action.request) > now:
        return False
    dispatcher.finish(now, action.request, ended("timed-out", 1.0))
    return True


def test_slow_requests_are_not_given_up_without_a_token_for_their_retry(
    start_slow, ended
):
    """Guards against answers 502 of our own while servers work on the requests.

    The time-out was set while there was a token, which another request took.
    """
    dispatcher, sent = start_slow(max_retries=1, retries_per_s=0.0)
    assert all(action.timeout_at == pytest.approx(2.0) for action in sent)
    given_up = [time_out(dispatcher, 2.0, action, ended) for action in sent]
    assert given_up == [True, False, False]
    (delivered,) = dispatcher.finish(3.2, sent[1].request, ended(latency_s=2.2))
    assert delivered.request == sent[1].request


def test_slow_request_is_not_given_up_without_another_server(start_slow, job, ended):
    dispatcher, sent = start_slow(n_requests=1)
    (other,) = {"s0", "s1"} - {sent[0].server}
    now = 1.5
    for index in range(40):
        for action in dispatcher.arrive(now, job(f"hang{index}", at=now)):
            if action.server != other:
                dispatcher.finish(now, action.request, ended())
    assert dispatcher.extend_timeout(2.0, sent[0].request) > 2.0


def test_extended_attempt_is_given_up_when_a_token_has_come(start_slow, job, ended):
    """A server that hangs is left as soon as the retry can be paid for."""
    dispatcher, _ = start_slow(n_requests=0, max_retries=1, retries_per_s=0.5)
    hanging = [
        dispatcher.arrive(1.0, job(f"h{index}", at=1.0, timeout_s=9.0))[0]
        for index in range(2)
    ]
    assert time_out(dispatcher, 2.0, hanging[0], ended)
    timeout_at = dispatcher.extend_timeout(2.0, hanging[1].request)
    assert 2.0 < timeout_at < hanging[1].deadline_at
    assert dispatcher.extend_timeout(timeout_at, hanging[1].request) > timeout_at
    assert dispatcher.extend_timeout(4.5, hanging[1].request) == 4.5


def test_last_permitted_attempt_goes_on_until_the_deadline(start_slow, job):
    dispatcher, _ = start_slow(n_requests=0)
    (sent,) = dispatcher.arrive(1.0, replace(job("r", at=1.0), max_attempts=1))
    assert sent.timeout_at == sent.deadline_at
    assert dispatcher.extend_timeout(5.0, sent.request) > 5.0


def test_attempt_is_given_up_at_the_deadline(start_slow):
    dispatcher, sent = start_slow(n_requests=1)
    assert dispatcher.extend_timeout(4.0, sent[0].request) == 4.0
