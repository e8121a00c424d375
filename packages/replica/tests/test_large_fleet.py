"""Simulation of a fleet of about a hundred VMs, without a network.

Small VMs answer late; one of them reads the store and the others form a tree of
followers. No VM may report a living VM as dead, and only the reader may call the
store.
"""

from random import Random

import pytest
from wagtailpaddle_replica import Collection, active_vms, relays
from wagtailpaddle_replica.members import (
    ACTIVE_SILENCE_TIMEOUT_S,
    MEMBER_RETENTION_S,
)

FREEZE_S = 4.0
JOIN_S = 3.0
"""Every promise holds again this long after a disturbance, in seconds."""

SETTLED_S = 4.0
"""Time after which the VMs of a simulated fleet have found each other, in seconds."""


@pytest.mark.parametrize("max_delay_s", [0.002, 0.1])
@pytest.mark.parametrize("n_vms", [32, 112])
def test_no_vm_reports_a_living_vm_as_dead(make_fleet, n_vms, max_delay_s):
    fleet = make_fleet(n_vms, max_delay_s=max_delay_s)
    for step in range(40):
        fleet.run(SETTLED_S + 0.2 * step)
        assert {fleet.n_alive(name) for name in fleet.vms} == {n_vms}


@pytest.mark.parametrize("max_delay_s", [0.002, 0.1])
@pytest.mark.parametrize("n_vms", [32, 112])
def test_only_the_reader_calls_the_store(make_fleet, n_vms, max_delay_s):
    fleet = make_fleet(n_vms, max_delay_s=max_delay_s)
    fleet.run(SETTLED_S + 10.0)
    members = [vm.own for vm in fleet.vms.values()]
    reader = relays(members)[0].peer_address
    assert set(+fleet.reads) == {reader}


def test_dead_active_vm_and_dead_relay_are_detected_by_every_vm(make_fleet):
    fleet = make_fleet(112)
    members = [vm.own for vm in fleet.vms.values()]
    lost = active_vms(members)[0].peer_address
    fleet.dead = {lost, relays(members)[1].peer_address}
    fleet.run(SETTLED_S + ACTIVE_SILENCE_TIMEOUT_S + 1.0)
    for name, vm in fleet.vms.items():
        if name not in fleet.dead:
            alive = {item.peer_address for item in vm.members.alive(fleet.now)}
            assert lost not in alive
    fleet.run(SETTLED_S + 8.0)
    living = [name for name in fleet.vms if name not in fleet.dead]
    assert {fleet.n_alive(name) for name in living} == {110}


@pytest.mark.parametrize("seed", range(6))
def test_copy_is_as_current_as_its_age_states_in_partitions_and_crashes(
    make_fleet, seed
):
    """The configuration changes while VMs and the store are cut off and return."""
    fleet = make_fleet(40, max_delay_s=0.15, seed=seed)
    random = Random(f"cuts/{seed}")
    last_versions = dict.fromkeys(fleet.vms, 0)
    for step in range(150):
        chance = random.random()
        if chance < 0.2:
            fleet.publish()
        elif chance < 0.3:
            fleet.disconnected = set(
                random.sample(sorted(fleet.vms), random.randrange(15))
            )
        elif chance < 0.35:
            fleet.disconnected = {"store"}
        elif chance < 0.45:
            fleet.disconnected = set()
        elif chance < 0.5:
            fleet.dead.add(random.choice(sorted(fleet.vms)))
        fleet.run(SETTLED_S + 0.15 * step)
        for name in sorted(set(fleet.vms) - fleet.dead):
            age_s = fleet.vms[name].age_s(fleet.now, Collection.CONFIG)
            version = fleet.version(name)
            assert version >= fleet.version_at(fleet.now - age_s)
            assert version >= last_versions[name]
            last_versions[name] = version


def test_every_vm_is_current_soon_after_a_partition_heals(make_fleet):
    fleet = make_fleet(40)
    fleet.disconnected = {"store", *sorted(fleet.vms)[:10]}
    fleet.run(SETTLED_S + 6.0)
    fleet.disconnected = set()
    fleet.publish()
    fleet.run(SETTLED_S + 9.0)
    for name, vm in fleet.vms.items():
        assert fleet.version(name) == 2
        assert vm.age_s(fleet.now, Collection.CONFIG) < 1.5


@pytest.mark.parametrize("seed", range(3))
def test_reader_without_access_to_the_store_stays_current_through_others(
    make_fleet, seed
):
    """The store does not answer a third of the VMs, including the reader."""
    fleet = make_fleet(112, seed=seed)
    reader = relays([vm.own for vm in fleet.vms.values()])[0].peer_address
    others = Random(seed).sample(sorted(fleet.vms), 39)
    fleet.refused_by_store = {reader, *others}
    fleet.reads.clear()
    for step in range(40):
        fleet.run(SETTLED_S + 0.2 * step)
        assert {fleet.n_alive(name) for name in fleet.vms} == {112}
    ages = [vm.age_s(fleet.now, Collection.CONFIG) for vm in fleet.vms.values()]
    assert max(ages) < 3.0
    # The other relays read in the reader's place, and hardly any other VM does.
    assert sum(fleet.reads.values()) < 8.0 * 20


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("index", range(3))
def test_vm_that_stood_still_does_not_split_the_fleet(make_fleet, index, seed):
    """Guards against two readers, each of which takes the other's VMs for dead.

    The VM is the reader, or a relay that follows it.
    """
    fleet = make_fleet(9, seed=seed)
    relay = relays([vm.own for vm in fleet.vms.values()])[index].peer_address
    fleet.freeze(relay, FREEZE_S)
    fleet.run(SETTLED_S + FREEZE_S + JOIN_S)
    assert {name: fleet.n_alive(name) for name in fleet.vms} == dict.fromkeys(
        fleet.vms, 9
    )


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_store_cut", [False, True])
def test_zones_that_were_cut_off_join_again(make_fleet, seed, is_store_cut):
    """Guards against parts of a fleet that stay apart after a partition."""
    fleet = make_fleet(30, seed=seed)
    zone = {name for name, vm in fleet.vms.items() if vm.own.zone == "a"}
    fleet.disconnected = set(zone)
    fleet.run(SETTLED_S + 5.0)
    if is_store_cut:
        fleet.refused_by_store = set(fleet.vms)
    fleet.disconnected = set()
    fleet.run(SETTLED_S + 5.0 + JOIN_S)
    assert {fleet.n_alive(name) for name in fleet.vms} == {30}


def test_vm_that_stood_still_for_long_deletes_no_record(make_fleet):
    """Guards against a VM that takes its own silence for that of all others."""
    fleet = make_fleet(9)
    reader = relays([vm.own for vm in fleet.vms.values()])[0].peer_address
    fleet.freeze(reader, MEMBER_RETENTION_S + 5.0)
    fleet.run(SETTLED_S + MEMBER_RETENTION_S + 5.0 + 3.0)
    assert reader not in {name for name, _ in fleet.deleted}
