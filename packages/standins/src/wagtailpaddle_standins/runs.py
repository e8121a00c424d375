"""Runs of the load beside a system, and what they show."""

import json
import os
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from wagtailpaddle_standins.load import CallerPlan, Done, Plan
from wagtailpaddle_standins.system import System

LOAD_GRACE_S = 30.0
CATALOGUE = "GET /catalogue"
DELIVERIES = "POST /deliveries"


@dataclass(frozen=True, slots=True)
class LoadRun:
    """A load in progress; ``finish`` waits for its end."""

    system: System
    name: str
    output: Path
    duration_s: float

    def finish(self) -> list[Done]:
        """Return how every request ended, in order of their numbers."""
        status = self.system.processes.wait(
            self.name, timeout_s=self.duration_s + LOAD_GRACE_S
        )
        if status != 0:
            raise RuntimeError(f"the load ended with status {status}")
        lines = self.output.read_text().splitlines()
        done = [Done(**json.loads(line)) for line in lines]
        return sorted(done, key=lambda item: item.number)


def start_load(
    system: System,
    callers: Sequence[CallerPlan],
    *,
    duration_s: float,
    seed: int = 1,
) -> LoadRun:
    """Start a load on ``system`` in a process of its own."""
    folder = Path(tempfile.mkdtemp(prefix="wagtailpaddle-load-"))
    seeds = tuple(daemon.caller for daemon in system.daemons)
    name = f"load-{next(system.load_numbers)}"
    plan = Plan(seeds, tuple(callers), duration_s, seed, name)
    source = folder / "plan.json"
    source.write_text(json.dumps(asdict(plan)))
    output = folder / "done.jsonl"
    args = [os.fspath(source), f"--output={output}"]
    system.processes.start(name, "wagtailpaddle_standins.load", args)
    return LoadRun(system, name, output, duration_s)


def count_runs(system: System) -> Counter[str]:
    """Return how often backend servers ran each non-idempotent request."""
    return Counter(
        item["uri"].partition("?")[0]
        for item in system.seen()
        if item["method"] == "POST"
    )
