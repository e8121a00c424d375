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
STORE_S = 0.02
SILENCE_S = 1.0
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
    """Simulated replicas; a message takes up to about ``slow_s`` each way."""

    def __init__(self, n_vms, *, slow_s, seed):
        self.random = Random(seed)
        self.slow_s = slow_s
        self.now = 0.0
        self.events, self.order = [], count()
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
        self.cut = set()
        self.turned_away = set()
        self.asked = {}
        self.versions = [(0.0, 1)]
        for name in self.vms:
            self.at(self.random.random() * TICK_S, self.tick, name)

    def at(self, delay_s, function, *args):
        entry = (self.now + delay_s, next(self.order), function, args)
        heapq.heappush(self.events, entry)

    def travel_s(self):
        return 0.002 + self.random.random() * self.slow_s

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
        self.carry_out(name, vm.on_tick(self.now))
        self.at(TICK_S, self.tick, name)

    def carry_out(self, name, step):
        for action in step.actions:
            if isinstance(action, ReadStore):
                self.reads[name] += self.now > SETTLED_S
                self.at(STORE_S, self.read, name, action, self.now)
            elif isinstance(action, FollowVm):
                self.asked[name] = action
                self.at(self.travel_s(), self.ask, name, action)
                self.at(action.timeout_s, self.give_up, name, action)

    def publish(self):
        """Write a new version of the configuration to the store."""
        self.versions.append((self.now, self.versions[-1][1] + 1))

    def version_at(self, at):
        return max((version for begin, version in self.versions if begin <= at))

    def read(self, name, action, sent_at):
        """The store handles a read; its answer arrives after a delay."""
        if {name, "store"} & self.cut or name in self.turned_away:
            self.at(SILENCE_S, self.fail_read, name, action)
            return
        version = self.version_at(self.now)
        records = {
            Collection.VMS: self.records,
            Collection.SERVERS: (),
            Collection.CONFIG: (Record("config", version, b"%d" % version),),
        }[action.collection]
        end = max((record.offset + 1 for record in records), default=1)
        batch = Batch(action.collection, end, records, True)
        self.at(self.travel_s(), self.get_read, name, sent_at, batch)

    def get_read(self, name, sent_at, batch):
        if name not in self.dead:
            self.carry_out(name, self.vms[name].on_read(self.now, sent_at, batch))

    def fail_read(self, name, action):
        vm = self.vms[name]
        self.carry_out(name, vm.on_read_failed(self.now, action.collection))

    def ask(self, name, action):
        if action.address in self.dead or {name, action.address} & self.cut:
            return
        followed = self.vms[action.address]
        followed.on_follow(self.now, action.body)
        held_s = 0.0 if followed.has_update_for(action.body) else action.body.hold_s
        self.at(held_s, self.answer, name, action, self.now)

    def answer(self, name, action, asked_at):
        if action.address in self.dead or {name, action.address} & self.cut:
            return
        told = self.vms[action.address].make_update(self.now, action.body, asked_at)
        self.at(self.travel_s(), self.hear, name, action, told)

    def hear(self, name, action, told):
        if self.is_over(name, action):
            return
        vm = self.vms[name]
        step = vm.on_update(self.now, action.address, told, action.body)
        self.carry_out(name, step)

    def give_up(self, name, action):
        if not self.is_over(name, action):
            vm = self.vms[name]
            self.carry_out(name, vm.on_follow_failed(self.now, action.address))

    def is_over(self, name, action):
        """Mark a ``Follow`` as ended; return whether it had already ended."""
        if name in self.dead or self.asked.get(name) is not action:
            return True
        del self.asked[name]
        return False

    def version(self, name):
        """Return the version of the configuration in a VM's copy, 0 for none."""
        return int(self.vms[name].copies[Collection.CONFIG].get("config") or 0)

    def n_alive(self, name):
        return len(self.vms[name].members.alive(self.now))


