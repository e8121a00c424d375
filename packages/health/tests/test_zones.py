import pytest
from wagtailpaddle_core import ServerId, VmId, ZoneId
from wagtailpaddle_health import HealthDigest, Observation, ServerDigest, Verdict
from wagtailpaddle_health.evidence import NO_MARK, Evidence, Observer
from wagtailpaddle_health.policies import POLICIES, Case, Other
from wagtailpaddle_health.window import Counts

BAD = Counts(4, 4, 4)
GOOD = Counts(4)


@pytest.fixture
def judge():
    """Return the fleet's score of a server by what each zone saw of it."""

    def score(seen, policy="scan"):
        evidence, other = Evidence(), Evidence()
        other.add_other(100.0, Observer(VmId("vm-9"), ZoneId("c")), Counts(500))
        for zone, counts in seen.items():
            for index in range(3):
                observer = Observer(VmId(f"{zone}-{index}"), ZoneId(zone))
                evidence.add_other(100.0, observer, counts)
        others = (Other(other, NO_MARK, 0.0),)
        return POLICIES[policy]().fleet(Case(100, evidence, others, 0.5))

    return score


def test_zone_cut_off_from_a_server_ejects_it_for_nobody_else(judge):
    found = judge({"a": BAD, "b": GOOD, "c": GOOD})
    assert found.score == 0
    assert found.suspicion > 1


def test_previous_policy_ejected_it(judge):
    assert judge({"a": BAD, "b": GOOD, "c": GOOD}, "previous").score > 1


def test_failures_in_two_zones_are_the_servers(judge):
    assert judge({"a": BAD, "b": BAD}).score > 1
    assert judge({"a": BAD, "b": BAD, "c": BAD}).score > 1


def test_usual_error_of_another_zone_confirms_nothing(judge):
    assert judge({"a": BAD, "b": Counts(20, 1), "c": Counts(20)}).score < 1


def test_server_used_from_one_zone_needs_no_second(judge):
    assert judge({"a": BAD}).score > 1


def test_unknown_zone_asks_for_no_second(judge):
    assert judge({"": BAD}).score > 1


def test_digest_names_the_zone_and_bounds_hold(bench):
    for index in range(20):
        line = ServerDigest(ServerId("s00"), 1, 0, 0.02)
        digest = HealthDigest(
            VmId(f"vm-{index + 1}"),
            bench.pool.service,
            (line,),
            sequence=1,
            zone=ZoneId(f"z{index}"),
        )
        bench.book.merge(bench.now, digest)
    seen = Observation(bench.pool.service, ServerId("s00"), Verdict.FAILURE, 0.02)
    bench.book.observe(bench.now, seen)
    assert all(item.zone == bench.book.zone for item in bench.book.digests(bench.now))
    assert bench.book.n_ignored == {}
