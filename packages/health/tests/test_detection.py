import pytest
from wagtailpaddle_core import VmId
from wagtailpaddle_health import Opinion, ServerState, Verdict

OTHERS = ("vm-1", "vm-2", "vm-3")


def test_failing_server_is_avoided_on_own_evidence(harness):
    harness.all_succeed(100)
    harness.now += 2
    harness.fail("s00", n=3)
    assert harness.excluded() == []
    harness.fail("s00", n=2)
    assert harness.excluded() == ["s00"]
    assert harness.state("s00") is ServerState.AVOIDED


def test_three_unreachable_attempts_suffice(harness):
    harness.all_succeed(400)
    harness.now += 2
    harness.fail("s00", verdict=Verdict.UNREACHABLE, n=3)
    assert harness.excluded() == ["s00"]


def test_slow_server_is_avoided(harness):
    harness.all_succeed()
    harness.now += 2
    harness.fail("s00", verdict=Verdict.SUCCESS, n=6, latency_s=0.4)
    assert harness.excluded() == ["s00"]
    assert harness.health("s00").reason == "slow"


def test_hanging_attempt_counts_before_its_timeout(harness):
    harness.all_succeed()
    limit_s = harness.detector.overdue_after(harness.now, harness.pool.service)
    assert 0.02 < limit_s < 0.2
    harness.now += 2
    harness.fail("s00", verdict=Verdict.OVERDUE, n=6, latency_s=limit_s)
    assert harness.excluded() == ["s00"]


def test_end_of_an_overdue_attempt_counts_once(harness):
    harness.all_succeed()
    harness.observe("s00", Verdict.OVERDUE)
    harness.observe("s00", Verdict.FAILURE, latency_s=10.0, overdue=True)
    (digest,) = harness.detector.digests(harness.now)
    entry = next(entry for entry in digest.servers if entry.server == "s00")
    assert (entry.n_success, entry.n_failure, entry.n_slow) == (30, 1, 1)


@pytest.mark.parametrize("verdict", [Verdict.FAILURE, Verdict.UNREACHABLE])
def test_service_wide_failure_ejects_no_server(harness, verdict):
    harness.all_succeed()
    for _ in range(40):
        harness.now += 0.25
        for server in harness.pool.servers:
            harness.observe(server.id, verdict)
        harness.detector.tick(harness.now)
        assert harness.excluded() == []


def test_service_wide_slowness_ejects_no_server(harness):
    harness.all_succeed()
    for _ in range(40):
        harness.now += 0.25
        for server in harness.pool.servers:
            harness.observe(server.id, Verdict.SUCCESS, latency_s=0.5)
        assert harness.excluded() == []


def test_failed_zone_is_not_taken_for_a_service_wide_failure(make_harness):
    harness = make_harness(12)
    harness.all_succeed()
    failed = [server.id for server in harness.pool.servers[:4]]
    for _ in range(12):
        harness.now += 0.5
        for server in harness.pool.servers:
            bad = server.id in failed
            harness.observe(server.id, Verdict.FAILURE if bad else Verdict.SUCCESS)
    assert harness.excluded() == failed


def test_neutral_outcomes_are_no_evidence(harness):
    harness.all_succeed()
    harness.observe("s00", Verdict.NEUTRAL, 50)
    assert set(harness.states()) == {ServerState.HEALTHY}


def test_failures_seen_by_one_vm_alone_eject_no_server(harness):
    harness.all_succeed(100)
    harness.now += 2
    for vm in OTHERS[1:]:
        harness.receive_evidence(vm, "s00", 20, 0)
    harness.receive_evidence("vm-1", "s00", 0, 50, n_unreachable=50)
    for monitor in OTHERS[1:]:
        harness.receive_digest(monitor, opinions=[Opinion("s00", 5.0, 0.0)])
    assert harness.excluded() == []


def test_failures_seen_by_several_vms_eject_the_server(harness):
    harness.all_succeed()
    harness.now += 2
    for vm in OTHERS:
        harness.receive_evidence(vm, "s00", 0, 3)
        harness.all_succeed(5, excluding=("s00",))
    assert harness.excluded() == []
    harness.receive_digest("vm-2", opinions=[Opinion("s00", 1.5, 1.2, "failures")])
    assert harness.state("s00") is ServerState.EJECTED


