"""Detection trials: one fault in each pool, run until half of the VMs react."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean

from wagtailpaddle_core import ServerId, ServiceId
from wagtailpaddle_health import ServerState

from wagtailpaddle_standins.measure.faults import FAULTS, incident, incident_slow
from wagtailpaddle_standins.measure.pools import (
    ACCOUNTS,
    EXCLUDED_STATES,
    SimulatedFleet,
    SimulatedPool,
)

SETTLE_S = 5.0
MAX_TRIAL_S = 15.0
MIN_COUNTED_S = 5.0
STEP_S = 0.05
DETECTED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a set of trials; ``rate`` is requests/s to the service."""

    policy: str
    kind: str
    n_servers: int
    n_trials: int
    seed: int
    rate: float = 50.0
    sensitivity: float = 0.5


@dataclass(frozen=True, slots=True)
class Trial:
    """Outcome of one trial; times in seconds, None if the event did not happen.

    ``detected_s`` is the time until half of the VMs sent the server no more
    requests, ``first_s`` the time until the first VM did so. Until detection,
    ``n_failed_requests`` counts the requests that failed for their callers, and
    ``n_failed_attempts`` all failed attempts, also those that a retry made good.
    ``n_wrong`` is the number of healthy servers that are ejected or avoided,
    averaged over the VMs. ``n_refused`` of ``n_requests`` found no server, and
    ``lost_by`` of ``sent_by`` failed, by client account. These four are counted
    from the fault until the later of ``MIN_COUNTED_S`` seconds and detection.
    """

    detected_s: float | None
    first_s: float | None
    n_failed_attempts: int
    n_failed_requests: int
    n_wrong: float
    n_requests: int
    n_refused: int
    sent_by: tuple[int, ...]
    lost_by: tuple[int, ...]


def quantile(times: Sequence[float | None], share: float) -> float | None:
    """Return a quantile of times, where None is greater than any number."""
    ranked = sorted(times, key=lambda item: (item is None, item or 0.0))
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def format_time(seconds: float | None, max_s: float = MAX_TRIAL_S) -> str:
    """Format a time for the report; None becomes a lower bound."""
    return f">{max_s:.0f}" if seconds is None else f"{seconds:.2f}"


def start_fleet(plan: Plan) -> tuple[SimulatedFleet, list[SimulatedPool]]:
    """Return a fleet with one pool for each trial, after a settling time."""
    fleet = SimulatedFleet(policy=plan.policy, seed=plan.seed)
    pools = []
    for index in range(plan.n_trials):
        pool = SimulatedPool(
            ServiceId(f"{plan.kind}-{index}"), plan.n_servers, plan.rate
        )
        fleet.add(pool, sensitivity=plan.sensitivity)
        fleet.warm_up(pool)
        pools.append(pool)
    fleet.run_until(SETTLE_S)
    return fleet, pools


def run_trials(plan: Plan) -> list[Trial]:
    """Inject the plan's fault into one server of each pool and wait for detection."""
    fleet, pools = start_fleet(plan)
    fault = FAULTS[plan.kind]
    for pool in pools:
        pool.faults[pool.servers[0]] = (fleet.now, fault)
    return run_until_detected(fleet, pools)


def run_until_detected(
    fleet: SimulatedFleet, pools: Sequence[SimulatedPool]
) -> list[Trial]:
    """Run until the fault of each pool's first server is detected."""
    started_at = fleet.now
    observers = [_TrialObserver(pool, started_at) for pool in pools]
    running = list(observers)
    while running and fleet.now < started_at + MAX_TRIAL_S:
        fleet.run_until(fleet.now + STEP_S)
        running = [item for item in running if not item.update(fleet)]
    return [item.trial(fleet) for item in observers]


class _TrialObserver:
    """Observes one trial from the injection of its fault."""

    def __init__(self, pool: SimulatedPool, started_at: float) -> None:
        self._pool = pool
        self._started_at = started_at
        self._first_s: float | None = None
        self._detected_s: float | None = None
        self._failed = (0, 0)
        self._before = failure_counts(pool)
        self._n_before = (pool.n_requests, pool.n_refused)
        pool.n_sent_by.clear()
        pool.n_lost_by.clear()

    def update(self, fleet: SimulatedFleet) -> bool:
        """Record the present state; return whether the trial has ended."""
        pool, age_s = self._pool, fleet.now - self._started_at
        if self._detected_s is None:
            share = fleet.excluded_share(pool.service, pool.servers[0])
            self._failed = failure_counts(pool)
            if share > 0 and self._first_s is None:
                self._first_s = age_s
            if share >= DETECTED_SHARE:
                self._detected_s = age_s
        pool.stopped = self._detected_s is not None and age_s >= MIN_COUNTED_S
        return pool.stopped

    def trial(self, fleet: SimulatedFleet) -> Trial:
        """Return the outcome."""
        pool = self._pool
        return Trial(
            self._detected_s,
            self._first_s,
            self._failed[0] - self._before[0],
            self._failed[1] - self._before[1],
            n_wrong(fleet, pool, pool.servers[1:]),
            pool.n_requests - self._n_before[0],
            pool.n_refused - self._n_before[1],
            tuple(pool.n_sent_by[account] for account in ACCOUNTS),
            tuple(pool.n_lost_by[account] for account in ACCOUNTS),
        )


def failure_counts(pool: SimulatedPool) -> tuple[int, int]:
    """Return the failed attempts and failed requests of a pool so far."""
    return pool.n_failed_attempts, pool.n_failed_requests


