import pytest
from wagtailpaddle_core import VmId
from wagtailpaddle_health import Opinion, ServerState, Verdict

OTHERS = ("vm-1", "vm-2", "vm-3")


def test_failing_server_is_avoided_on_own_evidence(bench):
    bench.see_all_succeed(100)
    bench.now += 2
    bench.see_failing("s00", n=3)
    assert bench.out() == []
    bench.see_failing("s00", n=2)
    assert bench.out() == ["s00"]
    assert bench.state("s00") is ServerState.AVOIDED


def test_three_unreachable_attempts_suffice(bench):
    bench.see_all_succeed(400)
    bench.now += 2
    bench.see_failing("s00", verdict=Verdict.UNREACHABLE, n=3)
    assert bench.out() == ["s00"]


def test_slow_server_is_avoided(bench):
    bench.see_all_succeed()
    bench.now += 2
    bench.see_failing("s00", verdict=Verdict.SUCCESS, n=6, latency_s=0.4)
    assert bench.out() == ["s00"]
    assert bench.standing("s00").reason == "slow"


def test_hang_counts_before_the_timeout(bench):
    bench.see_all_succeed()
    limit_s = bench.book.overdue_after(bench.now, bench.pool.service)
    assert 0.02 < limit_s < 0.2
    bench.now += 2
    bench.see_failing("s00", verdict=Verdict.OVERDUE, n=6, latency_s=limit_s)
    assert bench.out() == ["s00"]


def test_end_of_an_overdue_attempt_counts_once(bench):
    bench.see_all_succeed()
    bench.see("s00", Verdict.OVERDUE)
    bench.see("s00", Verdict.FAILURE, latency_s=10.0, overdue=True)
    (digest,) = bench.book.digests(bench.now)
    line = next(line for line in digest.servers if line.server == "s00")
    assert (line.n_success, line.n_failure, line.n_slow) == (30, 1, 1)


@pytest.mark.parametrize("verdict", [Verdict.FAILURE, Verdict.UNREACHABLE])
def test_incident_of_the_service_ejects_nobody(bench, verdict):
    bench.see_all_succeed()
    for _ in range(40):
        bench.now += 0.25
        for server in bench.pool.servers:
            bench.see(server.id, verdict)
        bench.book.tick(bench.now)
        assert bench.out() == []


def test_slowness_of_the_service_ejects_nobody(bench):
    bench.see_all_succeed()
    for _ in range(40):
        bench.now += 0.25
        for server in bench.pool.servers:
            bench.see(server.id, Verdict.SUCCESS, latency_s=0.5)
        assert bench.out() == []


def test_failed_zone_is_told_from_an_incident(make_bench):
    bench = make_bench(12)
    bench.see_all_succeed()
    failed = [server.id for server in bench.pool.servers[:4]]
    for _ in range(12):
        bench.now += 0.5
        for server in bench.pool.servers:
            bad = server.id in failed
            bench.see(server.id, Verdict.FAILURE if bad else Verdict.SUCCESS)
    assert bench.out() == failed


def test_neutral_outcomes_are_no_evidence(bench):
    bench.see_all_succeed()
    bench.see("s00", Verdict.NEUTRAL, 50)
    assert set(bench.states()) == {ServerState.HEALTHY}


def test_failures_of_one_vm_are_a_path_problem(bench):
    bench.see_all_succeed(100)
    bench.now += 2
    for vm in OTHERS[1:]:
        bench.tell(vm, "s00", 20, 0)
    bench.tell("vm-1", "s00", 0, 50, n_unreachable=50)
    for watcher in OTHERS[1:]:
        bench.tell_lines(watcher, opinions=[Opinion("s00", 5.0, 0.0)])
    assert bench.out() == []


def test_failures_of_several_vms_are_the_servers(bench):
    bench.see_all_succeed()
    bench.now += 2
    for vm in OTHERS:
        bench.tell(vm, "s00", 0, 3)
        bench.see_all_succeed(5, but=("s00",))
    assert bench.out() == []
    bench.tell_lines("vm-2", opinions=[Opinion("s00", 1.5, 1.2, "failures")])
    assert bench.state("s00") is ServerState.EJECTED


def test_vm_without_evidence_follows_two_watchers(bench):
    bench.tell_lines("vm-1", opinions=[Opinion("s00", 3.0, 3.0)])
    assert bench.out() == []
    bench.tell_lines("vm-2", opinions=[Opinion("s00", 1.0, 1.0)])
    assert bench.out() == ["s00"]


def test_old_opinions_do_not_count(bench):
    bench.tell_lines("vm-1", opinions=[Opinion("s00", 3.0, 3.0)])
    bench.wait(4)
    bench.tell_lines("vm-2", opinions=[Opinion("s00", 3.0, 3.0)])
    assert bench.out() == []


def test_suspect_is_tested_with_repeatable_requests(bench):
    bench.see_all_succeed()
    bench.now += 2
    bench.see("s00", Verdict.FAILURE)
    assert bench.state("s00") is ServerState.SUSPECT
    assert not bench.standing("s00").verify
    bench.now += 0.5
    assert bench.standing("s00").verify
    bench.see("s00", Verdict.SUCCESS, 6)
    bench.wait(0.5)
    assert bench.state("s00") is ServerState.HEALTHY


def test_watcher_tells_its_audience_what_it_suspects(bench):
    bench.see_all_succeed()
    bench.now += 2
    bench.tell("vm-1", "s00", 0, 2)
    digests = bench.book.digests(bench.now)
    (told,) = [digest for digest in digests if digest.to]
    assert told.to == (VmId("vm-1"),)
    assert told.opinions[0].suspicion > 0.25
    assert told.opinions[0].score == 0


def test_sensitivity_sets_how_much_evidence_is_needed(make_bench):
    needed = []
    for sensitivity in (0.1, 1.0):
        bench = make_bench(sensitivity=sensitivity)
        bench.see_all_succeed(100)
        bench.now += 2
        n_failures = 0
        while not bench.out() and n_failures < 20:
            bench.see_failing("s00", n=1)
            n_failures += 1
        needed.append(n_failures)
    assert needed[0] > needed[1]


def test_equal_opinions_give_equal_sets_on_every_vm(make_bench):
    opinions = [Opinion(f"s{index:02d}", 2.0, 1.5, "", 4, 4) for index in range(5)]
    found = set()
    for order in (opinions, opinions[::-1], opinions[2:] + opinions[:2]):
        bench = make_bench(vm=f"own-{len(found)}")
        for opinion in order:
            for watcher in ("vm-1", "vm-2"):
                bench.tell_lines(watcher, opinions=[opinion])
        found.add(tuple(bench.out()))
    assert len(found) == 1
    assert len(found.pop()) == 3


def test_suspect_that_gets_most_requests_of_an_incident_stays(bench):
    bench.see_all_succeed(100)
    bench.now += 2
    bench.see("s00", Verdict.FAILURE, 20)
    assert bench.out() == []
    for server in bench.pool.servers[1:]:
        bench.see(server.id, Verdict.FAILURE, 2)
    bench.see("s00", Verdict.FAILURE, 20)
    assert bench.out() == []
