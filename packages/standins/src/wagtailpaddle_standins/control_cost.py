"""Measures what idle daemons use for control: processor time and memory.

Starts real fleets of several sizes on loopback without callers' requests and
reads the kernel's counters of each daemon.
"""

import argparse
import os
import time
from dataclasses import dataclass
from pathlib import Path

from wagtailpaddle_standins.system import System

SIZES = (1, 3, 6)
SETTLE_S = 5.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Average of one daemon: fraction of a core, and resident bytes."""

    n_vms: int
    core_fraction: float
    resident_bytes: float


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure(n_vms: int, seconds: float) -> Cost:
    """Return the average cost of each daemon of an idle fleet."""
    with System(n_daemons=n_vms) as system:
        system.publish(system.base_document())
        system.wait_until_ready()
        time.sleep(SETTLE_S)
        running = system.processes.running
        pids = [running[f"daemon-{index}"].pid for index in range(n_vms)]
        before = sum(map(cpu_seconds, pids))
        time.sleep(seconds)
        used = sum(map(cpu_seconds, pids)) - before
        memory = sum(map(resident_bytes, pids))
    return Cost(n_vms, used / seconds / n_vms, memory / n_vms)


def main() -> None:
    """Print a line for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    args = parser.parse_args()
    for n_vms in SIZES:
        cost = measure(n_vms, args.seconds)
        print(
            f"{cost.n_vms} VMs: {cost.core_fraction:.2%} of a core,"
            f" {cost.resident_bytes / 1e6:.1f} MB resident, each",
            flush=True,
        )


if __name__ == "__main__":
    main()
