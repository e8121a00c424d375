"""Sequential test of one server against the references of its pool."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from wagtailpaddle_health.window import NO_COUNTS, SCAN_LENGTHS_S, Counts, Window

FAILURE, UNREACHABLE, SLOW = BAD_KINDS = (1, 2, 3)
"""Kinds of bad attempts, as positions in ``Counts``."""

MIN_USUAL_RATES = {FAILURE: 0.01, UNREACHABLE: 0.0005, SLOW: 0.01}
"""Least rates of bad attempts that are taken as usual."""

CONTROL_PRIORS = {FAILURE: 0.3, UNREACHABLE: 0.05, SLOW: 0.3}
"""Weight, in attempts, of the belief that the references fare no better."""

REASONS = {FAILURE: "failures", UNREACHABLE: "unreachable", SLOW: "slow"}
MIN_EXCESS = 0.03
DOUBTFUL_SUSPICION = 0.5
PRIOR_ATTEMPTS = 20
MAX_RATE = 0.95
CORROBORATION_FACTOR = 2.5
ZONE_CORROBORATION_FACTOR = 4.0
MIN_SUSPICION = 0.08
INCIDENT_NATS = 4.0


@dataclass(frozen=True, slots=True)
class Judgement:
    """How strongly the evidence speaks against a server.

    ``suspicion`` and ``score`` are log likelihood ratios as shares of the
    ejection threshold, ``score`` without the VM that saw most of the failures.
    ``n_failed`` of ``n_attempts`` are the counts of the strongest window.
    """

    suspicion: float = 0.0
    score: float = 0.0
    reason: str = ""
    n_failed: int = 0
    n_attempts: int = 0

    @property
    def bad_fraction(self) -> float:
        """The share of bad attempts in the strongest window."""
        return self.n_failed / self.n_attempts if self.n_attempts else 0.0


NOTHING = Judgement()


def log_likelihood_ratio(n_attempts: int, n_bad: int, usual: float) -> float:
    """Return how much likelier ``n_bad`` is at its own rate than at ``usual``.

    In nats; 0 unless the rate is clearly above the usual one.

    >>> round(log_likelihood_ratio(4, 4, 0.01), 1)
    18.4
    >>> log_likelihood_ratio(100, 2, 0.01)
    0.0
    """
    if n_attempts <= 0 or n_bad <= 0:
        return 0.0
    rate = min(1.0, n_bad / n_attempts)
    if rate < 2 * usual + MIN_EXCESS:
        return 0.0
    ratio = n_bad * math.log(rate / usual)
    if n_bad < n_attempts:
        ratio += (n_attempts - n_bad) * math.log((1 - rate) / (1 - usual))
    return max(0.0, ratio)


@dataclass(frozen=True, slots=True)
class Reference:
    """Another server of the pool, to compare with.

    ``baseline`` is what had been counted on it when the doubt about the judged
    server began, None without a doubt. ``suspicion`` is the one about itself.
    """

    window: Window
    baseline: Counts | None = None
    suspicion: float = 0.0

    def since_baseline(self) -> Counts:
        """Return what was counted since the doubt began."""
        if self.baseline is None:
            return NO_COUNTS
        seen = self.window.lifetime_total
        if seen.n_attempts < self.baseline.n_attempts:
            return seen
        return Counts(
            *(now - then for now, then in zip(seen, self.baseline, strict=True))
        )


def without_most_suspicious(references: Sequence[Reference]) -> list[Reference]:
    """Return ``references`` without the worst of those that are doubtful themselves.

    At most a third goes, so that an incident of the whole service stays visible.
    """
    ranked = sorted(references, key=lambda reference: reference.suspicion)
    n_retained = len(ranked) - len(ranked) // 3
    return [
        reference
        for index, reference in enumerate(ranked)
        if index < n_retained or reference.suspicion < DOUBTFUL_SUSPICION
    ]


def sum_counts(counts: Iterable[Counts], kind: int) -> tuple[int, int]:
    """Return all attempts and the bad ones of a kind."""
    n_attempts = n_bad = 0
    for item in counts:
        n_attempts += item[0]
        n_bad += item[kind]
    return n_attempts, n_bad


def long_term_rate(second: int, windows: Iterable[Window], kind: int) -> float:
    """Return the rate of bad attempts over whole windows, the floor at least."""
    n, k = sum_counts((window.total(second) for window in windows), kind)
    return max(MIN_USUAL_RATES[kind], (k + 0.5) / (n + 1))


def usual_rate(
    second: int, references: Sequence[Reference], length_s: int, kind: int
) -> float:
    """Return the pool's usual rate of bad attempts in the last ``length_s``.

    The rate over the whole window stands in where the short one holds little;
    the higher of the two counts, so that an incident of the whole service
    raises the bar.
    """
    long_rate = long_term_rate(
        second, (reference.window for reference in references), kind
    )
    recent = (reference.window.recent(second, length_s) for reference in references)
    n, k = sum_counts(recent, kind)
    short_rate = (k + PRIOR_ATTEMPTS * long_rate) / (n + PRIOR_ATTEMPTS)
    return min(MAX_RATE, max(long_rate, short_rate))


def control_rate(references: Sequence[Reference], kind: int) -> float:
    """Return the rate of bad attempts at the references since the doubt began.

    A suspect gets more requests than the references for a moment, so in an incident
    of the whole service it shows the most failures at first. Without evidence on
    the references from the same time the rate is taken for one half.
    """
    n, k = sum_counts((reference.since_baseline() for reference in references), kind)
    prior = CONTROL_PRIORS[kind]
    return min(MAX_RATE, (k + prior / 2) / (n + prior))


def incident_ratio(
    n_attempts: int,
    n_bad: int,
    references: Sequence[Reference],
    kind: int,
    usual: float,
) -> float:
    """Return the log likelihood ratio, in nats, against an incident of the service.

    In an incident the server and the references share one rate since the doubt began;
    else the references keep the ``usual`` rate. Without evidence on the references from
    the same time it is 0.
    """
    n, k = sum_counts((reference.since_baseline() for reference in references), kind)
    shared = (n_bad + k) / (n_attempts + n)
    own = n_bad / n_attempts
    if own <= shared:
        return 0.0
    return (
        log_likelihood(n_attempts, n_bad, own)
        + log_likelihood(n, k, usual)
        - log_likelihood(n_attempts + n, n_bad + k, shared)
    )


def other_zones_ratio(by_zone: Iterable[Counts], kind: int, usual: float) -> float:
    """Return ``ZONE_CORROBORATION_FACTOR`` times the evidence in nats outside one zone.

    The zone left out is the one with the most failures.
    """
    ranked = sorted(by_zone, key=lambda counts: counts[kind])
    n, k = sum_counts(ranked[:-1], kind)
    return ZONE_CORROBORATION_FACTOR * log_likelihood_ratio(n, k, usual)


def log_likelihood(n_attempts: int, n_bad: int, rate: float) -> float:
    """Return the log likelihood of ``n_bad`` at ``rate``, up to a constant."""
    n_good = n_attempts - n_bad
    bad = n_bad * math.log(rate) if n_bad > 0 else 0.0
    return bad + (n_good * math.log(1 - rate) if n_good > 0 else 0.0)


def judge(
    second: int,
    window: Window,
    references: Sequence[Reference],
    *,
    threshold: float,
    bad_by_vm: Sequence[Window] = (),
    by_zone: Sequence[Window] = (),
    kinds: Sequence[int] = BAD_KINDS,
    uses_incident_ratio: bool = True,
) -> Judgement:
    """Judge a server by the worst of its windows and channels.

    ``references`` are the pool's reference servers, ``bad_by_vm`` this server's bad
    attempts by the VM that saw them, ``by_zone`` all its attempts by zone: without
    failures in a second one the score stays 0. ``threshold`` is in nats; evidence below
    ``MIN_SUSPICION`` of it is taken for none. The score takes the
    references since the doubt began into account: one that ``uses_incident_ratio`` by
    the
    ``incident_ratio``, else by the ``control_rate``.
    """
    best = NOTHING
    suspicion = 0.0
    references = without_most_suspicious(references)
    for index, counts in enumerate(window.scan(second)):
        for kind in kinds:
            n_attempts, n_bad = counts[0], counts[kind]
            upper_bound = log_likelihood_ratio(n_attempts, n_bad, MIN_USUAL_RATES[kind])
            if upper_bound < MIN_SUSPICION * threshold:
                continue
            usual = usual_rate(second, references, SCAN_LENGTHS_S[index], kind)
            window_suspicion = (
                log_likelihood_ratio(n_attempts, n_bad, usual) / threshold
            )
            suspicion = max(suspicion, window_suspicion)
            limit = math.inf
            if uses_incident_ratio:
                ratio = incident_ratio(n_attempts, n_bad, references, kind, usual)
                limit = ratio / INCIDENT_NATS
            else:
                usual = max(usual, control_rate(references, kind))
            by_vm = [
                win.recent(second, SCAN_LENGTHS_S[index])[kind] for win in bad_by_vm
            ]
            n_worst_vm = max(by_vm, default=0)
            all_vms = log_likelihood_ratio(n_attempts, n_bad, usual) / threshold
            other_vms = (
                log_likelihood_ratio(n_attempts - n_worst_vm, n_bad - n_worst_vm, usual)
                / threshold
            )
            if by_zone:
                recent = [win.recent(second, SCAN_LENGTHS_S[index]) for win in by_zone]
                limit = min(limit, other_zones_ratio(recent, kind, usual) / threshold)
            score = min(all_vms, CORROBORATION_FACTOR * other_vms, limit)
            if (score, window_suspicion) > (best.score, best.suspicion):
                best = Judgement(
                    window_suspicion, score, REASONS[kind], n_bad, n_attempts
                )
    return replace(best, suspicion=suspicion)
