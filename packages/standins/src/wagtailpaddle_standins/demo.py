"""The demo: a small system on loopback serves eight client accounts.

Three daemons, a log service, twelve and ten backend servers, each kind in
processes of its own. One client account sends several times its rate, one
backend server fails half of its work, another hangs. Ends by itself; the exit
status says whether every promise that it checks held.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from wagtailpaddle_standins.load import CallerPlan, Done
from wagtailpaddle_standins.runs import count_runs, start_load
from wagtailpaddle_standins.system import System

DURATION_S = 8.0
RATE = 12.0
GREEDY = "account-7"
GREEDY_RATE = 80.0
GREEDY_LIMIT = {"rate": 15.0, "burst": 15.0}
PATHS = ("GET /catalogue", "POST /deliveries", "GET /inventory", "POST /claims")
MAX_LATENCY_US = 60_000_000


def main() -> int:
    """Run the demo; return 0 if every promise that it checks held."""
    with System() as system:
        done = run(system)
        broken = check(system, done)
    print(table(done))
    for line in broken:
        print("BROKEN:", line)
    print("every checked promise held" if not broken else "a promise did not hold")
    return 1 if broken else 0


def run(system: System) -> list[Done]:
    """Set the system up, send the load and return how it went."""
    document = system.base_document()
    document["accounts"][GREEDY] = GREEDY_LIMIT
    system.publish(document)
    system.wait_until_ready()
    print(f"{len(system.daemons)} daemons serve; callers begin", flush=True)
    callers = []
    for account in sorted(document["accounts"]):
        secret = system.issue(account)["secret"]
        rate = GREEDY_RATE if account == GREEDY else RATE
        callers.append(CallerPlan(account, secret, rate, PATHS, timeout_s=3.0))
    system.set_fault("booking-03", "error", fraction=0.5)
    system.set_fault("inventory-05", "hang")
    load = start_load(system, callers, duration_s=DURATION_S)
    return load.finish()


def check(system: System, done: list[Done]) -> list[str]:
    """Return the promises that did not hold, seen from outside."""
    broken = []
    runs = count_runs(system)
    broken += [f"{path} ran {n} times" for path, n in runs.items() if n > 1]
    refused = [
        item for item in done if item.kind in ("rate-exceeded", "not-fresh", "draining")
    ]
    broken += [
        f"{item.path} ran but was refused" for item in refused if runs[item.path]
    ]
    broken += system.complaints()
    if any("wp_" in str(item) for item in system.seen()):
        broken.append("a backend server saw a key")
    elapsed_s = max(item.at + item.latency_s for item in done) - done[0].at
    n_greedy = sum(item.account == GREEDY and item.status == 200 for item in done)
    allowed = GREEDY_LIMIT["burst"] + GREEDY_LIMIT["rate"] * elapsed_s
    if n_greedy > allowed:
        broken.append(f"{GREEDY} got {n_greedy} requests, {allowed:.0f} allowed")
    wrongful = Counter(item.account for item in refused if item.account != GREEDY)
    broken += [f"{name} was refused {n} times" for name, n in wrongful.items()]
    return broken


def table(done: Iterable[Done]) -> str:
    """Return what was asked, answered and refused, and why, by account."""
    by_account: dict[str, list[Done]] = defaultdict(list)
    for item in done:
        by_account[item.account].append(item)
    lines = [
        f"{'client account':<15} {'asked':>6} {'served':>7} {'p50 ms':>8}"
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
        why = ", ".join(f"{kind} {n}" for kind, n in kinds.most_common()) or "-"
        n_served = len(items) - kinds.total()
        lines.append(f"{account:<15} {len(items):>6} {n_served:>7}{quantiles}  {why}")
    return "\n".join(lines)


if __name__ == "__main__":
    raise SystemExit(main())
