from dataclasses import replace
from random import Random

import pytest
from wagtailpaddle_config import Configuration, Server, Service
from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId
from wagtailpaddle_health import OutlierDetector, ServerState, select_monitors
from wagtailpaddle_node.backends import Backends, make_pool
from wagtailpaddle_node.health_probes import HealthProbes
from wagtailpaddle_routing import (
    Dispatcher,
    LeavingNotice,
    Probe,
    ProbeOutcome,
    ProbeResult,
)

SERVICES = tuple(ServiceId(f"service-{index}") for index in range(40))
BOOKING = ServiceId("booking")
VMS = tuple(VmId(f"10.0.0.{index}:7000/1") for index in range(1, 13))


def configuration(*names, health_path="/health"):
    servers = tuple(
        Server(id=ServerId(f"s{index}"), address="10.1.0.1", port=9000, zone="a")
        for index in range(4)
    )
    services = {
        name: Service(id=name, servers=servers, health_path=health_path)
        for name in names
    }
    return Configuration(services=services)


@pytest.fixture
def make_probes():
    def make(vm=VMS[0]):
        backends = Backends(OutlierDetector(vm), Dispatcher(zone=ZoneId("a")))
        return HealthProbes(vm, backends), backends

    return make


@pytest.fixture
def single_vm(make_probes):
    probes, backends = make_probes()
    cfg = configuration(BOOKING)
    backends.configure(0.0, cfg)
    probes.configure(0.0, cfg)
    probes.set_vms(0.0, VMS[:1])
    return probes, backends


def probed_services(probes, at):
    return {probe.service for _ in range(20) for probe in probes.scheduler.due(at)}


def report_probe(
    probes, now, server="s0", *, state="", status=200, load=None, outcome=None
):
    outcome = outcome or ProbeOutcome.ANSWERED
    result = ProbeResult(outcome, status, state, load)
    return probes.on_probe(now, Probe(BOOKING, ServerId(server), "/health"), result)


def accepting_servers(backends):
    backends.tick(1.0)
    (views, _) = backends.dispatcher._views[BOOKING]
    return {view.id for view in views if not view.leaving}


def test_only_monitors_probe_as_vms_join_and_leave(make_probes):
    random = Random(1)
    probes = {vm: make_probes(vm)[0] for vm in VMS}
    cfg = configuration(*SERVICES)
    for step in range(6):
        vms = random.sample(VMS, 4 + step)
        for vm in vms:
            probes[vm].configure(0.0, cfg)
            probes[vm].set_vms(0.0, vms)
        probing = {vm: probed_services(probes[vm], 10.0 * step + 5.0) for vm in vms}
        for service in SERVICES:
            found = {vm for vm in vms if service in probing[vm]}
            assert found == set(select_monitors(service, vms))


def test_service_without_a_path_is_not_probed(make_probes):
    probes, _ = make_probes()
    probes.configure(0.0, configuration(BOOKING, health_path=""))
    assert probes.scheduler.next_at() is None


def test_draining_server_does_not_count_as_healthy_for_the_floor():
    service = configuration(BOOKING).services[BOOKING]
    pool = make_pool(service, frozenset([ServerId("s0")]))
    assert [server.draining for server in pool.servers] == [True, False, False, False]


def test_draining_page_stops_new_requests_until_it_states_serving(single_vm):
    probes, backends = single_vm
    report_probe(probes, 0.5, state="draining", status=503)
    assert accepting_servers(backends) == {"s1", "s2", "s3"}
    report_probe(probes, 2.0, state="serving")
    assert accepting_servers(backends) == {"s0", "s1", "s2", "s3"}


def test_unreadable_page_after_leaving_does_not_readmit_the_server(single_vm):
    probes, backends = single_vm
    report_probe(probes, 0.5, state="draining")
    report_probe(probes, 1.5, outcome=ProbeOutcome.UNREADABLE)
    report_probe(probes, 2.5, outcome=ProbeOutcome.UNREACHABLE)
    assert "s0" not in accepting_servers(backends)


def test_failed_probe_makes_server_suspect_and_success_does_not_clear_it(single_vm):
    probes, backends = single_vm
    report_probe(probes, 0.5, outcome=ProbeOutcome.TIMED_OUT)
    states = {item.id: item.state for item in backends.server_health(0.5, BOOKING)}
    assert states["s0"] is ServerState.SUSPECT
    report_probe(probes, 0.6, state="serving")
    states = {item.id: item.state for item in backends.server_health(0.6, BOOKING)}
    assert states["s0"] is ServerState.SUSPECT


def test_leaving_notice_of_another_vm_applies_at_the_next_tick(single_vm):
    _, backends = single_vm
    unknown = tuple(ServerId(f"no-{index}") for index in range(100))
    backends.on_leaving_notice(
        0.5, LeavingNotice(BOOKING, leaving=(ServerId("s1"), *unknown))
    )
    assert accepting_servers(backends) == {"s0", "s2", "s3"}
    backends.on_leaving_notice(2.0, LeavingNotice(BOOKING, back=(ServerId("s1"),)))
    assert "s1" in accepting_servers(backends)


def test_probe_result_for_a_removed_server_is_ignored(single_vm):
    probes, backends = single_vm
    cfg = configuration(BOOKING)
    fewer = replace(cfg.services[BOOKING], servers=cfg.services[BOOKING].servers[1:])
    cfg = replace(cfg, services={BOOKING: fewer})
    probes.configure(1.0, cfg)
    backends.configure(1.0, cfg)
    assert report_probe(probes, 1.1, state="leaving") == ()
    assert not backends.leaving_servers
