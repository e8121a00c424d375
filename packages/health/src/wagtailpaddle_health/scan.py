"""Sequential test of one server against the others of its pool."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from wagtailpaddle_health.window import NO_COUNTS, SCAN_S, Counts, Window

FAILURE, UNREACHABLE, SLOW = CHANNELS = (1, 2, 3)
"""Kinds of bad attempts, as positions in ``Counts``."""

FLOOR_RATES = {FAILURE: 0.01, UNREACHABLE: 0.0005, SLOW: 0.01}
"""Least rates of bad attempts that are taken as usual."""

CONTROL_PRIORS = {FAILURE: 0.3, UNREACHABLE: 0.05, SLOW: 0.3}
"""Weight, in attempts, of the belief that the others fare no better."""

REASONS = {FAILURE: "failures", UNREACHABLE: "unreachable", SLOW: "slow"}
LEAST_EXCESS = 0.03
DOUBTFUL_SHARE = 0.5
PRIOR_ATTEMPTS = 20
MAX_RATE = 0.95
CORROBORATION = 2.5
ZONE_CORROBORATION = 4.0
LEAST_SHARE = 0.08
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


@dataclass(frozen=True, slots=True)
class Reference:
    """Another server of the pool, to compare with.

    ``mark`` is what had been counted on it when the doubt about the judged
    server began, None without a doubt. ``suspicion`` is the one about itself.
    """

    window: Window
    mark: Counts | None = None
    suspicion: float = 0.0

    def since_mark(self) -> Counts:
        """Return what was counted since the doubt began."""
        if self.mark is None:
            return NO_COUNTS
        seen = self.window.seen
        if seen.n_attempts < self.mark.n_attempts:
            return seen
        return Counts(*(now - then for now, then in zip(seen, self.mark, strict=True)))


def trusted(others: Sequence[Reference]) -> list[Reference]:
    """Return ``others`` without the worst of those that are doubtful themselves.

    At most a third goes, so that an incident of the whole service stays visible.
    """
    ranked = sorted(others, key=lambda other: other.suspicion)
    n_least = len(ranked) - len(ranked) // 3
    return [
        other
        for index, other in enumerate(ranked)
        if index < n_least or other.suspicion < DOUBTFUL_SHARE
    ]


def summed(counts: Iterable[Counts], channel: int) -> tuple[int, int]:
    """Return all attempts and the bad ones of a channel."""
    n_attempts = n_bad = 0
    for item in counts:
        n_attempts += item[0]
        n_bad += item[channel]
    return n_attempts, n_bad


def long_term_rate(second: int, windows: Iterable[Window], channel: int) -> float:
    """Return the rate of bad attempts over whole windows, the floor at least."""
    n, k = summed((window.total(second) for window in windows), channel)
    return max(FLOOR_RATES[channel], (k + 0.5) / (n + 1))


def usual_rate(
    second: int, others: Sequence[Reference], length_s: int, channel: int
) -> float:
    """Return the pool's usual rate of bad attempts in the last ``length_s``.

    The rate over the whole window stands in where the short one holds little;
    the higher of the two counts, so that an incident of the whole service
    raises the bar.
    """
    long_rate = long_term_rate(second, (other.window for other in others), channel)
    recent = (other.window.recent(second, length_s) for other in others)
    n, k = summed(recent, channel)
    short_rate = (k + PRIOR_ATTEMPTS * long_rate) / (n + PRIOR_ATTEMPTS)
    return min(MAX_RATE, max(long_rate, short_rate))


def control_rate(others: Sequence[Reference], channel: int) -> float:
    """Return the rate of bad attempts at the others since the doubt began.

    A suspect gets more requests than the others for a moment, so in an incident
    of the whole service it shows the most failures at first. Without evidence on
    the others from the same time the rate is taken for one half.
    """
    n, k = summed((other.since_mark() for other in others), channel)
    prior = CONTROL_PRIORS[channel]
    return min(MAX_RATE, (k + prior / 2) / (n + prior))


def incident_ratio(
    n_attempts: int, n_bad: int, others: Sequence[Reference], channel: int, usual: float
) -> float:
    """Return the log likelihood ratio, in nats, against an incident of the service.

    In an incident the server and the others share one rate since the doubt began;
    else the others keep the ``usual`` rate. Without evidence on the others from
    the same time it is 0.
    """
    n, k = summed((other.since_mark() for other in others), channel)
    shared = (n_bad + k) / (n_attempts + n)
    own = n_bad / n_attempts
    if own <= shared:
        return 0.0
    return (
        log_likelihood(n_attempts, n_bad, own)
        + log_likelihood(n, k, usual)
        - log_likelihood(n_attempts + n, n_bad + k, shared)
    )


def elsewhere_ratio(zones: Iterable[Counts], channel: int, usual: float) -> float:
    """Return ``ZONE_CORROBORATION`` times the evidence in nats outside one zone.

    The zone left out is the one with the most failures.
    """
    ranked = sorted(zones, key=lambda counts: counts[channel])
    n, k = summed(ranked[:-1], channel)
    return ZONE_CORROBORATION * log_ratio(n, k, usual)


def log_likelihood(n_attempts: int, n_bad: int, rate: float) -> float:
    """Return the log likelihood of ``n_bad`` at ``rate``, up to a constant."""
    n_good = n_attempts - n_bad
    bad = n_bad * math.log(rate) if n_bad > 0 else 0.0
    return bad + (n_good * math.log(1 - rate) if n_good > 0 else 0.0)


def judge(
    second: int,
    window: Window,
    others: Sequence[Reference],
    *,
    threshold: float,
    origins: Sequence[Window] = (),
    zones: Sequence[Window] = (),
    channels: Sequence[int] = CHANNELS,
    compares: bool = True,
) -> Judgement:
    """Judge a server by the worst of its windows and channels.

    ``others`` are the pool's other servers, ``origins`` this server's bad
    attempts by the VM that saw them, ``zones`` all its attempts by zone: without
    failures in a second one the score stays 0. ``threshold`` is in nats; evidence below
    ``LEAST_SHARE`` of it is taken for none. The score takes the
    others since the doubt began into account: one that ``compares`` by the
    ``incident_ratio``, else by the ``control_rate``.
    """
    best = NOTHING
    suspicion = 0.0
    others = trusted(others)
    for index, counts in enumerate(window.scan(second)):
        for channel in channels:
            n_attempts, n_bad = counts[0], counts[channel]
            most = log_ratio(n_attempts, n_bad, FLOOR_RATES[channel])
            if most < LEAST_SHARE * threshold:
                continue
            usual = usual_rate(second, others, SCAN_S[index], channel)
            doubt = log_ratio(n_attempts, n_bad, usual) / threshold
            suspicion = max(suspicion, doubt)
            limit = math.inf
            if compares:
                ratio = incident_ratio(n_attempts, n_bad, others, channel, usual)
                limit = ratio / INCIDENT_NATS
            else:
                usual = max(usual, control_rate(others, channel))
            tops = [win.recent(second, SCAN_S[index])[channel] for win in origins]
            top = max(tops, default=0)
            share = log_ratio(n_attempts, n_bad, usual) / threshold
            rest = log_ratio(n_attempts - top, n_bad - top, usual) / threshold
            if zones:
                seen = [win.recent(second, SCAN_S[index]) for win in zones]
                limit = min(limit, elsewhere_ratio(seen, channel, usual) / threshold)
            score = min(share, CORROBORATION * rest, limit)
            if (score, doubt) > (best.score, best.suspicion):
                best = Judgement(doubt, score, REASONS[channel], n_bad, n_attempts)
    return replace(best, suspicion=suspicion)
