import pytest
from wagtailpaddle_standins.fleetaudit import Auditor, FaultInjector
from wagtailpaddle_standins.fleetworld import World

N_VMS = 5
N_STEPS = 40


@pytest.mark.parametrize("seed", [1, 2, 318])
def test_invariants_hold_under_random_faults(seed):
    world = World(seed=seed, snapshot_records=40)
    if seed % 2:
        world.log.retention = 120
    world.start_fleet(N_VMS)
    auditor = Auditor(world)
    FaultInjector(world, auditor, seed=seed).run(N_STEPS)
    assert auditor.n_fresh_checks > 0
    for vm in world.vms.values():
        assert vm.member.is_fresh(world.clock.now)
        assert vm.fold.next_offset == world.log.head
        assert vm.member.roster.unsettled_change is None
