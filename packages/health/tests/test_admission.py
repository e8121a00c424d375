import pytest
from wagtailpaddle_health import HealthEventKind, ServerState, Verdict


def fail(harness, *servers):
    harness.now += 2
    harness.fail(*servers, n=6)


@pytest.fixture
def warm(make_harness):
    def make(n_servers=6, **pool):
        harness = make_harness(n_servers, **pool)
        harness.all_succeed(200)
        return harness

    return make


def test_floor_keeps_a_failing_server_in_service_at_reduced_weight(warm):
    harness = warm(floor=0.7)
    fail(harness, "s00")
    fail(harness, "s01")
    assert len(harness.excluded()) == 1
    in_service = ({"s00", "s01"} - set(harness.excluded())).pop()
    assert harness.state(in_service) is ServerState.SUSPECT
    assert 0 < harness.health(in_service).weight < 1
    kinds = [event.kind for event in harness.detector.events()]
    assert HealthEventKind.KEPT in kinds


def test_order_of_the_evidence_does_not_change_the_ejected_set(warm):
    excluded = []
    for order in (("s00", "s01"), ("s01", "s00")):
        harness = warm(floor=0.8)
        harness.now += 2
        harness.fail(*order, n=20)
        excluded.append(harness.excluded())
    assert excluded[0] == excluded[1]


def test_leaving_and_draining_servers_count_as_not_healthy(warm):
    harness = warm(floor=0.5, leaving=("s05",), draining=("s04",))
    fail(harness, "s00", "s01")
    assert len(harness.excluded()) == 1


def test_leaving_servers_return_excluded_ones_to_service(warm, pools):
    harness = warm()
    fail(harness, "s00", "s01")
    assert harness.excluded() == ["s00", "s01"]
    harness.set_pool(pools(leaving=("s04", "s05")))
    assert len(harness.excluded()) == 1
    harness.set_pool(pools(leaving=("s03", "s04", "s05")))
    assert harness.excluded() == []


def test_shrunk_pool_returns_excluded_servers_to_service(warm, pools):
    harness = warm(8, floor=0.5)
    fail(harness, "s00", "s01", "s02")
    assert len(harness.excluded()) == 3
    harness.set_pool(pools(4))
    assert len(harness.excluded()) <= 2


def test_only_server_is_never_excluded(warm):
    harness = warm(1, floor=0.0)
    fail(harness, "s00")
    assert harness.excluded() == []


def test_ejected_server_is_readmitted_by_probation_and_ramp(warm):
    harness = warm()
    fail(harness, "s00")
    harness.advance(10)
    assert harness.health("s00").state is ServerState.PROBATION
    assert harness.health("s00").idempotent_only
    harness.advance(4)
    assert harness.health("s00").verify
    harness.observe("s00", Verdict.SUCCESS, 3)
    harness.advance(0.5)
    assert harness.state("s00") is ServerState.RAMPING
    weights = []
    for _ in range(4):
        weights.append(harness.health("s00").weight)
        harness.advance(2)
    assert weights == sorted(weights)
    assert 0 < weights[0] < weights[-1] < 1
    harness.advance(4)
    assert harness.state("s00") is ServerState.HEALTHY


def test_failing_on_probation_doubles_the_ejection_time(warm):
    harness = warm()
    lengths = []
    fail(harness, "s00")
    for _ in range(3):
        event = harness.detector.events()[-1]
        lengths.append(round(event.until - event.at))
        harness.all_succeed(5, excluding=("s00",))
        harness.advance(lengths[-1])
        harness.all_succeed(60, excluding=("s00",))
        harness.fail("s00", n=4)
        assert harness.excluded() == ["s00"]
    assert lengths == [10, 20, 40]


def test_ejection_time_is_bounded_and_decays(warm):
    harness = warm()
    harness.now += 2
    for _ in range(8):
        harness.fail("s00", n=20)
        event = harness.detector.events()[-1]
        assert event.until - event.at <= 300
        harness.advance(event.until - harness.now)
    harness.observe("s00", Verdict.SUCCESS)
    harness.advance(3000, step=10)
    assert harness.state("s00") is ServerState.HEALTHY
    harness.all_succeed(200)
    fail(harness, "s00")
    event = harness.detector.events()[-1]
    assert event.until - event.at == 10


def test_new_server_ramps_up_and_is_not_judged_by_latency(warm, pools):
    harness = warm()
    harness.set_pool(pools(7))
    assert harness.state("s06") is ServerState.RAMPING
    assert harness.health("s06").weight < 0.2
    for _ in range(20):
        harness.now += 0.5
        harness.observe("s06", Verdict.SUCCESS, latency_s=0.5)
        harness.detector.tick(harness.now)
    assert harness.state("s06") is ServerState.RAMPING


def test_new_server_that_fails_is_ejected(warm, pools):
    harness = warm()
    harness.set_pool(pools(7))
    fail(harness, "s06")
    assert harness.excluded() == ["s06"]


def test_flapping_server_is_excluded_for_longer_and_longer(warm):
    harness = warm()
    excluded_s = [0.0, 0.0]
    for half in range(2):
        for step in range(200):
            harness.now += 0.5
            bad = step % 20 < 6
            harness.all_succeed(1, excluding=("s00",))
            if "s00" not in harness.excluded():
                harness.observe("s00", Verdict.FAILURE if bad else Verdict.SUCCESS)
            else:
                excluded_s[half] += 0.5
            harness.detector.tick(harness.now)
    assert excluded_s[1] > excluded_s[0] > 0


def test_enough_servers_accept_non_idempotent_requests(warm):
    harness = warm(4, floor=0.5)
    fail(harness, "s00", "s01")
    harness.advance(10.25)
    assert harness.states().count(ServerState.PROBATION) == 2
    harness.all_succeed(100, excluding=("s00", "s01"))
    harness.now += 2
    for server in ("s02", "s03"):
        harness.observe(server, Verdict.FAILURE, 3)
    health = harness.detector.server_health(harness.now, harness.pool.service)
    n_unrestricted = sum(
        item.weight > 0 and not item.idempotent_only for item in health
    )
    assert n_unrestricted >= 2
