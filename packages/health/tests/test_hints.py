import pytest
from wagtailpaddle_core import ServerId, ServiceId, VmId
from wagtailpaddle_health import HealthDigest, ServerDigest, ServerState, Verdict


@pytest.fixture
def report_probe(harness):
    def report(verdict=Verdict.UNREACHABLE, server="s00"):
        return harness.detector.report_probe(
            harness.now, harness.pool.service, server, verdict
        )

    return report


def test_bad_probe_starts_verification_and_ejects_no_server(harness, report_probe):
    harness.all_succeed()
    assert report_probe()
    assert harness.state("s00") is ServerState.SUSPECT
    assert harness.health("s00").weight == 1.0
    harness.advance(1.0)
    assert harness.health("s00").verify
    for _ in range(100):
        report_probe()
        harness.advance(1.0)
        assert harness.excluded() == []


def test_repeated_bad_probes_seldom_make_a_server_suspect(harness, report_probe):
    n_suspect = 0
    for _ in range(120):
        report_probe()
        harness.observe("s00", Verdict.SUCCESS)
        harness.advance(0.5)
        n_suspect += harness.state("s00") is ServerState.SUSPECT
    assert n_suspect <= 12


def test_good_probe_changes_nothing(harness, report_probe):
    harness.all_succeed()
    harness.now += 2
    harness.fail("s00", n=2)
    before = harness.health("s00")
    assert not report_probe(Verdict.SUCCESS)
    assert not report_probe(Verdict.NEUTRAL)
    assert harness.health("s00") == before
    assert before.state is ServerState.SUSPECT


def test_bad_probe_of_a_monitor_reaches_its_subscribers(harness, report_probe):
    entry = ServerDigest(ServerId("s01"), 5, 0, 0.02)
    digest = HealthDigest(VmId("vm-1"), harness.pool.service, (entry,), (), 1)
    harness.detector.merge(harness.now, digest)
    report_probe(Verdict.OVERDUE)
    (sent,) = [item for item in harness.detector.digests(harness.now) if item.opinions]
    assert sent.to == (VmId("vm-1"),)
    assert [(item.server, item.score) for item in sent.opinions] == [("s00", 0.0)]


def test_probes_of_unknown_servers_are_counted(harness, report_probe):
    assert not report_probe(server="unknown")
    service = ServiceId("unknown")
    assert not harness.detector.report_probe(
        0.0, service, ServerId("s00"), Verdict.FAILURE
    )
    assert harness.detector.n_ignored == {"unknown server": 1, "unknown service": 1}
