"""Runs one deployment under load and faults and records what happens."""

import time
from collections.abc import Mapping
from typing import Any

from wagtailpaddle_standins.deployments import Deployment, read_example
from wagtailpaddle_standins.load import CallerPlan, Done
from wagtailpaddle_standins.report.episodes import (
    BACKGROUND_ERRORS,
    Episode,
    Step,
    duration_s,
    induce,
    plan_episodes,
    steps,
)
from wagtailpaddle_standins.report.measures import Recording, is_refused
from wagtailpaddle_standins.report.watch import Watcher
from wagtailpaddle_standins.runs import count_runs, start_load
from wagtailpaddle_standins.system import System

TOTAL_RATE = 110.0
GREEDY_FACTOR = 10.0
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
        accounts = deployment.accounts()
        greedy = min(accounts, key=lambda name: accounts[name]["rate"])
        callers = plan_callers(system, deployment, greedy)
        length_s = duration_s(episodes)
        load = start_load(system, callers, duration_s=length_s, seed=seed)
        begin = time.monotonic()
        wall_begin = time.time()
        watcher = watch(system, episodes, begin, length_s)
        done = load.finish()
        broken = check(system, done, greedy, accounts[greedy])
        return Recording(
            site,
            len(system.daemons),
            len(system.servers),
            greedy,
            wall_begin,
            length_s,
            episodes,
            tuple(watcher.changes),
            tuple(done),
            tuple(broken),
        )


def plan_callers(
    system: System, deployment: Deployment, greedy: str
) -> list[CallerPlan]:
    """Return callers within their rates, but for the greedy one."""
    accounts = deployment.accounts()
    total = sum(table["rate"] for table in accounts.values())
    paths = paths_of(deployment)
    callers = []
    for name, table in sorted(accounts.items()):
        rate = TOTAL_RATE * table["rate"] / total
        if name == greedy:
            rate = GREEDY_FACTOR * table["rate"]
        secret = system.issue(name)["secret"]
        callers.append(CallerPlan(name, secret, rate, paths, timeout_s=TIMEOUT_S))
    return callers


def paths_of(deployment: Deployment) -> tuple[str, ...]:
    """Return a request for each route whose service has servers at the site."""
    services = deployment.overlay["services"]
    return tuple(
        f"{route['methods'][0]} {route['path']}"
        for _, route in sorted(deployment.base["routes"].items())
        if services.get(route["service"], {}).get("servers")
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


def check(
    system: System, done: list[Done], greedy: str, limit: Mapping[str, Any]
) -> list[str]:
    """Return the promises that did not hold, seen from outside."""
    runs = count_runs(system)
    broken = [f"{path} ran {n} times" for path, n in runs.items() if n > 1]
    broken += [
        f"{item.path} ran but was refused with {item.kind}"
        for item in done
        if is_refused(item) and runs[item.path]
    ]
    broken += [
        f"{item.path}: {item.kind}" for item in done if item.kind == "wrong-answer"
    ]
    if any("wp_" in str(item) for item in system.seen()):
        broken.append("a backend server saw a key")
    served = [item for item in done if item.account == greedy and item.status == 200]
    elapsed_s = max(item.at + item.latency_s for item in done) - done[0].at
    allowed = limit["burst"] + limit["rate"] * elapsed_s + 1
    if len(served) > allowed:
        broken.append(f"{greedy} got {len(served)} requests, {allowed:.0f} allowed")
    return broken + system.complaints()
