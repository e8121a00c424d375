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
def leaving_servers():
    return LeavingServers()


def answered(status=200, state="", load=None):
    return interpret_probe(ProbeResult(ProbeOutcome.ANSWERED, status, state, load))


def test_every_server_is_probed_about_once_a_second(plan):
    n_probes = dict.fromkeys(range(10), 0)
    for step in range(1000):
        n_probes[step // 100] += len(plan.due(step / 100))
    assert all(15 <= n <= 25 for n in n_probes.values())
    assert plan.next_at() < 11.1


def test_set_targets_keeps_the_schedule_of_the_others(plan):
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


def test_bad_probes_are_failures_and_a_missing_page_is_not():
    assert answered(500).failed
    assert interpret_probe(ProbeResult(ProbeOutcome.UNREADABLE, 200)).failed
    assert interpret_probe(ProbeResult(ProbeOutcome.TIMED_OUT)).failed
    assert interpret_probe(ProbeResult(ProbeOutcome.UNREACHABLE)).unreachable
    assert answered(404) == type(answered())()


def test_load_outside_its_range_is_ignored():
    assert answered(load=0.5).load == 0.5
    assert answered(load=-0.1).load is None
    assert answered(load=float("nan")).load is None


def test_direct_report_is_announced_at_once_repeated_and_refreshed(leaving_servers):
    assert leaving_servers.record(0.0, TARGET, leaving=True, direct=True)
    sent_at = [
        step / 10 for step in range(600) if leaving_servers.due_notices(step / 10)
    ]
    assert sent_at == [0.0, 1.0, 3.0, 23.0, 43.0]


def test_report_from_another_vm_is_not_forwarded_and_expires(leaving_servers):
    leaving_servers.record(0.0, TARGET, leaving=True, direct=False)
    assert leaving_servers.due_notices(0.0) == ()
    assert leaving_servers.expire(59.0) == set()
    assert leaving_servers.is_leaving(TARGET)
    assert leaving_servers.expire(60.0) == {SERVICE}
    assert not leaving_servers.is_leaving(TARGET)


def test_server_that_is_back_is_announced(leaving_servers):
    leaving_servers.record(0.0, TARGET, leaving=True, direct=True)
    leaving_servers.due_notices(0.0)
    assert leaving_servers.record(5.0, TARGET, leaving=False, direct=True)
    (notice,) = leaving_servers.due_notices(5.0)
    assert (notice.leaving, notice.back) == ((), ("s1",))
    assert not leaving_servers.record(6.0, TARGET, leaving=False, direct=False)
    leaving_servers.expire(100.0)
    assert not leaving_servers


def test_resend_all_makes_the_notice_due_at_once(leaving_servers):
    leaving_servers.record(0.0, TARGET, leaving=True, direct=True)
    for at in (0.0, 1.0, 3.0):
        assert leaving_servers.due_notices(at)
    assert not leaving_servers.due_notices(4.0)
    leaving_servers.resend_all()
    assert leaving_servers.due_notices(4.0)


def test_server_that_was_not_leaving_adds_no_entry(leaving_servers):
    assert not leaving_servers.record(0.0, TARGET, leaving=False, direct=True)
    assert not leaving_servers
