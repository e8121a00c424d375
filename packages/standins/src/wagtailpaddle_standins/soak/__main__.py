"""Runs complete nodes under random faults and checks every guarantee.

Example: ``python -m wagtailpaddle_standins.soak --seed 7 --steps 300``.
"""

import argparse
from collections import Counter
from functools import partial

from wagtailpaddle_core import AccountId

from wagtailpaddle_standins.fakes.fabric import NetworkFaults
from wagtailpaddle_standins.soak.faults import FAULTS, set_platform
from wagtailpaddle_standins.soak.world import ACCOUNTS, World

WARM_UP_S = 15.0
STEP_S = 1.0
RECOVERY_S = 45.0
FAULT_RATE = 0.35
REQUESTS_PER_STEP = {"large": 40, "medium": 14, "small": 3}
REPEAT_RATE = 0.3


def run(seed: int, n_steps: int, *, n_vms: int = 5) -> tuple[World, list[str]]:
    """Run one seed; return the world and the list of violations."""
    world = World(seed, n_vms=n_vms)
    world.fabric.run_until(WARM_UP_S)
    for _ in range(n_steps):
        step(world)
    return world, recover(world) + world.audit.conclude()


def step(world: World, *, fault_rate: float = FAULT_RATE) -> None:
    """Simulate one second with requests and, at random, faults."""
    random = world.random
    begin = world.fabric.now
    while random.random() < fault_rate:
        fault = FAULTS[random.choice(FAULTS.names())]
        world.fabric.at(begin + random.uniform(0.0, STEP_S), partial(fault, world))
    for name in ACCOUNTS:
        for _ in range(REQUESTS_PER_STEP[name]):
            at = begin + random.uniform(0.0, STEP_S)
            world.fabric.at(at, partial(send, world, AccountId(name)))
    world.fabric.run_until(begin + STEP_S)


def send(world: World, account: AccountId) -> None:
    """Send a random request to a random VM, and perhaps resend it to another one."""
    hosts = world.live()
    if not hosts:
        return
    random = world.random
    path = random.choice(("/read", "/act"))
    key = ""
    if path == "/act" and random.random() < 0.5:
        key = f"key-{world.n_requests}"
    first = random.choice(hosts)
    world.fabric.on(
        first.process,
        world.fabric.now,
        lambda: world.request(first, account, path, key),
    )
    if key and random.random() < REPEAT_RATE:
        second = random.choice(hosts)
        world.fabric.on(
            second.process,
            world.fabric.now + random.choice((0.0, 0.01, 0.5, 3.0)),
            lambda: world.request(second, account, path, key),
        )


def recover(world: World) -> list[str]:
    """End every fault, wait, and return what has not recovered."""
    set_platform(world, is_up=True)
    world.platform.lost = 0.0
    world.fabric.cuts.clear()
    world.fabric.network_faults = NetworkFaults()
    world.servers.modes.clear()
    world.fabric.run_until(world.fabric.now + RECOVERY_S)
    problems = []
    hosts = world.live()
    revisions = {host.node.configuration.revision for host in hosts}
    if len(revisions) != 1:
        problems.append(f"revisions differ after recovery: {sorted(revisions)}")
    for host in hosts:
        now = world.fabric.clock(host.process)
        if not host.node.is_fresh(now):
            problems.append(f"{host.process.name} is not fresh after recovery")
        if host.exchanges:
            left = len(host.exchanges)
            problems.append(f"{host.process.name} never answered {left} requests")
    n_before = world.audit.served.total()
    for _ in range(3):
        step_without_faults(world)
    if world.audit.served.total() == n_before:
        problems.append("nothing is served after recovery")
    world.fabric.run_until(world.fabric.now + 10.0)
    return problems


def step_without_faults(world: World) -> None:
    """Simulate one second with requests and no faults."""
    begin = world.fabric.now
    for name in ACCOUNTS:
        for index in range(3):
            at = begin + index / 3
            world.fabric.at(at, partial(send, world, AccountId(name)))
    world.fabric.run_until(begin + STEP_S)


def report(world: World, seed: int, broken: list[str]) -> str:
    """Return a readable summary of a run."""
    refused = Counter({kind.value: n for kind, n in world.audit.refused.items()})
    lines = [
        f"seed {seed}: {world.fabric.now:.0f} s, {world.n_requests} requests,"
        f" {world.audit.served.total()} served, {refused.total()} refused,"
        f" {world.fabric.n_messages} messages",
        "refused: " + ", ".join(f"{kind} {n}" for kind, n in refused.most_common()),
    ]
    causes = world.freshness.causes
    if causes:
        counts = ", ".join(f"{cause.value} {n}" for cause, n in causes.most_common())
        lines.append(f"not-fresh: {counts}")
    kinds = Counter(line.partition(" at ")[0] for line in broken)
    lines += [f"BROKEN {n}x {line}" for line, n in kinds.most_common(20)]
    return "\n".join(lines)


def main() -> int:
    """Run one seed or several in turn; return 1 if any guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=120, help="seconds with faults")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds in turn")
    parser.add_argument("--vms", type=int, default=5)
    args = parser.parse_args()
    failed = False
    for seed in range(args.seed, args.seed + args.seeds):
        world, broken = run(seed, args.steps, n_vms=args.vms)
        print(report(world, seed, broken), flush=True)
        failed = failed or bool(broken)
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
