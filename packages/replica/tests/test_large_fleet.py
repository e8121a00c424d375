"""Simulation of a fleet of about a hundred VMs, without a network.

Small VMs answer late; one of them reads the store and the others form a tree of
followers. No VM may report a living VM as dead, and only the reader may call the
store.
"""

import heapq
from collections import Counter
from itertools import count
from random import Random

import pytest
from wagtailpaddle_replica import (
    Batch,
    Collection,
    FollowVm,
    Member,
    ReadStore,
    Record,
    Replica,
    active_vms,
    relays,
)
from wagtailpaddle_replica.members import ACTIVE_SILENCE_TIMEOUT_S

TICK_S = 0.1
SETTLED_S = 4.0
STORE_DELAY_S = 0.02
READ_TIMEOUT_S = 1.0
"""Time-out of a read that the store does not answer, in seconds."""
ZONES = ("a", "b", "c")


def decode_member(key, data):
    name, zone = data.decode().split(",")
    return make_member(name, zone)


def make_member(name, zone):
    return Member(f"{name}/1", zone, f"{name}:80", name, "1")


DECODERS = {
    Collection.CONFIG: lambda key, data: data,
    Collection.SERVERS: lambda key, data: data,
    Collection.VMS: decode_member,
}


class Fleet:
    """Simulated replicas; a message takes up to about ``max_delay_s`` each way."""

    def __init__(self, n_vms, *, max_delay_s, seed):
        self.random = Random(seed)
        self.max_delay_s = max_delay_s
        self.now = 0.0
        self.events, self.sequence = [], count()
        zones = [(f"vm{n}", ZONES[n % len(ZONES)]) for n in range(n_vms)]
        self.vms = {
            name: Replica(make_member(name, zone), DECODERS, seed=n)
            for n, (name, zone) in enumerate(zones)
        }
        self.records = tuple(
            Record(name, at, f"{name},{zone}".encode())
            for at, (name, zone) in enumerate(zones)
        )
        self.reads = Counter()
        self.dead = set()
        self.disconnected = set()
        self.refused_by_store = set()
        self.pending_follows = {}
        self.versions = [(0.0, 1)]
        for name in self.vms:
            self.schedule(self.random.random() * TICK_S, self.tick, name)

    def schedule(self, delay_s, function, *args):
        entry = (self.now + delay_s, next(self.sequence), function, args)
        heapq.heappush(self.events, entry)

    def network_delay_s(self):
        return 0.002 + self.random.random() * self.max_delay_s

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = until

    def tick(self, name):
        if name in self.dead:
            return
        vm = self.vms[name]
        alive = vm.members.alive(self.now)
        vm.members.record_active(self.now, [member.id for member in active_vms(alive)])
        self.perform(name, vm.on_tick(self.now))
        self.schedule(TICK_S, self.tick, name)

    def perform(self, name, step):
        for action in step.actions:
            if isinstance(action, ReadStore):
                self.reads[name] += self.now > SETTLED_S
                self.schedule(STORE_DELAY_S, self.read, name, action, self.now)
            elif isinstance(action, FollowVm):
                self.pending_follows[name] = action
                self.schedule(self.network_delay_s(), self.deliver_follow, name, action)
                self.schedule(action.timeout_s, self.time_out_follow, name, action)

    def publish(self):
        """Write a new version of the configuration to the store."""
        self.versions.append((self.now, self.versions[-1][1] + 1))

    def version_at(self, at):
        return max((version for begin, version in self.versions if begin <= at))

    def read(self, name, action, sent_at):
        """The store handles a read; its answer arrives after a delay."""
        if {name, "store"} & self.disconnected or name in self.refused_by_store:
            self.schedule(READ_TIMEOUT_S, self.fail_read, name, action)
            return
        version = self.version_at(self.now)
        records = {
            Collection.VMS: self.records,
            Collection.SERVERS: (),
            Collection.CONFIG: (Record("config", version, b"%d" % version),),
        }[action.collection]
        end = max((record.offset + 1 for record in records), default=1)
        batch = Batch(action.collection, end, records, True)
        self.schedule(self.network_delay_s(), self.deliver_read, name, sent_at, batch)

    def deliver_read(self, name, sent_at, batch):
        if name not in self.dead:
            self.perform(name, self.vms[name].on_read(self.now, sent_at, batch))

    def fail_read(self, name, action):
        vm = self.vms[name]
        self.perform(name, vm.on_read_failed(self.now, action.collection))

    def deliver_follow(self, name, action):
        if action.address in self.dead or {name, action.address} & self.disconnected:
            return
        upstream = self.vms[action.address]
        upstream.on_follow(self.now, action.body)
        held_s = 0.0 if upstream.has_update_for(action.body) else action.body.hold_s
        self.schedule(held_s, self.send_update, name, action, self.now)

    def send_update(self, name, action, received_at):
        if action.address in self.dead or {name, action.address} & self.disconnected:
            return
        update = self.vms[action.address].make_update(
            self.now, action.body, received_at
        )
        self.schedule(self.network_delay_s(), self.receive_update, name, action, update)

    def receive_update(self, name, action, update):
        if self.already_ended(name, action):
            return
        vm = self.vms[name]
        step = vm.on_update(self.now, action.address, update, action.body)
        self.perform(name, step)

    def time_out_follow(self, name, action):
        if not self.already_ended(name, action):
            vm = self.vms[name]
            self.perform(name, vm.on_follow_failed(self.now, action.address))

    def already_ended(self, name, action):
        """Mark a ``Follow`` as ended; return whether it had already ended."""
        if name in self.dead or self.pending_follows.get(name) is not action:
            return True
        del self.pending_follows[name]
        return False

    def version(self, name):
        """Return the version of the configuration in a VM's copy, 0 for none."""
        return int(self.vms[name].copies[Collection.CONFIG].get("config") or 0)

    def n_alive(self, name):
        return len(self.vms[name].members.alive(self.now))


@pytest.fixture
def make_fleet():
    def make(n_vms, *, max_delay_s=0.02, seed=1):
        fleet = Fleet(n_vms, max_delay_s=max_delay_s, seed=seed)
        fleet.run(SETTLED_S)
        return fleet

    return make


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
