"""Sequential test of one server against the others of its pool."""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace

from wagtailpaddle_health.window import SCAN_S, Counts, Window

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
LEAST_SHARE = 0.15


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


def usual_rate(
    second: int, others: Sequence[Window], length_s: int, channel: int
) -> float:
    """Return the pool's usual rate of bad attempts in the last ``length_s``.

    The rate over the whole window stands in where the short one holds little;
    the higher of the two counts, so that an incident of the whole service
    raises the bar at once.
    """
    n_long, k_long = trusted_counts([win.total(second) for win in others], channel)
    long_rate = max(FLOOR_RATES[channel], (k_long + 0.5) / (n_long + 1))
    recent = [win.recent(second, length_s) for win in others]
    n, k = trusted_counts(recent, channel)
    short_rate = (k + PRIOR_ATTEMPTS * long_rate) / (n + PRIOR_ATTEMPTS)
    return min(MAX_RATE, max(long_rate, short_rate))


def judge(
    second: int,
    window: Window,
    others: Sequence[Window],
    *,
    threshold: float,
    origins: Sequence[Window] = (),
    channels: Sequence[int] = CHANNELS,
) -> Judgement:
    """Judge a server by the worst of its windows and channels.

    ``others`` are the windows of the pool's other servers, ``origins`` those of
    this server's bad attempts by the VM that saw them. ``threshold`` is in nats.
    Evidence below ``LEAST_SHARE`` of it is taken for none.
    """
    best = NOTHING
    suspicion = 0.0
    for index, counts in enumerate(window.scan(second)):
        for channel in channels:
            n_attempts, n_bad = counts[0], counts[channel]
            most = log_ratio(n_attempts, n_bad, FLOOR_RATES[channel])
            if most < LEAST_SHARE * threshold:
                continue
            usual = usual_rate(second, others, SCAN_S[index], channel)
            share = log_ratio(n_attempts, n_bad, usual) / threshold
            tops = [win.recent(second, SCAN_S[index])[channel] for win in origins]
            top = max(tops, default=0)
            rest = log_ratio(n_attempts - top, n_bad - top, usual) / threshold
            score = min(share, CORROBORATION * rest)
            suspicion = max(suspicion, share)
            if (score, share) > (best.score, best.suspicion):
                best = Judgement(share, score, REASONS[channel], n_bad, n_attempts)
    return replace(best, suspicion=suspicion)
