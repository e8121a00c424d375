from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_core import ServerId, VmId, ZoneId
from wagtailpaddle_routing import ConnectionShares, ServerView, servers_per_vm

BOUNDED = settings(derandomize=True, deadline=None, max_examples=25)


def fleet(n_vms, first=0):
    return frozenset(VmId(f"vm-{index}") for index in range(first, first + n_vms))


def pool(n_servers, connections=300):
    return tuple(
        ServerView(ServerId(f"s{i}"), ZoneId(f"z{i % 8}"), 4, connections)
        for i in range(n_servers)
    )


def opened(servers, vms):
    """Return how many connections all VMs of a roster may open to each server."""
    total = Counter()
    for vm in vms:
        shares = ConnectionShares(vm, servers, vms)
        total.update({item.id: shares.connections(item) for item in servers})
    return total


@pytest.mark.parametrize("n_servers", [10, 12, 15])
def test_each_of_36_vms_uses_every_server(n_servers):
    servers = pool(n_servers)
    shares = ConnectionShares(VmId("vm-0"), servers, fleet(36))
    assert {shares.connections(item) for item in servers} == {297 // 36}


@BOUNDED
@given(st.integers(1, 60), st.integers(1, 30), st.integers(4, 60))
def test_connections_to_a_server_stay_within_its_limit(n_vms, n_servers, connections):
    servers = pool(n_servers, connections)
    assert max(opened(servers, fleet(n_vms)).values()) <= connections


def test_server_with_more_vms_than_connections_is_used_by_one_vm_per_connection():
    servers = pool(3, connections=20)
    total = opened(servers, fleet(200))
    assert set(total.values()) == {17}


def test_changed_roster_gives_the_same_counts_as_a_new_one():
    servers = pool(40, connections=30)
    shares = ConnectionShares(VmId("vm-9"), servers, fleet(120))
    for vms in (fleet(119, 1), fleet(118, 3), fleet(90), fleet(130)):
        shares.set_vms(vms)
        fresh = ConnectionShares(VmId("vm-9"), servers, vms)
        for item in servers:
            assert shares.n_sharing_vms(item.id) == fresh.n_sharing_vms(item.id)
            assert shares.connections(item) == fresh.connections(item)


def test_replacing_a_vm_changes_no_servers_of_the_others():
    servers = pool(40, connections=30)
    before, after = fleet(120), fleet(120, 1)
    for vm in sorted(before & after)[:20]:
        old, new = (
            ConnectionShares(vm, servers, before),
            ConnectionShares(vm, servers, after),
        )
        used = [item.id for item in servers if old.connections(item)]
        assert used == [item.id for item in servers if new.connections(item)]


def test_vms_use_as_many_servers_as_connections_allow():
    assert servers_per_vm(19, 300, 36) == 19
    assert servers_per_vm(100, 300, 1500) == 6
    assert servers_per_vm(19, 300, 6500) == 1
    assert servers_per_vm(1, 1, 10_000) == 1
