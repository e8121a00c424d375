import pytest
from wagtailpaddle_health import HealthEventKind, ServerState, Verdict


def fail(bench, *servers):
    bench.now += 2
    bench.see_failing(*servers, n=6)


@pytest.fixture
def warm(make_bench):
    def make(n_servers=6, **pool):
        bench = make_bench(n_servers, **pool)
        bench.see_all_succeed(200)
        return bench

    return make


def test_floor_keeps_the_worst_beyond_it_at_reduced_weight(warm):
    bench = warm(floor=0.7)
    fail(bench, "s00")
    fail(bench, "s01")
    assert len(bench.out()) == 1
    kept = ({"s00", "s01"} - set(bench.out())).pop()
    assert bench.state(kept) is ServerState.SUSPECT
    assert 0 < bench.standing(kept).weight < 1
    kinds = [event.kind for event in bench.book.events()]
    assert HealthEventKind.KEPT in kinds


def test_order_of_the_evidence_does_not_change_the_ejected_set(warm):
    found = []
    for order in (("s00", "s01"), ("s01", "s00")):
        bench = warm(floor=0.8)
        bench.now += 2
        bench.see_failing(*order, n=20)
        found.append(bench.out())
    assert found[0] == found[1]


def test_leaving_and_draining_servers_count_as_not_healthy(warm):
    bench = warm(floor=0.5, leaving=("s05",), draining=("s04",))
    fail(bench, "s00", "s01")
    assert len(bench.out()) == 1


def test_leaving_servers_bring_ejected_ones_back(warm, pools):
    bench = warm()
    fail(bench, "s00", "s01")
    assert bench.out() == ["s00", "s01"]
    bench.set_pool(pools(leaving=("s04", "s05")))
    assert len(bench.out()) == 1
    bench.set_pool(pools(leaving=("s03", "s04", "s05")))
    assert bench.out() == []


def test_shrunk_pool_brings_ejected_ones_back(warm, pools):
    bench = warm(8, floor=0.5)
    fail(bench, "s00", "s01", "s02")
    assert len(bench.out()) == 3
    bench.set_pool(pools(4))
    assert len(bench.out()) <= 2


def test_last_server_is_never_ejected(warm):
    bench = warm(1, floor=0.0)
    fail(bench, "s00")
    assert bench.out() == []


def test_ejected_server_comes_back_step_by_step(warm):
    bench = warm()
    fail(bench, "s00")
    bench.wait(10)
    assert bench.standing("s00").state is ServerState.PROBATION
    assert bench.standing("s00").idempotent_only
    bench.wait(4)
    assert bench.standing("s00").verify
    bench.see("s00", Verdict.SUCCESS, 3)
    bench.wait(0.5)
    assert bench.state("s00") is ServerState.RAMPING
    weights = []
    for _ in range(4):
        weights.append(bench.standing("s00").weight)
        bench.wait(2)
    assert weights == sorted(weights)
    assert 0 < weights[0] < weights[-1] < 1
    bench.wait(4)
    assert bench.state("s00") is ServerState.HEALTHY


def test_failing_on_probation_ejects_again_and_longer(warm):
    bench = warm()
    lengths = []
    fail(bench, "s00")
    for _ in range(3):
        event = bench.book.events()[-1]
        lengths.append(round(event.until - event.at))
        bench.see_all_succeed(5, but=("s00",))
        bench.wait(lengths[-1])
        bench.see_all_succeed(60, but=("s00",))
        bench.see_failing("s00", n=4)
        assert bench.out() == ["s00"]
    assert lengths == [10, 20, 40]


def test_ejection_time_is_bounded_and_forgiven(warm):
    bench = warm()
    bench.now += 2
    for _ in range(8):
        bench.see_failing("s00", n=20)
        event = bench.book.events()[-1]
        assert event.until - event.at <= 300
        bench.wait(event.until - bench.now)
    bench.see("s00", Verdict.SUCCESS)
    bench.wait(3000, step=10)
    assert bench.state("s00") is ServerState.HEALTHY
    bench.see_all_succeed(200)
    fail(bench, "s00")
    event = bench.book.events()[-1]
    assert event.until - event.at == 10


def test_new_server_starts_slowly_and_may_be_slow(warm, pools):
    bench = warm()
    bench.set_pool(pools(7))
    assert bench.state("s06") is ServerState.RAMPING
    assert bench.standing("s06").weight < 0.2
    for _ in range(20):
        bench.now += 0.5
        bench.see("s06", Verdict.SUCCESS, latency_s=0.5)
        bench.book.tick(bench.now)
    assert bench.state("s06") is ServerState.RAMPING


def test_new_server_that_fails_is_ejected(warm, pools):
    bench = warm()
    bench.set_pool(pools(7))
    fail(bench, "s06")
    assert bench.out() == ["s06"]


def test_flapping_server_is_out_more_and_more(warm):
    bench = warm()
    out_s = [0.0, 0.0]
    for half in range(2):
        for step in range(200):
            bench.now += 0.5
            bad = step % 20 < 6
            bench.see_all_succeed(1, but=("s00",))
            if "s00" not in bench.out():
                bench.see("s00", Verdict.FAILURE if bad else Verdict.SUCCESS)
            else:
                out_s[half] += 0.5
            bench.book.tick(bench.now)
    assert out_s[1] > out_s[0] > 0


def test_enough_servers_stay_open_to_requests_that_cannot_be_repeated(warm):
    bench = warm(4, floor=0.5)
    fail(bench, "s00", "s01")
    bench.wait(10.25)
    assert bench.states().count(ServerState.PROBATION) == 2
    bench.see_all_succeed(100, but=("s00", "s01"))
    bench.now += 2
    for server in ("s02", "s03"):
        bench.see(server, Verdict.FAILURE, 3)
    standing = bench.book.standing(bench.now, bench.pool.service)
    n_open = sum(item.weight > 0 and not item.idempotent_only for item in standing)
    assert n_open >= 2
