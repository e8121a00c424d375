import pytest
from wagtailpaddle_core import ServerId, VmId, ZoneId
from wagtailpaddle_health import HealthDigest, Observation, ServerDigest, Verdict
from wagtailpaddle_health.evidence import EMPTY_BASELINE, Evidence, Observer
from wagtailpaddle_health.policies import POLICIES, PolicyInput, ReferenceEvidence
from wagtailpaddle_health.window import Counts

BAD = Counts(4, 4, 4)
GOOD = Counts(4)


@pytest.fixture
def judge():
    """Return the fleet's judgement of a server from the counts of each zone."""

    def fleet_judgement(counts_by_zone, policy="scan"):
        evidence, other = Evidence(), Evidence()
        other.add_other(100.0, Observer(VmId("vm-9"), ZoneId("c")), Counts(500))
        for zone, counts in counts_by_zone.items():
            for index in range(3):
                observer = Observer(VmId(f"{zone}-{index}"), ZoneId(zone))
                evidence.add_other(100.0, observer, counts)
        references = (ReferenceEvidence(other, EMPTY_BASELINE, 0.0),)
        return POLICIES[policy]().judge_fleet(
            PolicyInput(100, evidence, references, 0.5)
        )

    return fleet_judgement


def test_failures_seen_from_one_zone_eject_no_server(judge):
    judgement = judge({"a": BAD, "b": GOOD, "c": GOOD})
    assert judgement.score == 0
    assert judgement.suspicion > 1


def test_previous_policy_ejects_on_failures_seen_from_one_zone(judge):
    assert judge({"a": BAD, "b": GOOD, "c": GOOD}, "previous").score > 1


def test_failures_seen_from_two_zones_eject_the_server(judge):
    assert judge({"a": BAD, "b": BAD}).score > 1
    assert judge({"a": BAD, "b": BAD, "c": BAD}).score > 1


def test_usual_failure_rate_in_another_zone_is_no_corroboration(judge):
    assert judge({"a": BAD, "b": Counts(20, 1), "c": Counts(20)}).score < 1


def test_server_used_from_one_zone_needs_no_corroboration(judge):
    assert judge({"a": BAD}).score > 1


def test_unknown_zone_needs_no_corroboration(judge):
    assert judge({"": BAD}).score > 1


def test_digest_carries_the_zone_and_zones_are_bounded(harness):
    for index in range(20):
        entry = ServerDigest(ServerId("s00"), 1, 0, 0.02)
        digest = HealthDigest(
            VmId(f"vm-{index + 1}"),
            harness.pool.service,
            (entry,),
            sequence=1,
            zone=ZoneId(f"z{index}"),
        )
        harness.detector.merge(harness.now, digest)
    observation = Observation(
        harness.pool.service, ServerId("s00"), Verdict.FAILURE, 0.02
    )
    harness.detector.observe(harness.now, observation)
    assert all(
        item.zone == harness.detector.zone
        for item in harness.detector.digests(harness.now)
    )
    assert harness.detector.n_ignored == {}
