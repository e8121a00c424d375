"""Runs one deployment under load and faults and records what happens."""

import time

from wagtailpaddle_standins.callers import greedy_account, plan_callers
from wagtailpaddle_standins.checks import violated_guarantees
from wagtailpaddle_standins.deployments import read_example
from wagtailpaddle_standins.report.episodes import (
    BACKGROUND_ERRORS,
    Episode,
    Step,
    duration_s,
    induce,
    plan_episodes,
    steps,
)
from wagtailpaddle_standins.report.measures import Recording
from wagtailpaddle_standins.report.watch import Watcher
from wagtailpaddle_standins.runs import start_load
from wagtailpaddle_standins.system import System

TOTAL_RATE = 110.0
LOOK_EVERY_S = 0.2
TIMEOUT_S = 4.0


def record(site: str, seed: int) -> Recording:
    """Return what happened in a run of an example's deployment."""
    deployment = read_example(site)
    episodes = plan_episodes(list(deployment.servers()), seed)
    with System(deployment) as system:
        system.deploy()
        for server in system.servers:
            system.set_fault(server, "error", fraction=BACKGROUND_ERRORS)
        callers = plan_callers(system, total_rate=TOTAL_RATE, timeout_s=TIMEOUT_S)
        length_s = duration_s(episodes)
        load = start_load(system, callers, duration_s=length_s, seed=seed)
        begin = time.monotonic()
        wall_begin = time.time()
        watcher = watch(system, episodes, begin, length_s)
        done = load.finish()
        broken = violated_guarantees(system, done)
        return Recording(
            site,
            len(system.daemons),
            len(system.servers),
            greedy_account(deployment),
            wall_begin,
            length_s,
            episodes,
            tuple(watcher.changes),
            tuple(done),
            tuple(broken),
        )


def watch(
    system: System, episodes: tuple[Episode, ...], begin: float, length_s: float
) -> Watcher:
    """Induce the faults in their time and look at the daemons in between."""
    services = sorted(system.deployment.overlay["services"])
    operators = [system.operator(index) for index in range(len(system.daemons))]
    watcher = Watcher(operators, services, lambda: time.monotonic() - begin)
    waiting: list[Step] = steps(episodes)
    while (elapsed_s := time.monotonic() - begin) < length_s:
        while waiting and waiting[0].at_s <= elapsed_s:
            induce(system, waiting.pop(0))
        watcher.look()
        time.sleep(LOOK_EVERY_S)
    return watcher
