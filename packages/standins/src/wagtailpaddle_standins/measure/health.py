"""Measures of outlier detection at the sizes of the two example deployments."""

from collections.abc import Iterable, Iterator

from wagtailpaddle_standins.measure.background import Background
from wagtailpaddle_standins.measure.registry import LONG_MEASURES, MEASURES
from wagtailpaddle_standins.measure.trials import (
    Plan,
    format_time,
    quantile,
    report,
    run_cold_start,
    run_half_down,
    run_incident,
    run_path,
    run_trials,
)

KINDS = (
    "down",
    "hang",
    "fails-all-work",
    "errors-20%",
    "slow-20%",
    "slow-x5",
    "hang-20%",
    "flapping",
)
MAIN_KINDS = ("down", "fails-all-work", "errors-20%")
PATHS = ("path of one VM", "path of a zone")
POOLS = {"namur": (12, 10), "returhuset": (15, 10)}
BASELINES = ("previous", "consecutive", "none")
SERVICE_RATE = 50.0
N_VMS = 36
ADVISED = {"namur": 0.4, "returhuset": 0.7}
SENSITIVITIES = (0.2, 0.5, 0.8, 1.0)


@MEASURES.register("health")
def health(seed: int) -> Iterator[str]:
    """Compare the policies on a few trials, in some minutes.

    So few trials show whether a fault is detected but give no p95 of the time to
    detection; ``health-main`` and ``health-long`` do.
    """
    for site, sizes in POOLS.items():
        for size in sizes:
            yield f"{site}: {size} servers, {SERVICE_RATE:.0f} requests/s, 36 VMs"
            yield from detection("scan", size, seed, n_trials=2)
            for policy in BASELINES:
                yield from detection(policy, size, seed, n_trials=1, kinds=MAIN_KINDS)
    yield run_incident(Plan("scan", "incident-30%", 12, 1, seed))
    for kind in PATHS:
        yield run_path(Plan("scan", kind, 12, 1, seed))
    yield run_half_down(Plan("scan", "half", 12, 1, seed))
    yield from false_ejections("scan", 12, seed, server_days=2, vm_days=5)
    yield from false_ejections("previous", 12, seed, server_days=2, vm_days=0)


@LONG_MEASURES.register("health-long")
def health_long(seed: int) -> Iterator[str]:
    """Repeat the comparison with enough trials for a p95."""
    for site, sizes in POOLS.items():
        for size in sizes:
            yield f"{site}: {size} servers, {SERVICE_RATE:.0f} requests/s, 36 VMs"
            yield from detection("scan", size, seed, n_trials=20)
    for policy in BASELINES:
        yield from detection(policy, 12, seed, n_trials=8)
    for policy in ("scan", *BASELINES):
        yield from harmless(policy, 12, seed, n_trials=4)


@LONG_MEASURES.register("health-main")
def health_main(seed: int) -> Iterator[str]:
    """Run the faults that have targets, for a p95 at each recommended sensitivity."""
    for sensitivity in (0.5, ADVISED["returhuset"], ADVISED["namur"]):
        yield f"sensitivity {sensitivity}"
        for kind in MAIN_KINDS:
            plan = Plan("scan", kind, 12, 100, seed, SERVICE_RATE, sensitivity)
            yield report(plan, run_trials(plan))


@LONG_MEASURES.register("health-false")
def health_false(seed: int) -> Iterator[str]:
    """Count false ejections over enough server-days for a useful bound."""
    yield from false_ejections("scan", 12, seed, server_days=60, vm_days=100)


@LONG_MEASURES.register("health-curves")
def health_curves(seed: int) -> Iterator[str]:
    """Show detection time against false ejections over sensitivity (default floor)."""
    for sensitivity in SENSITIVITIES:
        yield from curve(seed, sensitivity)


def detection(
    policy: str,
    n_servers: int,
    seed: int,
    *,
    n_trials: int,
    kinds: tuple[str, ...] = KINDS,
) -> Iterator[str]:
    """Run trials of the kinds of fault that should be detected."""
    for kind in kinds:
        plan = Plan(policy, kind, n_servers, n_trials, seed, SERVICE_RATE)
        yield report(plan, run_trials(plan))


def harmless(policy: str, n_servers: int, seed: int, *, n_trials: int) -> Iterable[str]:
    """Run faults that should eject no server, or avoid it on the affected VMs only."""
    for kind in ("incident-30%", "incident-slow"):
        yield run_incident(Plan(policy, kind, n_servers, n_trials, seed))
    for kind in PATHS:
        yield run_path(Plan(policy, kind, n_servers, n_trials, seed))
    yield run_cold_start(Plan(policy, "cold", n_servers, n_trials, seed))
    yield run_half_down(Plan(policy, "half", n_servers, n_trials, seed))


def false_ejections(
    policy: str, n_servers: int, seed: int, *, server_days: float, vm_days: float
) -> Iterator[str]:
    """Count false ejections by the fleet and by single VMs."""
    rate = SERVICE_RATE / n_servers
    fleet = Background(policy, n_servers, rate, 0.5).run(seed, server_days)
    yield f"false ejections, {policy}, fleet: {fleet}"
    if vm_days:
        alone = Background(policy, n_servers, rate / N_VMS, 0.5, fleet=False)
        found = alone.run(seed, vm_days)
        yield f"false ejections, {policy}, one VM alone: {found}"


def curve(seed: int, sensitivity: float) -> Iterator[str]:
    """Yield detection times and false ejections at one sensitivity."""
    times = []
    for kind in MAIN_KINDS:
        plan = Plan("scan", kind, 12, 6, seed, SERVICE_RATE, sensitivity)
        detected = [trial.detected_s for trial in run_trials(plan)]
        p50, p95 = (format_time(quantile(detected, share)) for share in (0.5, 0.95))
        times.append(f"{kind} p50 {p50} s p95 {p95} s")
    background = Background("scan", 12, SERVICE_RATE / 12, sensitivity)
    found = background.run(seed, 6)
    yield f"sensitivity {sensitivity}: {'; '.join(times)}; false {found}"
