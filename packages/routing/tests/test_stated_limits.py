"""Servers that state how many requests a second they take from all VMs together.

The VMs share no state in these tests but their number.
"""

import heapq
from itertools import count
from random import Random

import pytest
from wagtailpaddle_core import RequestId, ServiceId, ZoneId
from wagtailpaddle_routing import (
    AttemptOutcome,
    AttemptResult,
    Dispatch,
    Dispatcher,
    Job,
    Refuse,
)

SERVICE = ServiceId("booking")
WINDOW_S = 4.0
STABLE_S = 3.0
TOLERANCE = 1.5
TOLERATED_REQUESTS = 5
STATED_FROM_S = 2.0
RUN_S = 0.2
STEP_S = 0.01


class LimitedFleet:
    """VMs that send to servers, some of which state a limit from a time on."""

    def __init__(self, views, *, n_vms, per_s, limits, seed=1):
        self.random = Random(seed)
        self.limits = limits
        self.idempotent = True
        self.per_s = per_s
        self.now = 0.0
        self.ids = count()
        self.running = []
        self.arrivals = {}
        self.refusals = []
        self.failing = set()
        self.statuses = []
        self.views = views
        self.vms = []
        for _ in range(n_vms):
            self.add_vm()

    def add_vm(self):
        """Add a VM, which all others know of at once."""
        vm = Dispatcher(seed=len(self.vms), zone=ZoneId("a"), picker="freshest")
        vm.set_servers(self.now, SERVICE, self.views)
        self.vms.append(vm)
        for each in self.vms:
            each.share_budgets(self.now, len(self.vms))

    def run(self, until):
        while self.now < until:
            self.now += STEP_S
            while self.running and self.running[0][0] <= self.now:
                _, _, vm, action, began_at = heapq.heappop(self.running)
                self.end(vm, action, began_at)
            for vm in self.vms:
                if self.random.random() < self.per_s * STEP_S / len(self.vms):
                    self.arrive(vm)
                self.perform(vm, vm.tick(self.now))

    def arrive(self, vm):
        request = RequestId(f"r{next(self.ids)}")
        deadline_at = self.now + 1.5
        job = Job(request, "x", SERVICE, self.idempotent, self.now, deadline_at)
        self.perform(vm, vm.arrive(self.now, job))

    def perform(self, vm, actions):
        for action in actions:
            if isinstance(action, Dispatch):
                self.arrivals.setdefault(action.server, []).append(self.now)
                entry = (self.now + RUN_S, next(self.ids), vm, action, self.now)
                heapq.heappush(self.running, entry)
            elif isinstance(action, Refuse):
                self.refusals.append((self.now, action))

    def end(self, vm, action, began_at):
        limit = self.limits.get(action.server) if self.now > STATED_FROM_S else None
        answered = AttemptOutcome.ANSWERED
        status = 500 if action.server in self.failing else 200
        self.statuses.append((self.now, status))
        result = AttemptResult(
            answered, self.now - began_at, status, 0.5, stated_limit=limit
        )
        self.perform(vm, vm.finish(self.now, action.request, result))

    def most_in_window(self, server, start):
        """Return the most arrivals in a window that begins at ``start`` or later."""
        times = [at for at in self.arrivals.get(server, []) if at >= start]
        return max(
            (sum(begin <= at < begin + WINDOW_S for at in times) for begin in times),
            default=0,
        )

    def assert_limits_kept(self, start=STATED_FROM_S + STABLE_S):
        for server, per_s in self.limits.items():
            allowed = TOLERANCE * per_s * WINDOW_S + TOLERATED_REQUESTS
            assert self.most_in_window(server, start) <= allowed


@pytest.fixture
def make_fleet(view):
    def make(n_limited, per_s=5.6, *, n_servers=6, n_vms=6, arrivals_per_s=60.0):
        views = tuple(view(f"s{n}", slots=8) for n in range(n_servers))
        limits = {item.id: per_s for item in views[:n_limited]}
        return LimitedFleet(views, n_vms=n_vms, per_s=arrivals_per_s, limits=limits)

    return make


@pytest.mark.parametrize("n_vms", [1, 6, 20])
@pytest.mark.parametrize("per_s", [0.0, 0.5, 3.2, 7.6, 20.0])
def test_all_vms_together_keep_within_a_stated_limit(make_fleet, per_s, n_vms):
    fleet = make_fleet(4, per_s, n_vms=n_vms)
    fleet.run(16.0)
    fleet.assert_limits_kept()


def test_most_of_a_stated_limit_is_used(make_fleet):
    fleet = make_fleet(4, 5.0)
    fleet.run(16.0)
    for server in fleet.limits:
        n_arrivals = sum(at >= 6.0 for at in fleet.arrivals[server])
        assert n_arrivals > 0.7 * 5.0 * 10.0


def test_vm_that_joins_does_not_push_the_sum_over_the_limit(make_fleet):
    fleet = make_fleet(4, 3.8)
    for at in (5.0, 6.0, 7.0, 9.0):
        fleet.run(at)
        fleet.add_vm()
    fleet.run(16.0)
    fleet.assert_limits_kept()


def test_request_without_room_is_refused_at_once_with_a_time_to_return(make_fleet):
    """All servers state a limit, and the requests are three times as many."""
    fleet = make_fleet(6, 3.0, arrivals_per_s=60.0)
    fleet.run(16.0)
    fleet.assert_limits_kept()
    late = [action for at, action in fleet.refusals if at > 6.0]
    assert len(late) > 100
    assert all(action.retry_after_s for action in late)
    held = [action for action in late if "no server was free" in action.detail]
    assert len(held) < len(late) / 10


def test_limit_ends_when_the_server_states_it_no_more(make_fleet):
    fleet = make_fleet(6, 1.0, arrivals_per_s=60.0)
    fleet.run(8.0)
    fleet.limits = {}
    fleet.run(16.0)
    fleet.refusals.clear()
    fleet.run(20.0)
    assert not fleet.refusals


def test_non_idempotent_request_waits_for_a_limited_server_beside_a_failing_one(
    make_fleet,
):
    """A server in a failure spell has room, but the request cannot be repeated."""
    fleet = make_fleet(3, 8.0, n_servers=4, n_vms=2, arrivals_per_s=16.0)
    fleet.idempotent = False
    fleet.failing = {"s3"}
    fleet.run(16.0)
    statuses = [status for at, status in fleet.statuses if at > 6.0]
    assert statuses.count(500) < len(statuses) / 10
    fleet.assert_limits_kept()
