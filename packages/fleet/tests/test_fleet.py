import pytest
from wagtailpaddle_config import (
    AppendState,
    IssueKey,
    PutAccount,
    WithdrawKey,
)

ACCOUNT = PutAccount("x", {"rate": 1.0, "burst": 2.0})
FRESHNESS_S = 3.0
PROPAGATION_S = 5.0


def n_fresh(world):
    return sum(vm.member.is_fresh(world.clock.now) for vm in world.vms.values())


def is_settled(world):
    return all(
        vm.member.roster.unsettled_change is None
        and set(vm.member.roster.seats) == {other.id for other in world.vms.values()}
        for vm in world.vms.values()
    )


def next_offsets(world):
    return [vm.fold.next_offset for vm in world.vms.values()]


def test_mass_start_settles_within_seconds(make_world):
    world = make_world(0)
    world.start_fleet(36)
    world.run(5.0)
    assert n_fresh(world) == 36
    assert is_settled(world)


def test_single_vm_registers_its_own_seat(make_world):
    world = make_world(1)
    vm = world.vms["v0"]
    vm.submit("c", ACCOUNT)
    world.run(2.0)
    offset = vm.tracker.outcome("c").result.offset
    assert vm.member.acceptance(offset).in_force


def test_change_is_accepted_once_a_majority_confirmed_it(make_world):
    world = make_world(5)
    world.net.cut(["log"], ["v1", "v2", "v3"])
    world.net.dropped_kinds.add("RecordsAnswer")
    world.vms["v0"].submit("c", ACCOUNT)
    world.run(3.0)
    offset = world.vms["v0"].tracker.outcome("c").result.offset
    state = world.vms["v0"].member.acceptance(offset)
    assert (state.n_confirmed, state.n_seats, state.in_force) == (2, 5, False)
    world.net.heal()
    world.run(3.0)
    assert world.vms["v0"].member.acceptance(offset).in_force


def test_vm_partitioned_from_the_log_catches_up_from_peers(make_world):
    world = make_world(5)
    world.net.cut(["log"], ["v1"])
    world.run(5.0)
    world.vms["v0"].submit("c", ACCOUNT)
    world.run(PROPAGATION_S)
    assert n_fresh(world) == 5
    assert len(set(next_offsets(world))) == 1


def test_no_fresh_vm_accepts_a_withdrawn_key(make_world):
    world = make_world(5)
    for number, change in enumerate([ACCOUNT, IssueKey("k", "x", "hash")]):
        world.vms["v0"].submit(f"c{number}", change)
        world.run(3.0)
    assert all(vm.fold.configuration.account_for("hash") for vm in world.vms.values())
    world.net.cut(["v0", "v1", "v2", "log"], ["v3", "v4"])
    world.vms["v0"].submit("w", WithdrawKey("k"))
    world.run(PROPAGATION_S)
    for vm in world.vms.values():
        is_fresh = vm.member.is_fresh(world.clock.now)
        assert is_fresh == (vm.address in ("v0", "v1", "v2"))
        assert not (is_fresh and vm.fold.configuration.account_for("hash"))


def test_paused_vm_is_not_fresh_when_it_resumes(make_world):
    world = make_world(3)
    world.vms["v1"].paused_until = world.clock.now + 60.0
    world.run(60.0)
    assert not world.vms["v1"].member.is_fresh(world.clock.now)
    world.run(2.0)
    assert n_fresh(world) == 3


def test_vms_stay_fresh_through_a_log_outage(make_world):
    world = make_world(9)
    world.log.is_up = False
    for _ in range(300):
        world.run(0.2)
        assert n_fresh(world) == 9


def test_rolling_replacement_in_a_log_outage_keeps_a_majority(make_world):
    world = make_world(5)
    world.vms["v0"].submit("c", ACCOUNT)
    world.run(2.0)
    world.log.is_up = False
    world.run(5.0)
    for index in range(5):
        world.start(f"n{index}", f"z{index % 3}")
        world.run(8.0)
        world.vms[f"v{index}"].leave()
        for _ in range(30):
            world.run(0.2)
            assert n_fresh(world) == len(world.vms)
    assert sorted(world.vms) == [f"n{index}" for index in range(5)]
    assert world.vms["n4"].fold.configuration.accounts["x"].rate == 1.0
    world.log.is_up = True
    world.run(15.0)
    holders = {seat.vm.id for seat in world.vms["n0"].member.roster.seats.values()}
    assert holders == {vm.id for vm in world.vms.values()}


def test_fleet_recovers_when_most_vms_crash_at_once(make_world):
    world = make_world(7)
    for index in range(5):
        world.kill(f"v{index}")
        world.start(f"n{index}")
    world.vms["n0"].submit("c", ACCOUNT)
    world.run(5.0)
    assert n_fresh(world) == 7
    assert not world.vms["n0"].member.acceptance(world.log.head - 1).in_force
    world.run(60.0)
    assert is_settled(world)
    offset = world.vms["n0"].tracker.outcome("c").result.offset
    assert world.vms["n0"].member.acceptance(offset).in_force


def test_rolling_restart_leaves_one_seat_for_each_vm(make_world):
    world = make_world(6)
    for index in range(6):
        zone = world.vms[f"v{index}"].member.vm.zone
        world.kill(f"v{index}", delist=False)
        world.start(f"v{index}", zone)
        world.run(5.0)
    assert is_settled(world)
    assert n_fresh(world) == 6


def test_lost_append_answers_cause_no_duplicates(make_world):
    world = make_world(3)
    world.log.loss = 1.0
    vm = world.vms["v0"]
    vm.submit("c", ACCOUNT)
    world.run(10.0)
    assert vm.tracker.outcome("c").state is AppendState.APPLIED
    assert sum(b'"id":"c"' in data for data in world.log.records) == 1


@pytest.mark.parametrize("is_log_up", [True, False])
def test_new_vm_starts_from_a_snapshot(make_world, is_log_up):
    world = make_world(3, snapshot_records=10)
    for number in range(30):
        world.vms["v0"].submit(f"c{number}", ACCOUNT)
        world.run(2.0)
    world.run(60.0)
    world.log.retention = 5
    world.vms["v0"].submit("last", ACCOUNT)
    world.run(120.0)
    world.log.is_up = is_log_up
    world.start("n0")
    world.run(90.0)
    assert world.log.first > 0
    assert world.vms["n0"].member.is_fresh(world.clock.now)
    assert len(set(next_offsets(world))) == 1


def test_vm_removed_from_the_list_stops_serving(make_world):
    world = make_world(3)
    world.listing.remove("v1")
    world.run(25.0)
    assert not world.vms["v1"].member.is_fresh(world.clock.now)
    answer = world.vms["v1"].member._offset_answer(world.clock.now)
    assert answer.seats == ()


def test_new_vm_gets_a_seat_while_the_log_is_slow(make_world):
    world = make_world(3)
    world.net.delay_s = (0.3, 0.7)
    world.start("n0")
    world.run(20.0)
    assert n_fresh(world) == 4
    assert is_settled(world)
