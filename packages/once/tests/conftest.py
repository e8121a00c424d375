import pytest
from wagtailpaddle_core import AccountId, RequestId, VmId, ZoneId
from wagtailpaddle_once import ClaimManager, ClaimRoster, RosterMember, SendPeer

ACCOUNT = AccountId("kiosk")


def roster(revision, *vms):
    members = tuple(RosterMember(VmId(vm), ZoneId(f"z{vm[0]}")) for vm in vms)
    return ClaimRoster(revision, members)


class Network:
    """Claim managers whose calls are answered at once, or fail for VMs in ``down``."""

    def __init__(self, *vms, **options):
        self.options = options
        self.now = 0.0
        self.managers = {}
        self.down = set()
        self.results = {}
        self.n_requests = 0
        self.roster = roster(0, *vms)
        for vm in vms:
            self.add(vm, None)

    def add(self, vm, previous, gone=()):
        manager = ClaimManager(VmId(vm), n_partitions=4, **self.options)
        self.managers[vm] = manager
        actions = manager.on_roster(self.now, self.roster, previous, frozenset(gone))
        self.carry_out(vm, actions)

    def change_roster(self, *vms, gone=()):
        """Apply a new roster on all VMs that are up, and add the new VMs."""
        previous = self.roster
        self.roster = roster(previous.revision + 1, *vms)
        for vm in vms:
            if vm in self.managers:
                if vm not in self.down:
                    manager = self.managers[vm]
                    actions = manager.on_roster(
                        self.now, self.roster, previous, frozenset(gone)
                    )
                    self.carry_out(vm, actions)
            else:
                self.add(vm, previous, gone)

    def begin(self, vm, key="k", fingerprint="f", timeout_s=5.0):
        self.n_requests += 1
        request = RequestId(f"r{self.n_requests}")
        actions = self.managers[vm].begin(
            self.now, request, ACCOUNT, key, fingerprint, self.now + timeout_s
        )
        self.carry_out(vm, actions)
        return request

    def finish(self, vm, request, outcome, answer=None):
        self.carry_out(vm, self.managers[vm].finish(self.now, request, outcome, answer))

    def tick(self, seconds=0.6, step=0.1):
        for _ in range(round(seconds / step)):
            self.now += step
            for vm in sorted(self.managers):
                if vm not in self.down:
                    self.carry_out(vm, self.managers[vm].tick(self.now))

    def carry_out(self, vm, actions):
        for action in actions:
            if isinstance(action, SendPeer):
                self.carry_out(vm, self.deliver(vm, action))
            else:
                assert action.request not in self.results
                self.results[action.request] = action

    def deliver(self, vm, action):
        manager = self.managers[vm]
        if action.vm in self.down or action.vm not in self.managers:
            return manager.on_call_failed(self.now, action.vm, action.message)
        target = self.managers[action.vm]
        reply = target.on_message(self.now, vm, action.message)
        return manager.on_reply(self.now, action.vm, action.message, reply)


@pytest.fixture
def make_network():
    return Network
