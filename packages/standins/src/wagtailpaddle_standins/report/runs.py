"""Runs one deployment under load and injected faults and records the run."""

import time

from wagtailpaddle_standins.callers import greedy_account, plan_callers
from wagtailpaddle_standins.checks import violated_guarantees
from wagtailpaddle_standins.deployments import read_example
from wagtailpaddle_standins.report.episodes import (
    BACKGROUND_ERROR_SHARE,
    Episode,
    Step,
    duration_s,
    inject_fault,
    plan_episodes,
    steps,
)
from wagtailpaddle_standins.report.measures import Recording
from wagtailpaddle_standins.report.watch import Watcher
from wagtailpaddle_standins.runs import start_load
from wagtailpaddle_standins.system import System

TOTAL_RATE = 110.0
POLL_INTERVAL_S = 0.2
TIMEOUT_S = 4.0


def record_run(site: str, seed: int) -> Recording:
    """Run an example deployment and return the recording."""
    deployment = read_example(site)
    episodes = plan_episodes(list(deployment.servers()), seed)
    with System(deployment) as system:
        system.deploy()
        for server in system.servers:
            system.set_fault(server, "error", fraction=BACKGROUND_ERROR_SHARE)
        callers = plan_callers(system, total_rate=TOTAL_RATE, timeout_s=TIMEOUT_S)
        length_s = duration_s(episodes)
        load = start_load(system, callers, duration_s=length_s, seed=seed)
        started_at = time.monotonic()
        wall_started_at = time.time()
        watcher = watch(system, episodes, started_at, length_s)
        done = load.finish()
        broken = violated_guarantees(system, done)
        return Recording(
            site,
            len(system.daemons),
            len(system.servers),
            greedy_account(deployment),
            wall_started_at,
            length_s,
            episodes,
            tuple(watcher.changes),
            tuple(done),
            tuple(broken),
        )


def watch(
    system: System, episodes: tuple[Episode, ...], started_at: float, length_s: float
) -> Watcher:
    """Inject the faults on schedule and poll the daemons in between."""
    services = sorted(system.deployment.overlay["services"])
    operators = [system.operator(index) for index in range(len(system.daemons))]
    watcher = Watcher(operators, services, lambda: time.monotonic() - started_at)
    pending: list[Step] = steps(episodes)
    while (elapsed_s := time.monotonic() - started_at) < length_s:
        while pending and pending[0].at_s <= elapsed_s:
            inject_fault(system, pending.pop(0))
        watcher.poll()
        time.sleep(POLL_INTERVAL_S)
    return watcher
