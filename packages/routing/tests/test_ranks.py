"""Overload with requests of different priorities.

A burst fills all servers. Requests of higher priority are served first,
regardless of their order of arrival. Within a rank no account starves another.
"""

import pytest
from wagtailpaddle_routing import (
    AttemptOutcome,
    AttemptResult,
    Dispatch,
    Dispatcher,
    Job,
    Refuse,
    ServerView,
)

SERVICE = "booking"
WORK_S = 0.2
N_SLOTS = 8
GOOD = AttemptResult(AttemptOutcome.ANSWERED, WORK_S, 200)


class LoadGenerator:
    """Sends requests at a fixed rate to servers that never fail."""

    def __init__(self, queue):
        self.dispatcher = Dispatcher(queue=queue, limiter="fixed", reserved=0.0, seed=1)
        views = tuple(
            ServerView(f"s{n}", "a", slots=4, connections=300)
            for n in range(N_SLOTS // 4)
        )
        self.dispatcher.set_servers(0.0, SERVICE, views)
        self.running = []
        self.started = []
        self.refused = []
        self.n_sent = 0
        self.sent_at = {}

    def send(self, now, *, account="x", rank=(0, 0), timeout_s=1.0):
        self.n_sent += 1
        name = f"{account}/{rank}/{self.n_sent}"
        self.sent_at[name] = now
        job = Job(name, account, SERVICE, True, now, now + timeout_s, rank=rank)
        self.handle(now, self.dispatcher.arrive(now, job))

    def handle(self, now, actions):
        for action in actions:
            if isinstance(action, Dispatch):
                self.started.append(action.request)
                self.running.append((now + WORK_S, action.request))
            elif isinstance(action, Refuse):
                self.refused.append((action, now))

    def advance(self, now):
        for at, request in sorted(self.running):
            if at <= now:
                self.running.remove((at, request))
                self.handle(at, self.dispatcher.finish(at, request, GOOD))
        self.handle(now, self.dispatcher.tick(now))

    def run(self, sends, until):
        """Run until ``until``; ``sends`` is a list of (interval, arguments of send)."""
        next_at = [0.0] * len(sends)
        now = 0.0
        while now < until:
            now += 0.01
            self.advance(now)
            for index, (interval_s, arguments) in enumerate(sends):
                if now >= next_at[index]:
                    next_at[index] += interval_s
                    self.send(now, **arguments)

    def served(self, part):
        return sum(part in request for request in self.started)


@pytest.fixture
def overload():
    return LoadGenerator("ranked")


def test_urgent_requests_are_served_before_others_in_a_burst(overload):
    # The servers can serve 40 requests a second; 30 urgent and 30 others arrive.
    urgent, other = (1 / 30, {"rank": (0, 1)}), (1 / 30, {"rank": (0, 2)})
    overload.run([urgent, other], until=10.0)
    n_urgent = overload.served("(0, 1)")
    n_other = overload.served("(0, 2)")
    assert n_urgent >= 0.98 * 300
    assert n_other >= 0.8 * (400 - n_urgent)


def test_account_priority_precedes_route_priority(overload):
    first = (1 / 30, {"account": "x", "rank": (0, 9)})
    second = (1 / 30, {"account": "y", "rank": (1, 0)})
    overload.run([first, second], until=10.0)
    assert overload.served("x/") >= 0.98 * 300


def test_small_account_is_not_starved_within_a_rank(overload):
    large, small = (1 / 80, {"account": "large"}), (1 / 8, {"account": "small"})
    overload.run([large, small], until=10.0)
    assert overload.served("small/") >= 0.95 * 80


def test_requests_that_would_expire_are_refused_early_with_retry_after(overload):
    overload.run([(1 / 120, {"timeout_s": 0.5})], until=5.0)
    assert overload.refused
    assert all(action.retry_after_s > 0 for action, _ in overload.refused)
    # Requests are refused before their deadline, with half of the service time left.
    waits = [now - overload.sent_at[action.request] for action, now in overload.refused]
    assert max(waits) <= 0.5 - WORK_S / 2 + 0.05
    n_immediate = sum(wait_s <= 0.02 for wait_s in waits)
    assert n_immediate >= 0.8 * len(waits)


def test_starved_requests_are_refused_on_arrival_during_urgent_overload(
    overload,
):
    # The urgent requests alone exceed the capacity of the servers.
    urgent, other = (1 / 50, {"rank": (0, 1)}), (1 / 30, {"rank": (0, 2)})
    overload.run([urgent, other], until=6.0)
    waits = [
        now - overload.sent_at[action.request]
        for action, now in overload.refused
        if "(0, 2)" in action.request and overload.sent_at[action.request] > 1.0
    ]
    assert len(waits) > 100
    n_immediate = sum(wait_s <= 0.02 for wait_s in waits)
    assert n_immediate >= 0.8 * len(waits)