def worst_served(trials: Sequence[Trial]) -> float:
    """Return the success rate of the worst-served client account."""
    shares = []
    for account in ACCOUNTS:
        n_sent = sum(trial.sent_by[account] for trial in trials)
        n_lost = sum(trial.lost_by[account] for trial in trials)
        if n_sent:
            shares.append(1 - n_lost / n_sent)
    return min(shares, default=1.0)


def n_wrong(
    fleet: SimulatedFleet, pool: SimulatedPool, healthy: Sequence[ServerId]
) -> float:
    """Return how many of ``healthy`` are ejected or avoided, averaged over VMs."""
    return sum(fleet.excluded_share(pool.service, server) for server in healthy)


def report(plan: Plan, trials: Sequence[Trial]) -> str:
    """Return one line on a set of trials."""
    detected = [trial.detected_s for trial in trials]
    p50, p95 = (format_time(quantile(detected, share)) for share in (0.5, 0.95))
    failed = fmean(trial.n_failed_requests for trial in trials)
    attempts = fmean(trial.n_failed_attempts for trial in trials)
    wrong = sum(trial.n_wrong for trial in trials)
    n_refused = sum(trial.n_refused for trial in trials)
    n_requests = sum(trial.n_requests for trial in trials)
    return (
        f"{plan.kind:15} {plan.policy:12} n={len(trials):3} detected p50 {p50:>5} s"
        f" p95 {p95:>5} s, before it failed: {attempts:6.1f} attempts,"
        f" {failed:5.1f} requests; healthy ones out {wrong:.2f}; worst-served account"
        f" {worst_served(trials):.4f}; refused {n_refused} of {n_requests}"
    )


def run_incident(plan: Plan) -> str:
    """Inject a fault into every server and count ejections."""
    fleet, pools = start_fleet(plan)
    fault = {"incident-30%": incident, "incident-slow": incident_slow}[plan.kind]
    for pool in pools:
        for server in pool.servers:
            pool.faults[server] = (fleet.now, fault)
    fleet.run_until(fleet.now + MAX_TRIAL_S)
    wrong = sum(n_wrong(fleet, pool, pool.servers) for pool in pools)
    return (
        f"{plan.kind:15} {plan.policy:12} n={len(pools):3} service-wide for"
        f" {MAX_TRIAL_S:.0f} s; out at its end, averaged over VMs: {wrong:.2f} servers"
    )


def run_path(plan: Plan) -> str:
    """Cut one VM, or one zone, off from a server; report which VMs avoid it."""
    fleet, pools = start_fleet(plan)
    cut = {"path of one VM": [0], "path of a zone": range(0, len(fleet.vms), 3)}
    indices = cut[plan.kind]
    for pool in pools:
        pool.affected_vms = frozenset(fleet.vms[index] for index in indices)
        pool.faults[pool.servers[0]] = (fleet.now, FAULTS["down"])
    started_at = fleet.now
    times: dict[ServiceId, float] = {}
    n_others = 0
    while fleet.now < started_at + MAX_TRIAL_S:
        fleet.run_until(fleet.now + STEP_S)
        for pool in pools:
            states = fleet.states(pool.service, pool.servers[0])
            n_avoiding = sum(states[index] in EXCLUDED_STATES for index in indices)
            if n_avoiding >= DETECTED_SHARE * len(indices):
                times.setdefault(pool.service, fleet.now - started_at)
            n_out = sum(state in EXCLUDED_STATES for state in states)
            n_others = max(n_others, n_out - n_avoiding)
    found = [times.get(pool.service) for pool in pools]
    return (
        f"{plan.kind:15} {plan.policy:12} n={len(pools):3} avoided there p50"
        f" {format_time(quantile(found, 0.5)):>5} s; other VMs that react: {n_others}"
    )


def run_cold_start(plan: Plan) -> str:
    """Add a slowly starting server to each pool and count its ejections."""
    fleet, pools = start_fleet(plan)
    for pool in pools:
        pool.n_servers += 1
        pool.faults[pool.servers[-1]] = (fleet.now, FAULTS["cold-start"])
        fleet.configure(pool, floor=0.5, sensitivity=plan.sensitivity)
    fleet.run_until(fleet.now + MAX_TRIAL_S)
    n_out = sum(n_wrong(fleet, pool, pool.servers) for pool in pools)
    new = [fleet.states(pool.service, pool.servers[-1])[0] for pool in pools]
    return (
        f"{'cold start':15} {plan.policy:12} n={len(pools):3} out after"
        f" {MAX_TRIAL_S:.0f} s, averaged over VMs: {n_out:.2f};"
        " ramping on the first VM:"
        f" {sum(state is ServerState.RAMPING for state in new)}"
    )


def run_half_down(plan: Plan) -> str:
    """Take half of each pool down and count refusals by the other half."""
    fleet, pools = start_fleet(plan)
    for pool in pools:
        for server in pool.servers[: pool.n_servers // 2]:
            pool.faults[server] = (fleet.now, FAULTS["down"])
    before = [(pool.n_requests, pool.n_refused) for pool in pools]
    fleet.run_until(fleet.now + MAX_TRIAL_S)
    n_requests = sum(pool.n_requests for pool in pools) - sum(b[0] for b in before)
    n_refused = sum(pool.n_refused for pool in pools) - sum(b[1] for b in before)
    n_failed = sum(pool.n_failed_requests for pool in pools)
    return (
        f"{'half down':15} {plan.policy:12} n={len(pools):3} refused for want of a"
        f" server {n_refused} of {n_requests} ({100 * n_refused / n_requests:.3f} %);"
        f" failed {n_failed}"
    )
