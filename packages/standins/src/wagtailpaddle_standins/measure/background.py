"""Long simulations of outlier detection alone, to count false ejections."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate
from random import Random

from wagtailpaddle_core import VmId
from wagtailpaddle_health.evidence import EMPTY_BASELINE, Evidence, Observer
from wagtailpaddle_health.latency import SLOW_FACTOR
from wagtailpaddle_health.policies import (
    POLICIES,
    Policy,
    PolicyInput,
    ReferenceEvidence,
    threshold,
)
from wagtailpaddle_health.scan import (
    FAILURE,
    MIN_USUAL_RATES,
    SLOW,
    log_likelihood_ratio,
)
from wagtailpaddle_health.window import Counts

from wagtailpaddle_standins.measure.faults import (
    BACKGROUND_ERROR_SHARE,
    LATENCY_SIGMA,
    OUTLIER_FACTOR,
    OUTLIER_SHARE,
)

DAY_S = 86_400
CONFIDENCE = 0.95
MAX_ARRIVALS_PER_S = 40
VERIFICATIONS_PER_FAILURE = 16


@dataclass(frozen=True, slots=True)
class FalseEjections:
    """False ejections counted over simulated server-days."""

    n_false: int
    server_days: float

    @property
    def rate(self) -> float:
        """False ejections per server-day."""
        return self.n_false / self.server_days

    @property
    def upper_bound(self) -> float:
        """The one-sided 95 % upper confidence bound of the rate."""
        return poisson_upper(self.n_false) / self.server_days

    def __str__(self) -> str:
        return (
            f"{self.rate:.4f} per server-day ({self.n_false} in"
            f" {self.server_days:.1f}; 95 % upper bound {self.upper_bound:.4f})"
        )


def poisson_upper(n_events: int) -> float:
    """Return the one-sided 95 % upper bound of a Poisson mean for ``n_events`` events.

    >>> round(poisson_upper(0), 2)
    3.0
    """
    low, high = 0.0, 10.0 + 3.0 * n_events
    for _ in range(60):
        mean = (low + high) / 2
        terms = (mean**k / math.factorial(k) for k in range(n_events + 1))
        if math.exp(-mean) * sum(terms) > 1 - CONFIDENCE:
            low = mean
        else:
            high = mean
    return high


def slow_share() -> float:
    """Return the share of normal responses that count as slow."""

    def tail_share(factor: float) -> float:
        return 0.5 * math.erfc(math.log(factor) / LATENCY_SIGMA / math.sqrt(2))

    outliers = tail_share(SLOW_FACTOR / OUTLIER_FACTOR)
    return (1 - OUTLIER_SHARE) * tail_share(SLOW_FACTOR) + OUTLIER_SHARE * outliers


def arrivals(random: Random, rate: float) -> Iterator[int]:
    """Yield the Poisson number of attempts in each second at ``rate`` a second."""
    weights = [
        math.exp(-rate + k * math.log(rate) - math.lgamma(k + 1))
        for k in range(MAX_ARRIVALS_PER_S)
    ]
    bounds = list(accumulate(weights))
    while True:
        yield from random.choices(range(MAX_ARRIVALS_PER_S), cum_weights=bounds, k=4096)


def good_runs(random: Random, share: float) -> Iterator[int]:
    """Yield the number of good attempts before each bad one."""
    scale = 1 / math.log(1 - share)
    while True:
        yield int(math.log(1 - random.random()) * scale)


class Server:
    """Generates the evidence of one healthy server, second by second.

    Each failure adds ``n_verifications`` attempts in the next second, as the
    verification of a suspect server does.
    """

    def __init__(self, random: Random, rate: float, n_verifications: int) -> None:
        self._n_verifications = n_verifications
        self._n_extra = 0
        self.evidence = Evidence()
        self._random = random
        self._arrivals = arrivals(random, rate)
        self._gaps = [
            good_runs(random, BACKGROUND_ERROR_SHARE),
            good_runs(random, slow_share()),
        ]
        self._n_until_bad = [next(gaps) for gaps in self._gaps]

    def step(self, second: int, vms: list[VmId]) -> bool:
        """Simulate one second; return whether it had a failed or slow attempt."""
        n_attempts = next(self._arrivals) + self._n_extra
        self._n_extra = 0
        if not n_attempts:
            return False
        n_failure, n_slow = self._draw(0, n_attempts), self._draw(1, n_attempts)
        self._n_extra = self._n_verifications if n_failure else 0
        if not n_failure + n_slow:
            self.evidence.own.add(second, Counts(n_attempts))
            return False
        bad = Counts(n_attempts, n_failure, 0, n_slow)
        self.evidence.add_own(second, Observer(self._random.choice(vms)), bad)
        return True

    def _draw(self, kind: int, n_attempts: int) -> int:
        n_bad = 0
        self._n_until_bad[kind] -= n_attempts
        while self._n_until_bad[kind] < 0:
            n_bad += 1
            self._n_until_bad[kind] += 1 + next(self._gaps[kind])
        return n_bad


def could_eject(second: int, evidence: Evidence, sensitivity: float) -> bool:
    """Return whether the evidence reaches the threshold at the minimum usual rates.

    No pool's usual rate is lower, so other evidence can't lead to an ejection and
    the full judgement may be skipped.
    """
    min_ratio = threshold(sensitivity)
    return any(
        log_likelihood_ratio(
            counts.n_attempts, counts[channel], MIN_USUAL_RATES[channel]
        )
        >= min_ratio
        for counts in evidence.pooled.scan(second)
        for channel in (FAILURE, SLOW)
    )


@dataclass(frozen=True, slots=True)
class Background:
    """A pool of healthy servers with background errors and latency noise only.

    ``rate`` is in attempts a second to each server. With ``fleet`` the evidence
    of ``n_vms`` VMs is judged as a monitor does, else that of one VM alone.
    """

    policy: str
    n_servers: int
    rate: float
    sensitivity: float
    fleet: bool = True
    n_vms: int = 36

    def run(self, seed: int, server_days: float) -> FalseEjections:
        """Count the ejections in ``server_days`` simulated server-days."""
        random = Random(seed)
        policy: Policy = POLICIES[self.policy]()
        vms = [VmId(f"vm-{index:02d}") for index in range(self.n_vms)]
        n_verifications = (
            VERIFICATIONS_PER_FAILURE
            if policy.uses_sequential_test and self.fleet
            else 0
        )
        servers = [
            Server(random, self.rate, n_verifications) for _ in range(self.n_servers)
        ]
        n_seconds = int(server_days * DAY_S / self.n_servers)
        n_false = 0
        for second in range(n_seconds):
            for server in servers:
                if server.step(second, vms) and self._ejects(
                    second, policy, server, servers
                ):
                    n_false += 1
                    server.evidence.reset()
        return FalseEjections(n_false, n_seconds * self.n_servers / DAY_S)

    def _ejects(
        self, second: int, policy: Policy, server: Server, servers: list[Server]
    ) -> bool:
        if self.policy in ("scan", "previous") and not could_eject(
            second, server.evidence, self.sensitivity
        ):
            return False
        others = tuple(
            ReferenceEvidence(item.evidence, EMPTY_BASELINE, 0.0)
            for item in servers
            if item is not server
        )
        case = PolicyInput(second, server.evidence, others, self.sensitivity)
        judge = policy.judge_fleet if self.fleet else policy.judge_local
        return judge(case).score >= 1
