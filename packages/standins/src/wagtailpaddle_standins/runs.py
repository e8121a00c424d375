"""Starts load runs against a system and reads their results."""

import json
import os
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from wagtailpaddle_standins.load import CallerPlan, Plan, RequestResult
from wagtailpaddle_standins.system import System

LOAD_GRACE_S = 30.0
CATALOGUE = "GET /catalogue"
DELIVERIES = "POST /deliveries"


@dataclass(frozen=True, slots=True)
class LoadRun:
    """A load run in progress; ``finish`` waits for its end."""

    system: System
    name: str
    output: Path
    duration_s: float

    def finish(self) -> list[RequestResult]:
        """Wait for the load to end and return its results by request number.

        Raises ``RuntimeError`` if the load process failed.
        """
        status = self.system.processes.wait(
            self.name, timeout_s=self.duration_s + LOAD_GRACE_S
        )
        if status != 0:
            raise RuntimeError(f"load process exited with status {status}")
        lines = self.output.read_text().splitlines()
        done = [RequestResult(**json.loads(line)) for line in lines]
        return sorted(done, key=lambda item: item.number)


def start_load(
    system: System,
    callers: Sequence[CallerPlan],
    *,
    duration_s: float,
    seed: int = 1,
) -> LoadRun:
    """Start a load run against ``system`` in a separate process."""
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
    """Return how often the backend servers processed each POST, by path."""
    return Counter(
        item["uri"].partition("?")[0]
        for item in system.received_requests()
        if item["method"] == "POST"
    )
