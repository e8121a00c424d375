import pytest
from wagtailpaddle_core import ServerId, ServiceId, VmId
from wagtailpaddle_health import (
    HealthBook,
    HealthDigest,
    Observation,
    Opinion,
    ServerDigest,
    ServerState,
    Verdict,
    watchers,
)

NAN = float("nan")


@pytest.mark.parametrize(
    "line",
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
def test_impossible_evidence_is_ignored_and_counted(bench, line):
    bench.tell_lines("vm-1", [line])
    assert sum(bench.book.n_ignored.values()) == 1
    assert set(bench.states()) == {ServerState.HEALTHY}


@pytest.mark.parametrize("share", [NAN, -1.0, float("inf"), 10.0**9, "high", None])
def test_impossible_opinions_are_ignored_and_counted(bench, share):
    for vm in ("vm-1", "vm-2"):
        bench.tell_lines(vm, opinions=[Opinion("s00", share, share)])
    assert bench.book.n_ignored == {"bad opinion": 2}
    assert bench.out() == []


def test_one_lying_watcher_ejects_nobody(bench):
    bench.see_all_succeed(100)
    for _ in range(20):
        bench.wait(0.5)
        lies = [Opinion(server.id, 900.0, 900.0) for server in bench.pool.servers]
        bench.tell_lines("vm-1", opinions=lies)
        assert bench.out() == []


def test_one_lying_reporter_ejects_nobody(bench):
    bench.see_all_succeed(100)
    bench.tell("vm-2", "s00", 100, 0)
    for _ in range(20):
        bench.wait(0.5)
        bench.tell("vm-1", "s00", 0, 100_000)
        assert bench.out() == []


def test_repeated_digest_is_ignored(bench):
    digest = HealthDigest(
        VmId("vm-1"), bench.pool.service, (ServerDigest("s00", 0, 2, 0.0),), (), 7
    )
    bench.book.merge(bench.now, digest)
    bench.book.merge(bench.now, digest)
    assert bench.book.n_ignored == {"repeated digest": 1}


def test_restarted_vm_is_heard_again_after_a_while(bench):
    lines = (ServerDigest("s00", 1, 0, 0.0),)
    for sequence in (900, 1):
        digest = HealthDigest(VmId("vm-1"), bench.pool.service, lines, (), sequence)
        bench.book.merge(bench.now, digest)
        bench.wait(11)
    assert bench.book.n_ignored == {}


def test_senders_and_digests_are_bounded(bench):
    for index in range(100):
        bench.tell(f"vm-{index + 1}", "s00", 1, 0)
    assert bench.book.n_ignored == {"too many senders": 36}
    flood = [ServerDigest("s00", 1, 0, 0.0)] * 1000
    bench.tell_lines("vm-1", flood)
    assert bench.book.n_ignored["oversized digest"] == 1


def test_own_digest_and_unknown_service_are_ignored(bench):
    bench.tell("vm-0", "s00", 0, 50)
    other = HealthDigest(VmId("vm-1"), ServiceId("other"), ())
    assert bench.book.merge(bench.now, other) == frozenset()
    assert bench.book.n_ignored == {"own digest": 1, "unknown service": 1}


def test_unknown_names_and_bad_latency_are_ignored(bench):
    bench.see(ServerId("nobody"), Verdict.FAILURE)
    bench.see("s00", Verdict.SUCCESS, latency_s=NAN)
    bench.see("s00", Verdict.SUCCESS, latency_s=-1.0)
    stray = Observation(ServiceId("other"), ServerId("s00"), Verdict.FAILURE, 0.1)
    assert not bench.book.observe(bench.now, stray)
    assert bench.book.n_ignored == {
        "bad latency": 2,
        "unknown server": 1,
        "unknown service": 1,
    }


def test_load_report_is_a_hint_for_a_while(bench):
    service = bench.pool.service
    bench.book.report_load(bench.now, service, ServerId("s00"), 0.7)
    for bad in (NAN, -0.1, 1.5):
        bench.book.report_load(bench.now, service, ServerId("s01"), bad)
    assert bench.standing("s00").load == 0.7
    assert bench.standing("s00").weight == 1.0
    assert bench.standing("s01").load is None
    assert bench.book.n_ignored == {"bad load": 3}
    bench.now += 6
    assert bench.standing("s00").load is None


def test_bad_news_is_told_at_once_and_good_news_later(bench):
    bench.see_all_succeed(1)
    assert len(bench.book.digests(bench.now)) == 1
    bench.now += 0.1
    bench.see("s00", Verdict.SUCCESS)
    assert bench.book.digests(bench.now) == ()
    bench.see("s01", Verdict.FAILURE)
    (digest,) = bench.book.digests(bench.now)
    assert [line.server for line in digest.servers] == ["s01"]
    bench.now += 0.5
    (digest,) = bench.book.digests(bench.now)
    assert [line.server for line in digest.servers] == ["s00"]
    assert bench.book.digests(bench.now + 1) == ()


def test_watchers_are_equal_on_every_vm():
    vms = [VmId(f"vm-{index}") for index in range(36)]
    service = ServiceId("booking")
    assert watchers(service, vms) == watchers(service, reversed(vms))
    assert len(watchers(service, vms)) == 3


def test_idle_servers_cost_nothing(pools):
    book = HealthBook(VmId("vm-0"))
    for index in range(300):
        pool = pools(20)
        named = type(pool)(ServiceId(f"service-{index}"), pool.servers, 0.5, 0.5)
        book.set_pool(0.0, named)
    assert book.n_tracks == 0
    seen = Observation(ServiceId("service-7"), ServerId("s03"), Verdict.SUCCESS, 0.1)
    book.observe(1.0, seen)
    book.digests(1.0)
    assert book.n_tracks == 1
    book.tick(30.0)
    assert book.n_tracks == 1
    book.tick(62.0)
    assert book.n_tracks == 0
