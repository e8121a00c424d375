from collections import Counter

import pytest
from wagtailpaddle_core import ServerId, VmId, ZoneId
from wagtailpaddle_routing import ServerView, subset, subset_size

N_VMS = 300


@pytest.fixture(scope="module")
def vms():
    return tuple(VmId(f"10.0.{index // 250}.{index % 250}") for index in range(N_VMS))


@pytest.fixture(scope="module")
def servers():
    return tuple(
        ServerView(ServerId(f"s{index}"), ZoneId(f"z{index % 8}"), 4, 300)
        for index in range(100)
    )


def count_vms(vms, servers, size):
    return Counter(name for vm in vms for name in subset(vm, vms, servers, size))


def test_every_server_is_used_by_about_as_many_vms(vms, servers):
    n_vms = count_vms(vms, servers, 20)
    mean = N_VMS * 20 / 100
    assert sum(n_vms.values()) == N_VMS * 20
    assert max(n_vms.values()) < 1.5 * mean
    assert min(n_vms[server.id] for server in servers) > 0.5 * mean


def test_subset_spans_all_zones(vms, servers):
    zone_of = {server.id: server.zone for server in servers}
    for vm in vms:
        assert len({zone_of[name] for name in subset(vm, vms, servers, 8)}) == 8


def test_a_zone_with_few_servers_is_not_overused(vms, servers):
    lopsided = [*servers[:64:8], *servers[1:4]]
    n_vms = count_vms(vms, lopsided, 6)
    assert max(n_vms.values()) < 1.6 * N_VMS * 6 / len(lopsided)


def test_small_service_is_used_in_full(vms, servers):
    assert len(subset(vms[0], vms, servers[:5], 1)) == 5
    assert len(subset(vms[0], vms, servers, 1)) == 6


def test_replacing_a_vm_changes_no_other_subset(vms, servers):
    later = (*vms[1:], VmId("10.9.9.9"))
    for vm in vms[1:]:
        assert subset(vm, vms, servers, 8) == subset(vm, later, servers, 8)


def test_size_keeps_the_connections_of_a_server_within_bounds():
    size = subset_size(100, 300, 1000, per_vm=4)
    assert 1000 * size / 100 * 4 <= 300
    with pytest.raises(ValueError, match="subset size 0"):
        subset(VmId("a"), (VmId("a"),), (), 0)
