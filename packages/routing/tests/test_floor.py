"""Sound servers get requests while others fail, whatever kept them away before.

Guards against sound servers without requests for 2 s while more than a tenth of a
service's requests is not served: servers that had failed once stayed without requests
for 8 s in a service without idempotent requests, and servers without a recent success
were passed over for as long as others had room.
"""

from collections import defaultdict
from random import Random

import pytest
from wagtailpaddle_routing import (
    AttemptOutcome,
    AttemptResult,
    Dispatch,
    Dispatcher,
    Job,
    ServerView,
)

SERVICE = "market"
FLOOR = 0.7
"""Part of the sound servers that must get requests."""

WINDOW_S = 2.0
RECOVERY_S = 2.0
"""A server that failed is sound again after this time, in seconds."""

MIN_UNSERVED, MAX_UNSERVED = 0.1, 0.5
"""The floor holds while this part of the requests is not served."""

WORK_S = 0.2
N_SERVERS = 14
GOOD = AttemptResult(AttemptOutcome.ANSWERED, WORK_S, 200)
ERROR = AttemptResult(AttemptOutcome.ANSWERED, 0.001, 500)


class Market:
    """Non-idempotent requests at a fixed rate to servers of which some fail.

    ``outages`` are the times from and until which a server fails every request. All
    others fail with the probability ``error_share``.
    """

    def __init__(
        self, *, per_s, seed, error_share=0.0, outages=None, picker="zone-shares"
    ):
        self.per_s, self.error_share = per_s, error_share
        self.outages = outages or {}
        self.random = Random(seed)
        self.dispatcher = Dispatcher(picker=picker, zone="a", seed=seed)
        self.views = tuple(
            ServerView(f"s{n}", "ab"[n % 2], slots=6, connections=300)
            for n in range(N_SERVERS)
        )
        self.dispatcher.set_servers(0.0, SERVICE, self.views)
        self.started, self.failed = defaultdict(list), defaultdict(list)
        self.ended = []
        self.running = []
        self.n_sent = 0

    def run(self, until):
        now = 0.0
        while now < until:
            now += 1.0 / self.per_s
            self.finish_due(now)
            self.n_sent += 1
            job = Job(f"r{self.n_sent}", "x", SERVICE, False, now, now + 2.0)
            self.handle(now, self.dispatcher.arrive(now, job))
            self.dispatcher.tick(now)

    def handle(self, now, actions):
        for action in actions:
            if not isinstance(action, Dispatch):
                continue
            self.started[action.server].append(now)
            fails = self.fails(now, action.server)
            self.running.append((now + (0.001 if fails else WORK_S), action, fails))

    def fails(self, now, server):
        begin, end = self.outages.get(server, (0.0, 0.0))
        return begin <= now < end or self.random.random() < self.error_share

    def finish_due(self, now):
        for entry in [entry for entry in self.running if entry[0] <= now]:
            self.running.remove(entry)
            at, action, fails = entry
            self.ended.append((now, fails))
            if fails:
                self.failed[action.server].append(now)
            result = ERROR if fails else GOOD
            self.handle(now, self.dispatcher.finish(now, action.request, result))

    def windows_below_floor(self, *, begin, until):
        """Return the windows in which too few sound servers got requests."""
        found = []
        at = begin
        while at <= until:
            ends = [fails for end, fails in self.ended if at - WINDOW_S < end <= at]
            unserved = sum(ends) / max(1, len(ends))
            sound = [view.id for view in self.views if self.is_sound(view.id, at)]
            used = [name for name in sound if self.is_used(name, at)]
            is_binding = MIN_UNSERVED < unserved < MAX_UNSERVED
            if is_binding and len(used) < FLOOR * len(sound):
                found.append((round(at, 2), len(used), len(sound)))
            at += 0.25
        return found

    def is_sound(self, server, at):
        begin, end = self.outages.get(server, (0.0, 0.0))
        if begin <= at and end > at - WINDOW_S - RECOVERY_S:
            return False
        since = at - WINDOW_S - RECOVERY_S
        return not any(since < failed <= at for failed in self.failed[server])

    def is_used(self, server, at):
        return any(at - WINDOW_S < start <= at for start in self.started[server])


@pytest.mark.parametrize("per_s", [20, 60, 130])
@pytest.mark.parametrize("seed", range(3))
def test_servers_that_failed_once_get_requests_again_while_others_fail(per_s, seed):
    """Half of the servers fail for a second, and then a few others do for long."""
    outages = {f"s{n}": (1.0, 2.5) for n in range(8)}
    outages |= {f"s{n}": (3.0, 12.0) for n in range(8, 11)}
    market = Market(per_s=per_s, seed=seed, error_share=0.12, outages=outages)
    market.run(12.0)
    assert not market.windows_below_floor(begin=6.0, until=12.0)


@pytest.mark.parametrize("picker", ["zone-shares", "freshest", "balanced"])
@pytest.mark.parametrize("per_s", [20, 60])
@pytest.mark.parametrize("seed", range(3))
def test_servers_without_a_recent_success_are_not_passed_over(per_s, seed, picker):
    market = Market(per_s=per_s, seed=seed, error_share=0.15, picker=picker)
    market.run(12.0)
    assert not market.windows_below_floor(begin=4.0, until=12.0)
