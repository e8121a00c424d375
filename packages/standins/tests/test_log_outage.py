"""Outages of the log that last long, with the VMs replaced in them."""

import pytest
from wagtailpaddle_config import WithdrawKey
from wagtailpaddle_core import ErrorKind
from wagtailpaddle_quota.share_limiter import N_GROUPS, N_SHARES
from wagtailpaddle_standins.soak import __main__ as soak
from wagtailpaddle_standins.soak.faults import set_platform
from wagtailpaddle_standins.soak.world import TICK_INTERVAL_S, World

RATE_KINDS = (ErrorKind.NOT_FRESH, ErrorKind.RATE_EXCEEDED)
N_SHARES_IN_ALL = N_GROUPS * N_SHARES
HOURS_S = 3 * 3600.0
COARSE_TICK_S = 1.0


@pytest.fixture
def outage():
    """Build a fleet that has served for a while and whose log then went away."""

    def make(seed, *, list_is_up=True, **options):
        world = World(seed, **options)
        world.fabric.run_until(soak.WARM_UP_S)
        serve(world, 3)
        world.platform.is_up = False
        world.platform.list_is_up = list_is_up
        world.fabric.run_until(world.fabric.now + 6.0)
        return world

    return make


def serve(world, n_seconds):
    """Send requests inside the rates; return those served, and why others not."""
    served, refused = world.audit.served.total(), dict(world.audit.refused)
    for _ in range(n_seconds):
        soak.step_without_faults(world)
    world.fabric.run_until(world.fabric.now + 1.0)
    kinds = {
        kind: n - refused.get(kind, 0)
        for kind, n in world.audit.refused.items()
        if n > refused.get(kind, 0)
    }
    return world.audit.served.total() - served, kinds


def replace_all(world, *, gap_s=8.0):
    """Replace every VM, one after the other, by one at the same address."""
    for place in world.random.sample(world.places, len(world.places)):
        world.stop(place)
        while world.hosts[place].process.alive:
            soak.step_without_faults(world)
        world.start(place)
        world.fabric.run_until(world.fabric.now + gap_s)


def n_held(world):
    quotas = [host.node.control.quota for host in world.live()]
    return sum(len(quota.shares.held) for quota in quotas)


def living(world):
    return {host.node.vm.id for host in world.live()}


def recorded_holders(world):
    entries = world.live()[0].node.control.quota.state()
    assert len(entries) == N_SHARES_IN_ALL
    return {entry.holder for entry in entries}


@pytest.mark.parametrize(("seed", "list_is_up"), [(1, True), (2, False), (3, True)])
def test_rates_run_while_all_vms_are_replaced_in_one_outage(outage, seed, list_is_up):
    # Majorities of VMs that the log named stopped all rates once half of them
    # were replaced, and rates alone stopped 3 s after the log went away.
    world = outage(seed, list_is_up=list_is_up)
    assert serve(world, 5)[0] > 30
    replace_all(world)
    n_served, refused = serve(world, 10)
    assert n_served > 50
    assert not set(refused) & set(RATE_KINDS)
    assert n_held(world) == N_SHARES_IN_ALL
    set_platform(world, is_up=True)
    world.fabric.run_until(world.fabric.now + 30.0)
    _, refused = serve(world, 5)
    assert not set(refused) & set(RATE_KINDS)
    assert all(named in living(world) for named in recorded_holders(world))
    assert world.audit.conclude() == []


def test_saturated_accounts_keep_to_their_rate_while_all_vms_are_replaced(outage):
    world = outage(4)
    for place in world.places:
        world.stop(place)
        while world.hosts[place].process.alive:
            soak.step(world, fault_rate=0.0)
        world.start(place)
        for _ in range(5):
            soak.step(world, fault_rate=0.0)
    assert world.audit.conclude() == []


def test_kill_in_an_outage_strands_only_the_shares_of_the_killed(outage):
    world = outage(1)
    n_lost = len(world.hosts[world.places[0]].node.control.quota.shares.held)
    world.kill(world.places[0])
    world.fabric.run_until(world.fabric.now + 3.0)
    world.start(world.places[0])
    world.fabric.run_until(world.fabric.now + 10.0)
    assert n_held(world) == N_SHARES_IN_ALL - n_lost
    assert serve(world, 5)[0] > 30
    set_platform(world, is_up=True)
    world.fabric.run_until(world.fabric.now + 30.0)
    assert all(named in living(world) for named in recorded_holders(world))
    assert world.audit.conclude() == []


def test_three_hours_without_the_log(outage):
    world = outage(1, n_vms=3)
    set_platform(world, is_up=True)
    account, secrets = next(iter(world.secrets.items()))
    (key,) = [
        key
        for key in world.hosts[world.places[0]].node.configuration.keys.values()
        if key.account == account
    ]
    world.commit(WithdrawKey(key.id))
    world.issue(account)
    world.fabric.run_until(world.fabric.now + 4.0)
    world.audit.withdrawn_at[key.secret_hash] = world.fabric.now
    set_platform(world, is_up=False)
    began_at = world.fabric.now
    while world.fabric.now < began_at + HOURS_S:
        world.tick_s = COARSE_TICK_S
        world.fabric.run_until(world.fabric.now + 900.0)
        world.tick_s = TICK_INTERVAL_S
        world.fabric.run_until(world.fabric.now + COARSE_TICK_S)
        n_served, refused = serve(world, 4)
        assert n_served > 15
        assert not set(refused) & set(RATE_KINDS)
        assert refused.get(ErrorKind.KEY_UNKNOWN, 0) > 0
    assert len(secrets) == 2
    assert world.audit.conclude() == []
