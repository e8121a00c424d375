"""The soak counts a request as lost only if planned work cost its answer."""

from dataclasses import replace

import pytest
from wagtailpaddle_platform_standins.faultsoak.callers import CallerRequest
from wagtailpaddle_platform_standins.faultsoak.lost import is_lost
from wagtailpaddle_platform_standins.faultsoak.timeline import EventKind, Timeline

UNANSWERED = CallerRequest("r1", "/book/r1", "key", 0, 10.0, 10.1, was_sent=True)


@pytest.fixture
def timeline():
    """A timeline with one planned stop, of daemon 0."""
    timeline = Timeline()
    timeline.add(EventKind.STOP, "daemon-0", 9.0, 12.0)
    return timeline


def test_request_that_ran_and_has_no_answer_is_lost(timeline):
    assert is_lost(timeline, UNANSWERED, {"s0"})


def test_request_that_did_not_run_is_lost_only_after_the_slack(timeline):
    assert not is_lost(timeline, UNANSWERED, set())
    assert is_lost(timeline, replace(UNANSWERED, ended_at=10.5), set())


@pytest.mark.parametrize(
    "sent",
    [
        replace(UNANSWERED, status=502),
        replace(UNANSWERED, was_sent=False),
        replace(UNANSWERED, ended_at=13.5),
        replace(UNANSWERED, daemon=1),
    ],
)
def test_answered_unsent_late_and_undisturbed_requests_are_not_lost(timeline, sent):
    assert not is_lost(timeline, sent, {"s0"})


@pytest.mark.parametrize(
    ("kind", "target"),
    [
        (EventKind.KILL, "daemon-0"),
        (EventKind.PAUSE, "daemon-0"),
        (EventKind.CUT, "store-0"),
        (EventKind.CUT, "s0"),
        (EventKind.BREAK, "s0"),
    ],
)
def test_disruption_excuses_a_request_until_the_window_is_over(timeline, kind, target):
    timeline.begin(kind, target, 6.0)
    timeline.end(kind, target, 7.5)
    assert not is_lost(timeline, UNANSWERED, {"s0"})
    later = replace(UNANSWERED, sent_at=10.6, ended_at=10.7)
    assert is_lost(timeline, later, {"s0"})
