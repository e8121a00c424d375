import pytest
from wagtailpaddle_core import ServerId, ServiceId, VmId
from wagtailpaddle_health import (
    HealthDigest,
    Observation,
    Opinion,
    OutlierDetector,
    ServerDigest,
    ServerState,
    Verdict,
    select_monitors,
)

NAN = float("nan")


@pytest.mark.parametrize(
    "entry",
    [
        ServerDigest("s00", -1, 0, 0.0),
        ServerDigest("s00", 1, -5, 0.0),
        ServerDigest("s00", 1, 1, NAN),
        ServerDigest("s00", 1, 1, float("inf")),
        ServerDigest("s00", 1.5, 1, 0.0),
        ServerDigest("s00", "many", 1, 0.0),
        ServerDigest("s00", 10**9, 1, 0.0),
        ServerDigest("s00", 0, 1, 0.0, n_unreachable=2),
        ServerDigest("s00", 0, 1, 0.0, n_slow=2),
        ServerDigest("nobody", 1, 1, 0.0),
    ],
)
def test_impossible_evidence_is_ignored_and_counted(harness, entry):
    harness.receive_digest("vm-1", [entry])
    assert sum(harness.detector.n_ignored.values()) == 1
    assert set(harness.states()) == {ServerState.HEALTHY}


@pytest.mark.parametrize("score", [NAN, -1.0, float("inf"), 10.0**9, "high", None])
def test_impossible_opinions_are_ignored_and_counted(harness, score):
    for vm in ("vm-1", "vm-2"):
        harness.receive_digest(vm, opinions=[Opinion("s00", score, score)])
    assert harness.detector.n_ignored == {"bad opinion": 2}
    assert harness.excluded() == []


def test_one_faulty_monitor_ejects_no_server(harness):
    harness.all_succeed(100)
    for _ in range(20):
        harness.advance(0.5)
        false_opinions = [
            Opinion(server.id, 900.0, 900.0) for server in harness.pool.servers
        ]
        harness.receive_digest("vm-1", opinions=false_opinions)
        assert harness.excluded() == []


def test_one_faulty_reporter_ejects_no_server(harness):
    harness.all_succeed(100)
    harness.receive_evidence("vm-2", "s00", 100, 0)
    for _ in range(20):
        harness.advance(0.5)
        harness.receive_evidence("vm-1", "s00", 0, 100_000)
        assert harness.excluded() == []


def test_repeated_digest_is_ignored(harness):
    digest = HealthDigest(
        VmId("vm-1"), harness.pool.service, (ServerDigest("s00", 0, 2, 0.0),), (), 7
    )
    harness.detector.merge(harness.now, digest)
    harness.detector.merge(harness.now, digest)
    assert harness.detector.n_ignored == {"repeated digest": 1}


def test_digests_of_a_restarted_vm_are_accepted_after_the_sender_ttl(harness):
    entries = (ServerDigest("s00", 1, 0, 0.0),)
    for sequence in (900, 1):
        digest = HealthDigest(VmId("vm-1"), harness.pool.service, entries, (), sequence)
        harness.detector.merge(harness.now, digest)
        harness.advance(11)
    assert harness.detector.n_ignored == {}


def test_senders_and_digests_are_bounded(harness):
    for index in range(100):
        harness.receive_evidence(f"vm-{index + 1}", "s00", 1, 0)
    assert harness.detector.n_ignored == {"too many senders": 36}
    flood = [ServerDigest("s00", 1, 0, 0.0)] * 1000
    harness.receive_digest("vm-1", flood)
    assert harness.detector.n_ignored["oversized digest"] == 1


def test_own_digest_and_unknown_service_are_ignored(harness):
    harness.receive_evidence("vm-0", "s00", 0, 50)
    other = HealthDigest(VmId("vm-1"), ServiceId("other"), ())
    assert harness.detector.merge(harness.now, other) == frozenset()
    assert harness.detector.n_ignored == {"own digest": 1, "unknown service": 1}


def test_unknown_names_and_bad_latency_are_ignored(harness):
    harness.observe(ServerId("nobody"), Verdict.FAILURE)
    harness.observe("s00", Verdict.SUCCESS, latency_s=NAN)
    harness.observe("s00", Verdict.SUCCESS, latency_s=-1.0)
    stray = Observation(ServiceId("other"), ServerId("s00"), Verdict.FAILURE, 0.1)
    assert not harness.detector.observe(harness.now, stray)
    assert harness.detector.n_ignored == {
        "bad latency": 2,
        "unknown server": 1,
        "unknown service": 1,
    }


def test_load_report_is_shown_until_it_expires(harness):
    service = harness.pool.service
    harness.detector.report_load(harness.now, service, ServerId("s00"), 0.7)
    for bad in (NAN, -0.1, 1.5):
        harness.detector.report_load(harness.now, service, ServerId("s01"), bad)
    assert harness.health("s00").load == 0.7
    assert harness.health("s00").weight == 1.0
    assert harness.health("s01").load is None
    assert harness.detector.n_ignored == {"bad load": 3}
    harness.now += 6
    assert harness.health("s00").load is None


def test_failures_are_sent_at_once_and_successes_at_intervals(harness):
    harness.all_succeed(1)
    assert len(harness.detector.digests(harness.now)) == 1
    harness.now += 0.1
    harness.observe("s00", Verdict.SUCCESS)
    assert harness.detector.digests(harness.now) == ()
    harness.observe("s01", Verdict.FAILURE)
    (digest,) = harness.detector.digests(harness.now)
    assert [entry.server for entry in digest.servers] == ["s01"]
    harness.now += 0.5
    (digest,) = harness.detector.digests(harness.now)
    assert [entry.server for entry in digest.servers] == ["s00"]
    assert harness.detector.digests(harness.now + 1) == ()


def test_monitors_are_equal_on_every_vm():
    vms = [VmId(f"vm-{index}") for index in range(36)]
    service = ServiceId("booking")
    assert select_monitors(service, vms) == select_monitors(service, reversed(vms))
    assert len(select_monitors(service, vms)) == 3


def test_idle_servers_have_no_state(pools):
    detector = OutlierDetector(VmId("vm-0"))
    for index in range(300):
        pool = pools(20)
        named = type(pool)(ServiceId(f"service-{index}"), pool.servers, 0.5, 0.5)
        detector.set_pool(0.0, named)
    assert detector.n_tracked == 0
    observation = Observation(
        ServiceId("service-7"), ServerId("s03"), Verdict.SUCCESS, 0.1
    )
    detector.observe(1.0, observation)
    detector.digests(1.0)
    assert detector.n_tracked == 1
    detector.tick(30.0)
    assert detector.n_tracked == 1
    detector.tick(62.0)
    assert detector.n_tracked == 0
