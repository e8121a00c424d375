from random import Random

import pytest
from wagtailpaddle_core import ServerId, ServiceId
from wagtailpaddle_routing import (
    LeavingServers,
    ProbeOutcome,
    ProbeResult,
    ProbeScheduler,
    interpret_probe,
)

SERVICE = ServiceId("booking")
TARGET = (SERVICE, ServerId("s1"))


@pytest.fixture
def plan():
    plan = ProbeScheduler(Random(1))
    targets = {(SERVICE, ServerId(f"s{index}")): "/health" for index in range(20)}
    plan.set_targets(0.0, targets)
    return plan


@pytest.fixture
def marks():
    return LeavingServers()


def answered(status=200, state="", load=None):
    return interpret_probe(ProbeResult(ProbeOutcome.ANSWERED, status, state, load))


def test_every_server_is_asked_about_once_a_second(plan):
    n_asked = dict.fromkeys(range(10), 0)
    for step in range(1000):
        n_asked[step // 100] += len(plan.due(step / 100))
    assert all(15 <= n <= 25 for n in n_asked.values())
    assert plan.next_at() < 11.1


def test_new_targets_leave_the_times_of_the_others(plan):
    before = plan.next_at()
    plan.set_targets(0.0, {(SERVICE, ServerId(f"s{i}")): "/health" for i in range(20)})
    assert plan.next_at() == before
    plan.set_targets(0.0, {})
    assert plan.next_at() is None


def test_leaving_counts_with_any_status():
    assert answered(503, "draining").leaving is True
    assert answered(200, "leaving").leaving is True
    assert answered(200, "serving").leaving is False
    assert answered(500, "serving").leaving is None


def test_bad_probes_are_failures_and_a_missing_page_is_none():
    assert answered(500).failed
    assert interpret_probe(ProbeResult(ProbeOutcome.UNREADABLE, 200)).failed
    assert interpret_probe(ProbeResult(ProbeOutcome.TIMED_OUT)).failed
    assert interpret_probe(ProbeResult(ProbeOutcome.UNREACHABLE)).unreachable
    assert answered(404) == type(answered())()


def test_load_outside_its_range_is_ignored():
    assert answered(load=0.5).load == 0.5
    assert answered(load=-0.1).load is None
    assert answered(load=float("nan")).load is None


def test_own_mark_is_told_at_once_again_and_then_seldom(marks):
    assert marks.record(0.0, TARGET, leaving=True, direct=True)
    told_at = [step / 10 for step in range(600) if marks.due_notices(step / 10)]
    assert told_at == [0.0, 1.0, 3.0, 23.0, 43.0]


def test_heard_mark_is_not_passed_on_and_ends_by_itself(marks):
    marks.record(0.0, TARGET, leaving=True, direct=False)
    assert marks.due_notices(0.0) == ()
    assert marks.expire(59.0) == set()
    assert marks.is_leaving(TARGET)
    assert marks.expire(60.0) == {SERVICE}
    assert not marks.is_leaving(TARGET)


def test_server_that_is_back_is_told_of(marks):
    marks.record(0.0, TARGET, leaving=True, direct=True)
    marks.due_notices(0.0)
    assert marks.record(5.0, TARGET, leaving=False, direct=True)
    (notice,) = marks.due_notices(5.0)
    assert (notice.leaving, notice.back) == ((), ("s1",))
    assert not marks.record(6.0, TARGET, leaving=False, direct=False)
    marks.expire(100.0)
    assert not marks


def test_new_vms_are_told_at_once(marks):
    marks.record(0.0, TARGET, leaving=True, direct=True)
    for at in (0.0, 1.0, 3.0):
        assert marks.due_notices(at)
    assert not marks.due_notices(4.0)
    marks.resend_all()
    assert marks.due_notices(4.0)


def test_server_that_was_not_leaving_leaves_no_mark(marks):
    assert not marks.record(0.0, TARGET, leaving=False, direct=True)
    assert not marks
