"""Every undisturbed VM has each version in force within the bound.

A VM is undisturbed if neither its own links nor the store as a whole were
interrupted for ``STABLE_S``. Other VMs may hang, die and be partitioned meanwhile.
"""

import pytest
from wagtailpaddle_replica import relays

APPLY_S = 2.0
"""A written version must be in force within this time, in seconds."""

STABLE_S = 3.0
STEP_S = 0.05
STEPS_PER_EVENT = 4


class Observer:
    """Runs a fleet and records the VMs that break the bound."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.late = []
        self._disturbed_at = dict.fromkeys(fleet.vms, -STABLE_S)
        self._store_away_at = -STABLE_S

    def run(self, until):
        fleet = self.fleet
        while fleet.now < until:
            fleet.run(fleet.now + STEP_S)
            self._record_disturbances()
            if fleet.now - self._store_away_at > STABLE_S:
                self._check()

    def _record_disturbances(self):
        fleet = self.fleet
        if "store" in fleet.disconnected:
            self._store_away_at = fleet.now
        for name in (fleet.disconnected | fleet.refused_by_store) - {"store"}:
            self._disturbed_at[name] = fleet.now

    def _check(self):
        fleet = self.fleet
        due = fleet.version_at(fleet.now - APPLY_S)
        for name in sorted(set(fleet.vms) - fleet.dead):
            is_undisturbed = fleet.now - self._disturbed_at[name] > STABLE_S
            if is_undisturbed and fleet.version(name) < due:
                self.late.append((round(fleet.now, 2), name, fleet.version(name), due))


@pytest.fixture
def make_observer(make_fleet):
    def make(n_vms, *, seed=1):
        return Observer(make_fleet(n_vms, seed=seed))

    return make


def chain_of(fleet):
    """Return the addresses of the relays, the reader first."""
    living = [vm.own for name, vm in fleet.vms.items() if name not in fleet.dead]
    return [relay.peer_address for relay in relays(living)]


def test_silent_relays_do_not_delay_a_version(make_observer):
    """The reader and all relays fall silent just after a version was written.

    Their followers must not spend the bound on waiting for one after the other.
    """
    observer = make_observer(36)
    fleet = observer.fleet
    fleet.publish()
    fleet.dead |= set(chain_of(fleet))
    observer.run(fleet.now + 4.0)
    assert not observer.late
