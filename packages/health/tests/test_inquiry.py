import pytest
from wagtailpaddle_health import ServerState, Verdict
from wagtailpaddle_health.sequential_test import (
    LOCAL_TEST_S,
    MONITOR_TEST_S,
    SequentialTest,
)
from wagtailpaddle_health.window import Counts

USUAL = 0.01


@pytest.fixture
def sequential_test():
    started = SequentialTest()
    started.add(0.0, Counts(1, 1))
    return started


def test_one_failure_among_earlier_successes_opens_a_test(harness):
    harness.receive_evidence("vm-1", "s01", 5, 0)
    harness.all_succeed()
    assert harness.receive_evidence("vm-1", "s00", 4, 1)
    assert harness.state("s00") is ServerState.SUSPECT
    assert harness.health("s00").weight > 0.8
    assert harness.excluded() == []


def test_server_is_healthy_again_after_the_test_closes(harness):
    harness.receive_evidence("vm-1", "s01", 5, 0)
    harness.all_succeed()
    harness.now += 2
    harness.receive_evidence("vm-1", "s00", 0, 1)
    harness.receive_evidence("vm-2", "s00", 15, 0)
    harness.advance(0.5)
    assert harness.state("s00") is ServerState.HEALTHY


def test_test_stays_open_while_failures_continue(sequential_test):
    for second in range(20):
        sequential_test.add(second, Counts(5, 1))
        assert sequential_test.suspicion(second, USUAL, MONITOR_TEST_S) > 0


def test_test_closes_without_further_failures(sequential_test):
    assert sequential_test.suspicion(LOCAL_TEST_S - 0.1, USUAL, LOCAL_TEST_S) > 0
    assert sequential_test.suspicion(LOCAL_TEST_S, USUAL, LOCAL_TEST_S) == 0
    assert not sequential_test.is_active


def test_service_wide_failure_opens_no_test(sequential_test):
    assert sequential_test.suspicion(0.0, 0.3, MONITOR_TEST_S) == 0


def test_verification_requests_of_one_vm_are_spaced_out(harness):
    harness.all_succeed()
    harness.now += 2
    harness.observe("s00", Verdict.FAILURE)
    verified = []
    for _ in range(20):
        harness.advance(0.05, step=0.05)
        verified.append(harness.health("s00").verify)
        if verified[-1]:
            harness.observe("s00", Verdict.FAILURE)
    assert 2 <= sum(verified) <= 5
