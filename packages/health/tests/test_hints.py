import pytest
from wagtailpaddle_core import ServerId, ServiceId, VmId
from wagtailpaddle_health import HealthDigest, ServerDigest, ServerState, Verdict


@pytest.fixture
def hint(bench):
    def tell(verdict=Verdict.UNREACHABLE, server="s00"):
        return bench.book.on_hint(bench.now, bench.pool.service, server, verdict)

    return tell


def test_bad_probe_starts_a_test_and_ejects_nobody(bench, hint):
    bench.see_all_succeed()
    assert hint()
    assert bench.state("s00") is ServerState.SUSPECT
    assert bench.standing("s00").weight == 1.0
    bench.wait(1.0)
    assert bench.standing("s00").verify
    for _ in range(100):
        hint()
        bench.wait(1.0)
        assert bench.out() == []


def test_probes_that_keep_failing_take_little_work(bench, hint):
    n_suspect = 0
    for _ in range(120):
        hint()
        bench.see("s00", Verdict.SUCCESS)
        bench.wait(0.5)
        n_suspect += bench.state("s00") is ServerState.SUSPECT
    assert n_suspect <= 12


def test_good_probe_is_no_evidence(bench, hint):
    bench.see_all_succeed()
    bench.now += 2
    bench.see_failing("s00", n=2)
    before = bench.standing("s00")
    assert not hint(Verdict.SUCCESS)
    assert not hint(Verdict.NEUTRAL)
    assert bench.standing("s00") == before
    assert before.state is ServerState.SUSPECT


def test_hint_of_a_watcher_reaches_its_audience(bench, hint):
    line = ServerDigest(ServerId("s01"), 5, 0, 0.02)
    digest = HealthDigest(VmId("vm-1"), bench.pool.service, (line,), (), 1)
    bench.book.merge(bench.now, digest)
    hint(Verdict.OVERDUE)
    (told,) = [item for item in bench.book.digests(bench.now) if item.opinions]
    assert told.to == (VmId("vm-1"),)
    assert [(item.server, item.score) for item in told.opinions] == [("s00", 0.0)]


def test_hints_on_unknown_servers_are_counted(bench, hint):
    assert not hint(server="unknown")
    service = ServiceId("unknown")
    assert not bench.book.on_hint(0.0, service, ServerId("s00"), Verdict.FAILURE)
    assert bench.book.n_ignored == {"unknown server": 1, "unknown service": 1}
