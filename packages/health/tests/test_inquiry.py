import pytest
from wagtailpaddle_health import ServerState, Verdict
from wagtailpaddle_health.inquiry import OTHER_LIFE_S, WATCHER_LIFE_S, Inquiry
from wagtailpaddle_health.window import Counts

USUAL = 0.01


@pytest.fixture
def inquiry():
    begun = Inquiry()
    begun.add(0.0, Counts(1, 1))
    return begun


def test_one_failure_among_earlier_successes_opens_a_test(bench):
    bench.tell("vm-1", "s01", 5, 0)
    bench.see_all_succeed()
    assert bench.tell("vm-1", "s00", 4, 1)
    assert bench.state("s00") is ServerState.SUSPECT
    assert bench.standing("s00").weight > 0.8
    assert bench.out() == []


def test_ended_test_lets_the_server_be(bench):
    bench.tell("vm-1", "s01", 5, 0)
    bench.see_all_succeed()
    bench.now += 2
    bench.tell("vm-1", "s00", 0, 1)
    bench.tell("vm-2", "s00", 15, 0)
    bench.wait(0.5)
    assert bench.state("s00") is ServerState.HEALTHY


def test_test_goes_on_while_failures_come(inquiry):
    for second in range(20):
        inquiry.add(second, Counts(5, 1))
        assert inquiry.suspicion(second, USUAL, WATCHER_LIFE_S) > 0


def test_test_ends_when_nothing_comes(inquiry):
    assert inquiry.suspicion(OTHER_LIFE_S - 0.1, USUAL, OTHER_LIFE_S) > 0
    assert inquiry.suspicion(OTHER_LIFE_S, USUAL, OTHER_LIFE_S) == 0
    assert not inquiry.is_active


def test_incident_of_the_service_starts_no_test(inquiry):
    assert inquiry.suspicion(0.0, 0.3, WATCHER_LIFE_S) == 0


def test_tests_of_one_vm_keep_their_distance(bench):
    bench.see_all_succeed()
    bench.now += 2
    bench.see("s00", Verdict.FAILURE)
    verified = []
    for _ in range(20):
        bench.wait(0.05, step=0.05)
        verified.append(bench.standing("s00").verify)
        if verified[-1]:
            bench.see("s00", Verdict.FAILURE)
    assert 2 <= sum(verified) <= 5
