"""Servers that shed requests although they have free slots.

For seconds, half of all attempts end at once with a shed answer while the
server's reported load is low. This is no sign of overload: the limits must not
decrease. Refused callers get a short Retry-After, because the next attempt has
the same chance as any other.
"""

from random import Random

import pytest
from wagtailpaddle_core import ErrorKind
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
N_SERVERS = 12
WORK_S = 0.25
GOOD = AttemptResult(AttemptOutcome.ANSWERED, WORK_S, 200, load=0.5)
SHED_WITH_ROOM = AttemptResult(AttemptOutcome.SHED, 0.001, 503, load=0.5)
SHED_WHEN_FULL = AttemptResult(AttemptOutcome.SHED, 0.001, 503, load=1.0)


class LoadGenerator:
    """Sends requests at a fixed rate to servers that shed some at random."""

    def __init__(self, shed, *, share, seed):
        self.dispatcher = Dispatcher(
            picker="freshest", queue="ranked", reserved=0.0, charge_shed=True, seed=seed
        )
        self.random = Random(seed)
        self.shed, self.share = shed, share
        self.running, self.refused, self.n_sent = [], [], 0
        views = tuple(
            ServerView(f"s{n}", "a", slots=4, connections=300) for n in range(N_SERVERS)
        )
        self.dispatcher.set_servers(0.0, SERVICE, views)

    def run(self, until, *, per_s):
        now = 0.0
        while now < until:
            now += 1.0 / per_s
            self.finish_due(now)
            self.n_sent += 1
            job = Job(f"r{self.n_sent}", "x", SERVICE, False, now, now + 2.0)
            self.handle(now, self.dispatcher.arrive(now, job))
            self.handle(now, self.dispatcher.tick(now))

    def finish_due(self, now):
        for ends_at, action in sorted(self.running, key=lambda item: item[0]):
            if ends_at <= now:
                self.running.remove((ends_at, action))
                self.handle(now, self.dispatcher.finish(now, action.request, GOOD))

    def handle(self, now, actions):
        for action in actions:
            if isinstance(action, Refuse):
                self.refused.append(action)
            elif isinstance(action, Dispatch) and self.random.random() < self.share:
                retry_actions = self.dispatcher.finish(now, action.request, self.shed)
                self.handle(now, retry_actions)
            elif isinstance(action, Dispatch):
                self.running.append((now + WORK_S, action))


@pytest.mark.parametrize("seed", range(4))
def test_shed_answers_with_free_slots_lower_no_limit(seed):
    generator = LoadGenerator(SHED_WITH_ROOM, share=0.55, seed=seed)
    generator.run(20.0, per_s=100)
    refused_in_queue = [
        item for item in generator.refused if item.detail.startswith("no server")
    ]
    assert refused_in_queue == []
    (status,) = generator.dispatcher.status(20.0)
    assert status.capacity >= N_SERVERS * 4


@pytest.mark.parametrize("seed", range(4))
def test_refused_callers_get_a_short_jittered_retry_after(seed):
    generator = LoadGenerator(SHED_WITH_ROOM, share=0.55, seed=seed)
    generator.run(5.0, per_s=100)
    times = [item.retry_after_s for item in generator.refused]
    assert {item.kind for item in generator.refused} == {ErrorKind.OVERLOADED}
    assert times and all(0.0 < item <= 0.1 for item in times)
    assert len(set(times)) > len(times) / 2


def test_shed_answers_of_full_servers_lower_the_limit():
    generator = LoadGenerator(SHED_WHEN_FULL, share=0.55, seed=1)
    generator.run(5.0, per_s=100)
    (status,) = generator.dispatcher.status(5.0)
    assert status.capacity < N_SERVERS * 4


def test_server_with_recent_shed_answers_is_tried_last():
    dispatcher = Dispatcher(picker="freshest", seed=1, charge_shed=True)
    views = tuple(ServerView(f"s{n}", "a", slots=4, connections=300) for n in range(3))
    dispatcher.set_servers(0.0, SERVICE, views)
    job = Job("r0", "x", SERVICE, False, 0.0, 2.0)
    (first,) = dispatcher.arrive(0.0, job)
    dispatcher.finish(0.001, "r0", SHED_WITH_ROOM)
    chosen = set()
    for n in range(1, 5):
        job = Job(f"r{n}", "x", SERVICE, False, 0.01, 2.0)
        (action,) = dispatcher.arrive(0.01, job)
        chosen.add(action.server)
    assert first.server not in chosen


def test_shed_request_is_retried_on_an_untried_server():
    dispatcher = Dispatcher(picker="freshest", seed=1, charge_shed=True)
    views = tuple(ServerView(f"s{n}", "a", slots=4, connections=300) for n in range(5))
    dispatcher.set_servers(0.0, SERVICE, views)
    (action,) = dispatcher.arrive(0.0, Job("r", "x", SERVICE, False, 0.0, 2.0))
    tried = [action.server]
    for _ in range(4):
        (action,) = dispatcher.finish(0.001, "r", SHED_WITH_ROOM)
        tried.append(action.server)
    assert len(set(tried)) == len(views)
