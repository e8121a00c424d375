"""The demo: a small system on loopback serves eight client accounts.

Runs the example deployment of Namur: three daemons, a log service, and twelve
and ten backend servers of two services, in separate processes. One client
account sends ten times its rate, one backend server fails half of its
requests, and another hangs. The demo ends by itself; the exit status is 0 if
all checked guarantees held.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from wagtailpaddle_standins.callers import greedy_account, plan_callers
from wagtailpaddle_standins.checks import violated_guarantees
from wagtailpaddle_standins.deployments import read_example
from wagtailpaddle_standins.load import RequestResult
from wagtailpaddle_standins.runs import start_load
from wagtailpaddle_standins.system import System

DURATION_S = 8.0
TOTAL_RATE = 100.0
TIMEOUT_S = 3.0
UNEXPECTED_KINDS = frozenset({"rate-exceeded", "not-fresh", "draining"})
MAX_LATENCY_US = 60_000_000


def main() -> int:
    """Run the demo; return 0 if all checked guarantees held."""
    with System(read_example("namur")) as system:
        done = run(system)
        violations = check(system, done)
    print(table(done))
    for line in violations:
        print("BROKEN:", line)
    print(
        "all checked guarantees held"
        if not violations
        else "some guarantees did not hold"
    )
    return 1 if violations else 0


def run(system: System) -> list[RequestResult]:
    """Deploy the system, run the load and return the results."""
    system.deploy()
    print(f"{len(system.daemons)} daemons are ready; starting callers", flush=True)
    callers = plan_callers(system, total_rate=TOTAL_RATE, timeout_s=TIMEOUT_S)
    system.set_fault("booking-03", "error", fraction=0.5)
    system.set_fault("inventory-05", "hang")
    load = start_load(system, callers, duration_s=DURATION_S)
    return load.finish()


def check(system: System, done: list[RequestResult]) -> list[str]:
    """Return one line for each guarantee that was violated."""
    greedy = greedy_account(system.deployment)
    unexpected = Counter(
        item.account
        for item in done
        if item.kind in UNEXPECTED_KINDS and item.account != greedy
    )
    refused = [f"{name} was refused {n} times" for name, n in unexpected.items()]
    return violated_guarantees(system, done) + refused


def table(done: Iterable[RequestResult]) -> str:
    """Return a text table of requests, latencies and refusals by account."""
    by_account: dict[str, list[RequestResult]] = defaultdict(list)
    for item in done:
        by_account[item.account].append(item)
    lines = [
        f"{'client account':<16} {'asked':>6} {'served':>7} {'p50 ms':>8}"
        f" {'p90 ms':>8} {'p99 ms':>8}  refused or failed"
    ]
    for account, items in sorted(by_account.items()):
        histogram = HdrHistogram(1, MAX_LATENCY_US, 2)
        kinds = Counter(item.kind for item in items if item.status != 200)
        for item in items:
            if item.status == 200:
                histogram.record_value(max(1, int(item.latency_s * 1e6)))
        quantiles = "".join(
            f" {histogram.get_value_at_percentile(percent) / 1000:8.1f}"
            for percent in (50, 90, 99)
        )
        reasons = ", ".join(f"{kind} {n}" for kind, n in kinds.most_common()) or "-"
        n_served = len(items) - kinds.total()
        lines.append(
            f"{account:<16} {len(items):>6} {n_served:>7}{quantiles}  {reasons}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    raise SystemExit(main())
