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


def test_mass_start_settles_within_seconds(world):
    made = world(0)
    made.start_fleet(36)
    made.run(5.0)
    assert n_fresh(made) == 36
    assert is_settled(made)


def test_single_vm_registers_its_own_seat(world):
    made = world(1)
    vm = made.vms["v0"]
    vm.submit("c", ACCOUNT)
    made.run(2.0)
    offset = vm.tracker.outcome("c").result.offset
    assert vm.member.acceptance(offset).in_force


def test_change_is_accepted_once_a_majority_confirmed_it(world):
    made = world(5)
    made.net.cut(["log"], ["v1", "v2", "v3"])
    made.net.lost_kinds.add("RecordsAnswer")
    made.vms["v0"].submit("c", ACCOUNT)
    made.run(3.0)
    offset = made.vms["v0"].tracker.outcome("c").result.offset
    state = made.vms["v0"].member.acceptance(offset)
    assert (state.n_confirmed, state.n_seats, state.in_force) == (2, 5, False)
    made.net.heal()
    made.run(3.0)
    assert made.vms["v0"].member.acceptance(offset).in_force


def test_vm_partitioned_from_the_log_catches_up_from_peers(world):
    made = world(5)
    made.net.cut(["log"], ["v1"])
    made.run(5.0)
    made.vms["v0"].submit("c", ACCOUNT)
    made.run(PROPAGATION_S)
    assert n_fresh(made) == 5
    assert len(set(next_offsets(made))) == 1


def test_no_fresh_vm_accepts_a_withdrawn_key(world):
    made = world(5)
    for number, change in enumerate([ACCOUNT, IssueKey("k", "x", "hash")]):
        made.vms["v0"].submit(f"c{number}", change)
        made.run(3.0)
    assert all(vm.fold.configuration.account_for("hash") for vm in made.vms.values())
    made.net.cut(["v0", "v1", "v2", "log"], ["v3", "v4"])
    made.vms["v0"].submit("w", WithdrawKey("k"))
    made.run(PROPAGATION_S)
    for vm in made.vms.values():
        is_fresh = vm.member.is_fresh(made.clock.now)
        assert is_fresh == (vm.address in ("v0", "v1", "v2"))
        assert not (is_fresh and vm.fold.configuration.account_for("hash"))


def test_paused_vm_is_not_fresh_when_it_resumes(world):
    made = world(3)
    made.vms["v1"].paused_until = made.clock.now + 60.0
    made.run(60.0)
    assert not made.vms["v1"].member.is_fresh(made.clock.now)
    made.run(2.0)
    assert n_fresh(made) == 3


def test_vms_stay_fresh_through_a_log_outage(world):
    made = world(9)
    made.log.is_up = False
    for _ in range(300):
        made.run(0.2)
        assert n_fresh(made) == 9


def test_rolling_replacement_in_a_log_outage_keeps_a_majority(world):
    made = world(5)
    made.vms["v0"].submit("c", ACCOUNT)
    made.run(2.0)
    made.log.is_up = False
    made.run(5.0)
    for index in range(5):
        made.start(f"n{index}", f"z{index % 3}")
        made.run(8.0)
        made.vms[f"v{index}"].leave()
        for _ in range(30):
            made.run(0.2)
            assert n_fresh(made) == len(made.vms)
    assert sorted(made.vms) == [f"n{index}" for index in range(5)]
    assert made.vms["n4"].fold.configuration.accounts["x"].rate == 1.0
    made.log.is_up = True
    made.run(15.0)
    holders = {seat.vm.id for seat in made.vms["n0"].member.roster.seats.values()}
    assert holders == {vm.id for vm in made.vms.values()}


def test_fleet_recovers_when_most_vms_crash_at_once(world):
    made = world(7)
    for index in range(5):
        made.kill(f"v{index}")
        made.start(f"n{index}")
    made.vms["n0"].submit("c", ACCOUNT)
    made.run(5.0)
    assert n_fresh(made) == 7
    assert not made.vms["n0"].member.acceptance(made.log.head - 1).in_force
    made.run(60.0)
    assert is_settled(made)
    offset = made.vms["n0"].tracker.outcome("c").result.offset
    assert made.vms["n0"].member.acceptance(offset).in_force


def test_rolling_restart_leaves_one_seat_for_each_vm(world):
    made = world(6)
    for index in range(6):
        zone = made.vms[f"v{index}"].member.vm.zone
        made.kill(f"v{index}", delist=False)
        made.start(f"v{index}", zone)
        made.run(5.0)
    assert is_settled(made)
    assert n_fresh(made) == 6


def test_lost_append_answers_cause_no_duplicates(world):
    made = world(3)
    made.log.loss = 1.0
    vm = made.vms["v0"]
    vm.submit("c", ACCOUNT)
    made.run(10.0)
    assert vm.tracker.outcome("c").state is AppendState.APPLIED
    assert sum(b'"id":"c"' in data for data in made.log.records) == 1


@pytest.mark.parametrize("is_log_up", [True, False])
def test_new_vm_starts_from_a_snapshot(world, is_log_up):
    made = world(3, snapshot_records=10)
    for number in range(30):
        made.vms["v0"].submit(f"c{number}", ACCOUNT)
        made.run(2.0)
    made.run(60.0)
    made.log.retention = 5
    made.vms["v0"].submit("last", ACCOUNT)
    made.run(120.0)
    made.log.is_up = is_log_up
    made.start("n0")
    made.run(90.0)
    assert made.log.first > 0
    assert made.vms["n0"].member.is_fresh(made.clock.now)
    assert len(set(next_offsets(made))) == 1


def test_vm_removed_from_the_list_stops_serving(world):
    made = world(3)
    made.listing.remove("v1")
    made.run(25.0)
    assert not made.vms["v1"].member.is_fresh(made.clock.now)
    answer = made.vms["v1"].member._offset_answer(made.clock.now)
    assert answer.seats == ()


def test_new_vm_gets_a_seat_while_the_log_is_slow(world):
    made = world(3)
    made.net.delay_s = (0.3, 0.7)
    made.start("n0")
    made.run(20.0)
    assert n_fresh(made) == 4
    assert is_settled(made)
