from random import Random

import pytest
from wagtailpaddle_fleet.directory import MAX_ADDRESSES, N_PREFERRED_VMS, Directory

N_ACCOUNTS = 500


@pytest.fixture
def directory(vm):
    directory = Directory(rng=Random(1))
    directory.set_vms([vm(f"v{index}", zone=f"z{index % 3}") for index in range(36)])
    return directory


def preferred_ids(directory):
    return [
        {vm.id for vm in directory.preferred_vms(f"account{index}")}
        for index in range(N_ACCOUNTS)
    ]


def test_preferred_vms_are_in_distinct_zones(directory):
    assert len({vm.zone for vm in directory.preferred_vms("x")}) == N_PREFERRED_VMS


def test_replacing_one_vm_of_n_moves_about_one_nth(directory, vm):
    before = preferred_ids(directory)
    kept = [item for item in directory.vms if item.peer_address != "v7:7000"]
    directory.set_vms([*kept, vm("new", zone="z1")])
    after = preferred_ids(directory)
    n_moved = sum(len(old - new) for old, new in zip(before, after, strict=True))
    share = n_moved / (N_ACCOUNTS * N_PREFERRED_VMS)
    assert share < 3 / 36


def test_restarted_vm_stays_preferred(directory, vm):
    before = [item.peer_address for item in directory.preferred_vms("x")]
    restarted = [
        vm(item.peer_address.removesuffix(":7000"), item.zone, incarnation="2")
        for item in directory.vms
    ]
    directory.set_vms(restarted)
    assert [item.peer_address for item in directory.preferred_vms("x")] == before


def test_answer_is_bounded_and_lists_the_callers_zone_first(directory):
    answer = directory.addresses_for(account="x", zone="z2").answer
    in_zone = {item.caller_address for item in directory.vms if item.zone == "z2"}
    assert len(answer.addresses) == MAX_ADDRESSES
    assert answer.addresses[0] in in_zone
    assert answer.keep_s > 0


def test_callers_without_an_account_are_spread(directory):
    firsts = {
        directory.addresses_for(zone="z0").answer.addresses[0] for _ in range(200)
    }
    assert len(firsts) == 12


def test_vm_that_leaves_or_is_not_fresh_is_not_listed(make_world):
    world = make_world(5)
    world.vms["v1"].leave()
    world.net.cut(["v0", "v1", "v2", "v4", "log"], ["v3"])
    world.vms["v0"].member.addresses_for(world.clock.now)
    world.run(6.0)
    world.vms["v0"].member.addresses_for(world.clock.now)
    world.run(6.0)
    answer = world.vms["v0"].member.addresses_for(world.clock.now)
    assert set(answer.addresses) == {"v0", "v2", "v4"}


def test_vm_that_answers_again_is_listed_again(make_world):
    world = make_world(3)
    world.net.cut(["v0"], ["v2"])
    for _ in range(4):
        world.vms["v0"].member.addresses_for(world.clock.now)
        world.run(3.0)
    answer = world.vms["v0"].member.addresses_for(world.clock.now)
    assert "v2" not in answer.addresses
    world.net.heal()
    for _ in range(4):
        world.vms["v0"].member.addresses_for(world.clock.now)
        world.run(3.0)
    assert "v2" in world.vms["v0"].member.addresses_for(world.clock.now).addresses
