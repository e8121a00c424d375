"""Sequential test of one server against the others of its pool."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace

from wagtailpaddle_health.window import NO_COUNTS, SCAN_S, Counts

FAILURE, UNREACHABLE, SLOW = CHANNELS = (1, 2, 3)
"""Kinds of bad attempts, as positions in ``Counts``."""

FLOOR_RATES = {FAILURE: 0.01, UNREACHABLE: 0.0005, SLOW: 0.01}
"""Least rates of bad attempts that are taken as usual."""

REASONS = {FAILURE: "failures", UNREACHABLE: "unreachable", SLOW: "slow"}
LEAST_EXCESS = 0.03
TRUSTED_SHARE = 2 / 3
PRIOR_ATTEMPTS = 20
MAX_RATE = 0.95
CORROBORATION = 2.5

Scan = tuple[Counts, ...]


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
    def bad_share(self) -> float:
        """The share of bad attempts in the strongest window."""
        return self.n_failed / self.n_attempts if self.n_attempts else 0.0


NOTHING = Judgement()


def log_ratio(n_attempts: int, n_bad: int, usual: float) -> float:
    """Return how much likelier ``n_bad`` is at its own rate than at ``usual``.

    In nats; 0 unless the rate is clearly above the usual one.

    >>> round(log_ratio(4, 4, 0.01), 1)
    18.4
    >>> log_ratio(100, 2, 0.01)
    0.0
    """
    if n_attempts <= 0 or n_bad <= 0:
        return 0.0
    rate = min(1.0, n_bad / n_attempts)
    if rate < 2 * usual + LEAST_EXCESS:
        return 0.0
    ratio = n_bad * math.log(rate / usual)
    if n_bad < n_attempts:
        ratio += (n_attempts - n_bad) * math.log((1 - rate) / (1 - usual))
    return max(0.0, ratio)


def trusted_counts(others: Sequence[Counts], channel: int) -> tuple[int, int]:
    """Return attempts and bad ones summed over the better two thirds."""
    active = [counts for counts in others if counts[0]]
    active.sort(key=lambda counts: (counts[channel] / counts[0], -counts[0]))
    kept = active[: max(1, int(len(active) * TRUSTED_SHARE))]
    n_attempts = sum(counts[0] for counts in kept)
    return n_attempts, sum(counts[channel] for counts in kept)


def usual_rates(others: Sequence[Scan], channel: int) -> list[float]:
    """Return the pool's usual rate of a channel for each window of ``SCAN_S``.

    The rate over the whole window stands in where a short one has little
    evidence; the higher of the two counts, so that an incident of the whole
    service raises the bar at once.
    """
    n_long, k_long = trusted_counts([scan[-1] for scan in others], channel)
    long_rate = max(FLOOR_RATES[channel], (k_long + 0.5) / (n_long + 1))
    rates = []
    for index in range(len(SCAN_S)):
        n, k = trusted_counts([scan[index] for scan in others], channel)
        short_rate = (k + PRIOR_ATTEMPTS * long_rate) / (n + PRIOR_ATTEMPTS)
        rates.append(min(MAX_RATE, max(long_rate, short_rate)))
    return rates


def judge(
    scan: Scan,
    others: Sequence[Scan],
    origins: Sequence[Scan],
    threshold: float,
    channels: Sequence[int] = CHANNELS,
) -> Judgement:
    """Judge a server by the worst of its windows and channels.

    ``others`` are the scans of the pool's other servers, ``origins`` those of
    this server's failures by the VM that saw them. ``threshold`` is in nats.
    """
    best = NOTHING
    suspicion = 0.0
    for channel in channels:
        if not scan[-1][channel]:
            continue
        rates = usual_rates(others, channel)
        for index, counts in enumerate(scan):
            share = log_ratio(counts[0], counts[channel], rates[index]) / threshold
            if share <= 0:
                continue
            suspicion = max(suspicion, share)
            top = max((origin[index][channel] for origin in origins), default=0)
            rest = log_ratio(counts[0] - top, counts[channel] - top, rates[index])
            score = min(share, CORROBORATION * rest / threshold)
            if (score, share) > (best.score, best.suspicion):
                n_bad, n_attempts = counts[channel], counts[0]
                best = Judgement(share, score, REASONS[channel], n_bad, n_attempts)
    return replace(best, suspicion=suspicion)


EMPTY_SCAN: Scan = (NO_COUNTS,) * len(SCAN_S)