def test_vm_without_evidence_ejects_on_two_opinions(harness):
    harness.receive_digest("vm-1", opinions=[Opinion("s00", 3.0, 3.0)])
    assert harness.excluded() == []
    harness.receive_digest("vm-2", opinions=[Opinion("s00", 1.0, 1.0)])
    assert harness.excluded() == ["s00"]


def test_expired_opinions_do_not_count(harness):
    harness.receive_digest("vm-1", opinions=[Opinion("s00", 3.0, 3.0)])
    harness.advance(4)
    harness.receive_digest("vm-2", opinions=[Opinion("s00", 3.0, 3.0)])
    assert harness.excluded() == []


def test_suspect_is_verified_with_idempotent_requests(harness):
    harness.all_succeed()
    harness.now += 2
    harness.observe("s00", Verdict.FAILURE)
    assert harness.state("s00") is ServerState.SUSPECT
    assert not harness.health("s00").verify
    harness.now += 0.5
    assert harness.health("s00").verify
    harness.observe("s00", Verdict.SUCCESS, 10)
    harness.advance(0.5)
    assert harness.state("s00") is ServerState.HEALTHY


def test_monitor_sends_its_opinions_to_its_subscribers(harness):
    harness.all_succeed()
    harness.now += 2
    harness.receive_evidence("vm-1", "s00", 0, 2)
    digests = harness.detector.digests(harness.now)
    (sent,) = [digest for digest in digests if digest.to]
    assert sent.to == (VmId("vm-1"),)
    assert sent.opinions[0].suspicion > 0.25
    assert sent.opinions[0].score == 0


def test_sensitivity_sets_how_much_evidence_is_needed(make_harness):
    needed = []
    for sensitivity in (0.1, 1.0):
        harness = make_harness(sensitivity=sensitivity)
        harness.all_succeed(100)
        harness.now += 2
        n_failures = 0
        while not harness.excluded() and n_failures < 20:
            harness.fail("s00", n=1)
            n_failures += 1
        needed.append(n_failures)
    assert needed[0] > needed[1]


def test_equal_opinions_give_equal_sets_on_every_vm(make_harness):
    opinions = [Opinion(f"s{index:02d}", 2.0, 1.5, "", 4, 4) for index in range(5)]
    excluded = set()
    for order in (opinions, opinions[::-1], opinions[2:] + opinions[:2]):
        harness = make_harness(vm=f"own-{len(excluded)}")
        for opinion in order:
            for monitor in ("vm-1", "vm-2"):
                harness.receive_digest(monitor, opinions=[opinion])
        excluded.add(tuple(harness.excluded()))
    assert len(excluded) == 1
    assert len(excluded.pop()) == 3


def test_suspect_with_most_requests_of_a_service_wide_failure_is_not_ejected(harness):
    harness.all_succeed(100)
    harness.now += 2
    harness.observe("s00", Verdict.FAILURE, 20)
    assert harness.excluded() == []
    for server in harness.pool.servers[1:]:
        harness.observe(server.id, Verdict.FAILURE, 2)
    harness.observe("s00", Verdict.FAILURE, 20)
    assert harness.excluded() == []


def test_vms_with_many_requests_start_to_verify_a_suspect_one_by_one(make_harness):
    n_testing = []
    harnesses = [make_harness(vm=f"vm-{index}") for index in range(20)]
    for harness in harnesses:
        harness.all_succeed(200)
        harness.now += 2
        harness.all_succeed(200, excluding=("s00",))
        for monitor in ("w-1", "w-2"):
            harness.receive_digest(monitor, opinions=[Opinion("s00", 0.5, 0.0)])
    for _ in range(5):
        n_testing.append(sum(harness.health("s00").verify for harness in harnesses))
        for harness in harnesses:
            harness.now += 0.1
    assert n_testing[0] < 5 < n_testing[2] < 18 < n_testing[4]
