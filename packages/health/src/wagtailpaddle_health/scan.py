"""Compares a server's recent failures with those of its pool (scan statistic)."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from wagtailpaddle_health.window import NO_COUNTS, SCAN_LENGTHS_S, Counts, Window

FAILURE, UNREACHABLE, SLOW = BAD_KINDS = (1, 2, 3)
"""Kinds of bad attempts, as indexes into ``Counts``."""

MIN_USUAL_RATES = {FAILURE: 0.01, UNREACHABLE: 0.0005, SLOW: 0.01}
"""Lower bounds of the usual rates of bad attempts."""

CONTROL_PRIORS = {FAILURE: 0.3, UNREACHABLE: 0.05, SLOW: 0.3}
"""Weight, in attempts, of the prior that half of the references' attempts are bad."""

REASONS = {FAILURE: "failures", UNREACHABLE: "unreachable", SLOW: "slow"}
MIN_EXCESS = 0.03
DOUBTFUL_SUSPICION = 0.5
PRIOR_ATTEMPTS = 20
MAX_COMPARED_RATE = 0.95
CORROBORATION_FACTOR = 2.5
"""Limits the score to this multiple of the evidence without the worst VM."""

ZONE_CORROBORATION_FACTOR = 4.0
"""Limits the score to this multiple of the evidence without the worst zone."""

MIN_SUSPICION = 0.08
INCIDENT_NATS = 4.0
"""Evidence against a service-wide incident that a score of 1 requires."""


@dataclass(frozen=True, slots=True)
class Judgement:
    """How strong the evidence is that a server fails.

    ``suspicion`` and ``score`` are log likelihood ratios as fractions of the
    ejection threshold; ``score`` limits the weight of the VM that saw most of the
    failures. ``n_failed`` and ``n_attempts`` are the counts of the window with the
    strongest evidence.
    """

    suspicion: float = 0.0
    score: float = 0.0
    reason: str = ""
    n_failed: int = 0
    n_attempts: int = 0

    @property
    def bad_fraction(self) -> float:
        """The fraction of bad attempts in the window with the strongest evidence."""
        return self.n_failed / self.n_attempts if self.n_attempts else 0.0


NO_SUSPICION = Judgement()


def log_likelihood_ratio(n_attempts: int, n_bad: int, usual: float) -> float:
    """Return how much likelier ``n_bad`` is at the observed rate than at ``usual``.

    The result is in nats, and 0 unless the rate is clearly above the usual one.

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
    """Another server of the pool, for comparison.

    ``baseline`` holds its lifetime counts when the judged server became suspect,
    None while that is healthy. ``suspicion`` is that of this server itself.
    """

    window: Window
    baseline: Counts | None = None
    suspicion: float = 0.0

    def since_baseline(self) -> Counts:
        """Return the counts since the judged server became suspect."""
        if self.baseline is None:
            return NO_COUNTS
        current = self.window.lifetime_total
        if current.n_attempts < self.baseline.n_attempts:
            return current
        return Counts(
            *(now - then for now, then in zip(current, self.baseline, strict=True))
        )


def without_most_suspicious(references: Sequence[Reference]) -> list[Reference]:
    """Return ``references`` without the worst of those that are suspect themselves.

    At most a third is left out, so that a service-wide incident stays visible.
    """
    ranked = sorted(references, key=lambda reference: reference.suspicion)
    n_retained = len(ranked) - len(ranked) // 3
    return [
        reference
        for index, reference in enumerate(ranked)
        if index < n_retained or reference.suspicion < DOUBTFUL_SUSPICION
    ]


def sum_counts(counts: Iterable[Counts], kind: int) -> tuple[int, int]:
    """Return the number of attempts and of those that are bad in the way ``kind``."""
    n_attempts = n_bad = 0
    for item in counts:
        n_attempts += item[0]
        n_bad += item[kind]
    return n_attempts, n_bad


def long_term_rate(second: int, windows: Iterable[Window], kind: int) -> float:
    """Return the rate of bad attempts over whole windows.

    It is at least the rate in ``MIN_USUAL_RATES``.
    """
    n, k = sum_counts((window.total(second) for window in windows), kind)
    return max(MIN_USUAL_RATES[kind], (k + 0.5) / (n + 1))


def usual_rate(
    second: int, references: Sequence[Reference], length_s: int, kind: int
) -> float:
    """Return the pool's usual rate of bad attempts in the last ``length_s`` seconds.

    The rate over the whole window is the prior for the short one, which may hold
    few attempts. The higher of the two rates is used, so that during a
    service-wide incident a server must exceed the raised rate.
    """
    long_rate = long_term_rate(
        second, (reference.window for reference in references), kind
    )
    recent = (reference.window.recent(second, length_s) for reference in references)
    n, k = sum_counts(recent, kind)
    short_rate = (k + PRIOR_ATTEMPTS * long_rate) / (n + PRIOR_ATTEMPTS)
    return min(MAX_COMPARED_RATE, max(long_rate, short_rate))


def control_rate(references: Sequence[Reference], kind: int) -> float:
    """Return the references' rate of bad attempts since the server became suspect.

    A suspect briefly gets more requests than the references, so in a service-wide
    incident it has the most failures at first. Without evidence on the references
    from the same time the rate is assumed to be one half.
    """
    n, k = sum_counts((reference.since_baseline() for reference in references), kind)
    prior = CONTROL_PRIORS[kind]
    return min(MAX_COMPARED_RATE, (k + prior / 2) / (n + prior))


def incident_ratio(
    n_attempts: int,
    n_bad: int,
    references: Sequence[Reference],
    kind: int,
    usual: float,
) -> float:
    """Return the log likelihood ratio, in nats, against a service-wide incident.

    In an incident the server and the references have the same rate since the server
    became suspect; otherwise the references keep the ``usual`` rate. Without
    evidence on the references from the same time the result is 0.
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
    """Return the evidence in nats without the zone that has the most failures.

    The evidence of the other zones is multiplied by ``ZONE_CORROBORATION_FACTOR``.
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
    """Judge a server by the worst of its windows and kinds of bad attempts.

    ``references`` are other servers of the pool. ``bad_by_vm`` holds this server's
    bad attempts by the VM that observed them. ``by_zone`` holds all its attempts by
    zone; if it is not empty, the score is 0 without failures in a second zone.
    ``threshold`` is in nats; evidence below the fraction ``MIN_SUSPICION`` of it is
    ignored. The score is compared with the references since the server became
    suspect: by the ``incident_ratio`` if ``uses_incident_ratio``, else by the
    ``control_rate``.
    """
    best = NO_SUSPICION
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
