import pytest
from wagtailpaddle_fleet import FleetRecord, Roster, Vm, vm_id
from wagtailpaddle_standins.fleetaudit import Auditor
from wagtailpaddle_standins.fleetworld import World


def make_vm(name, zone="a", incarnation="1", leaving=False):
    address = f"{name}:7000"
    caller = f"{name}:80"
    return Vm(vm_id(address, incarnation), zone, caller, address, incarnation, leaving)


@pytest.fixture
def vm():
    return make_vm


@pytest.fixture
def roster():
    return Roster()


@pytest.fixture
def apply(roster):
    def append(*changes):
        for change in changes:
            offset = roster.next_offset
            record = FleetRecord(f"r{offset}", "author", 0.0, change)
            roster.apply(offset, record)

    return append


@pytest.fixture
def make_world():
    def build(n_vms, seed=1, **options):
        world = World(seed=seed, **options)
        Auditor(world)
        world.start_fleet(n_vms)
        world.run(10.0)
        return world

    return build