@pytest.fixture
def make_fleet():
    def make(n_vms, *, slow_s=0.02, seed=1):
        fleet = Fleet(n_vms, slow_s=slow_s, seed=seed)
        fleet.run(SETTLED_S)
        return fleet

    return make


@pytest.mark.parametrize("slow_s", [0.002, 0.1])
@pytest.mark.parametrize("n_vms", [32, 112])
def test_nobody_loses_sight_of_a_vm_that_lives(make_fleet, n_vms, slow_s):
    fleet = make_fleet(n_vms, slow_s=slow_s)
    for step in range(40):
        fleet.run(SETTLED_S + 0.2 * step)
        assert {fleet.n_alive(name) for name in fleet.vms} == {n_vms}


@pytest.mark.parametrize("slow_s", [0.002, 0.1])
@pytest.mark.parametrize("n_vms", [32, 112])
def test_only_the_reader_calls_the_store(make_fleet, n_vms, slow_s):
    fleet = make_fleet(n_vms, slow_s=slow_s)
    fleet.run(SETTLED_S + 10.0)
    members = [vm.own for vm in fleet.vms.values()]
    reader = relays(members)[0].peer_address
    assert set(+fleet.reads) == {reader}


def test_dead_carrier_and_dead_relay_are_missed_by_everybody(make_fleet):
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
def test_copy_holds_what_its_age_says_whatever_is_cut_or_dies(make_fleet, seed):
    """The configuration changes while VMs and the store are cut off and return."""
    fleet = make_fleet(40, slow_s=0.15, seed=seed)
    random = Random(f"cuts/{seed}")
    held = dict.fromkeys(fleet.vms, 0)
    for step in range(150):
        chance = random.random()
        if chance < 0.2:
            fleet.publish()
        elif chance < 0.3:
            fleet.cut = set(random.sample(sorted(fleet.vms), random.randrange(15)))
        elif chance < 0.35:
            fleet.cut = {"store"}
        elif chance < 0.45:
            fleet.cut = set()
        elif chance < 0.5:
            fleet.dead.add(random.choice(sorted(fleet.vms)))
        fleet.run(SETTLED_S + 0.15 * step)
        for name in sorted(set(fleet.vms) - fleet.dead):
            age_s = fleet.vms[name].age_s(fleet.now, Collection.CONFIG)
            version = fleet.version(name)
            assert version >= fleet.version_at(fleet.now - age_s)
            assert version >= held[name]
            held[name] = version


def test_everybody_is_current_soon_after_everything_is_mended(make_fleet):
    fleet = make_fleet(40)
    fleet.cut = {"store", *sorted(fleet.vms)[:10]}
    fleet.run(SETTLED_S + 6.0)
    fleet.cut = set()
    fleet.publish()
    fleet.run(SETTLED_S + 9.0)
    for name, vm in fleet.vms.items():
        assert fleet.version(name) == 2
        assert vm.age_s(fleet.now, Collection.CONFIG) < 1.5


@pytest.mark.parametrize("seed", range(3))
def test_reader_that_the_store_does_not_answer_stays_current_through_others(
    make_fleet, seed
):
    """The store does not answer a third of the VMs, including the reader."""
    fleet = make_fleet(112, seed=seed)
    reader = relays([vm.own for vm in fleet.vms.values()])[0].peer_address
    others = Random(seed).sample(sorted(fleet.vms), 39)
    fleet.turned_away = {reader, *others}
    fleet.reads.clear()
    for step in range(40):
        fleet.run(SETTLED_S + 0.2 * step)
        assert {fleet.n_alive(name) for name in fleet.vms} == {112}
    ages = [vm.age_s(fleet.now, Collection.CONFIG) for vm in fleet.vms.values()]
    assert max(ages) < 3.0
    # The other relays read in the reader's place, and hardly any other VM does.
    assert sum(fleet.reads.values()) < 8.0 * 20
