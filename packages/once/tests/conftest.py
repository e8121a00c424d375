import pytest
from wagtailpaddle_core import AccountId, RequestId, VmId, ZoneId
from wagtailpaddle_once import ClaimKeeper, Member, Roster, SendPeer

ACCOUNT = AccountId("kiosk")


def roster(revision, *vms):
    members = tuple(Member(VmId(vm), ZoneId(f"z{vm[0]}")) for vm in vms)
    return Roster(revision, members)


class Net:
    """Keepers whose messages are delivered at once, or held back."""

    def __init__(self, *vms, **options):
        self.options = options
        self.now = 0.0
        self.keepers = {}
        self.down = set()
        self.ends = {}
        self.n_requests = 0
        self.roster = roster(0, *vms)
        for vm in vms:
            self.add(vm, None)

    def add(self, vm, previous, gone=()):
        keeper = ClaimKeeper(VmId(vm), n_partitions=4, **self.options)
        self.keepers[vm] = keeper
        actions = keeper.on_roster(self.now, self.roster, previous, frozenset(gone))
        self.act(vm, actions)

    def move_on(self, *vms, gone=()):
        """Let all live VMs learn a new roster, and new ones join."""
        previous = self.roster
        self.roster = roster(previous.revision + 1, *vms)
        for vm in vms:
            if vm in self.keepers:
                if vm not in self.down:
                    keeper = self.keepers[vm]
                    actions = keeper.on_roster(
                        self.now, self.roster, previous, frozenset(gone)
                    )
                    self.act(vm, actions)
            else:
                self.add(vm, previous, gone)

    def begin(self, vm, key="k", fingerprint="f", timeout_s=5.0):
        self.n_requests += 1
        request = RequestId(f"r{self.n_requests}")
        actions = self.keepers[vm].begin(
            self.now, request, ACCOUNT, key, fingerprint, self.now + timeout_s
        )
        self.act(vm, actions)
        return request

    def finish(self, vm, request, outcome, answer=None):
        self.act(vm, self.keepers[vm].finish(self.now, request, outcome, answer))

    def tick(self, seconds=0.6, step=0.1):
        for _ in range(round(seconds / step)):
            self.now += step
            for vm in sorted(self.keepers):
                if vm not in self.down:
                    self.act(vm, self.keepers[vm].tick(self.now))

    def act(self, vm, actions):
        for action in actions:
            if isinstance(action, SendPeer):
                self.act(vm, self.deliver(vm, action))
            else:
                assert action.request not in self.ends
                self.ends[action.request] = action

    def deliver(self, vm, action):
        keeper = self.keepers[vm]
        if action.vm in self.down or action.vm not in self.keepers:
            return keeper.on_call_failed(self.now, action.vm, action.message)
        target = self.keepers[action.vm]
        reply = target.on_message(self.now, vm, action.message)
        return keeper.on_reply(self.now, action.vm, action.message, reply)


@pytest.fixture
def make_net():
    return Net
