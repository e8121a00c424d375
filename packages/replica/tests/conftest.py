"""A simulated fleet of replicas, its store and its network."""

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
    WriteMember,
    active_vms,
)

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
        self.deleted = []
        self.disconnected = set()
        self.refused_by_store = set()
        self.slow_s = {}
        self.wakes_at = {}
        self.pending_follows = {}
        self.versions = [(0.0, 1)]
        for name in self.vms:
            self.schedule(self.random.random() * TICK_S, self.tick, name)

    def schedule(self, delay_s, function, *args):
        entry = (self.now + delay_s, next(self.sequence), function, args)
        heapq.heappush(self.events, entry)

    def network_delay_s(self, *names):
        """Return the delay of a message; slow VMs take longer to send or handle it."""
        slow_s = sum(self.slow_s.get(name, 0.0) for name in names)
        return 0.002 + self.random.random() * self.max_delay_s + slow_s

    def freeze(self, name, for_s):
        """Let a VM stand still; what arrives meanwhile waits for it."""
        self.wakes_at[name] = self.now + for_s
        self.schedule(for_s, self.wake, name, for_s)

    def wake(self, name, stalled_s):
        del self.wakes_at[name]
        self.vms[name].on_stall(self.now, stalled_s)

    def is_frozen(self, name, function, *args):
        """Return whether a VM stands still; then the call follows when it wakes."""
        if name not in self.wakes_at:
            return False
        self.schedule(self.wakes_at[name] - self.now, function, *args)
        return True

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        self.now = until

    def tick(self, name):
        if name in self.dead or self.is_frozen(name, self.tick, name):
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
                delay_s = self.network_delay_s(name)
                self.schedule(delay_s, self.deliver_follow, name, action)
                self.schedule(action.timeout_s, self.time_out_follow, name, action)
            elif isinstance(action, WriteMember) and action.member is None:
                self.deleted.append((name, action.address))

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
        delay_s = self.network_delay_s(name)
        self.schedule(delay_s, self.deliver_read, name, sent_at, batch)

    def deliver_read(self, name, sent_at, batch):
        if self.is_frozen(name, self.deliver_read, name, sent_at, batch):
            return
        if name not in self.dead:
            self.perform(name, self.vms[name].on_read(self.now, sent_at, batch))

    def fail_read(self, name, action):
        if self.is_frozen(name, self.fail_read, name, action):
            return
        vm = self.vms[name]
        self.perform(name, vm.on_read_failed(self.now, action.collection))

    def deliver_follow(self, name, action):
        if action.address in self.dead or {name, action.address} & self.disconnected:
            return
        if self.is_frozen(action.address, self.deliver_follow, name, action):
            return
        upstream = self.vms[action.address]
        upstream.on_follow(self.now, action.body)
        held_s = 0.0 if upstream.has_update_for(action.body) else action.body.hold_s
        self.schedule(held_s, self.send_update, name, action, self.now)

    def send_update(self, name, action, received_at):
        if action.address in self.dead or {name, action.address} & self.disconnected:
            return
        arguments = (name, action, received_at)
        if self.is_frozen(action.address, self.send_update, *arguments):
            return
        update = self.vms[action.address].make_update(
            self.now, action.body, received_at
        )
        delay_s = self.network_delay_s(name, action.address)
        self.schedule(delay_s, self.receive_update, name, action, update)

    def receive_update(self, name, action, update):
        if self.is_frozen(name, self.receive_update, name, action, update):
            return
        if self.already_ended(name, action):
            return
        vm = self.vms[name]
        step = vm.on_update(self.now, action.address, update, action.body)
        self.perform(name, step)

    def time_out_follow(self, name, action):
        if self.is_frozen(name, self.time_out_follow, name, action):
            return
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
