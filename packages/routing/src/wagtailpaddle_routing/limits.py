"""Limits on the requests that one VM keeps in flight at one server.

A server's slots are shared by all VMs, and none of them knows how many slots
there are or what the others send. Limits are fractions: the limits of a
service's servers are added up to bound the VM as a whole, so a VM that may
have a quarter of a request at each of twelve servers has three in flight.
"""

from typing import Protocol

from wagtailpaddle_core import Registry

from wagtailpaddle_routing.messages import AttemptOutcome

MIN_LIMIT = 0.25
DECREASE = 0.7
DECREASE_INTERVAL_S = 0.1
INCREASE = 0.2
GRADIENT_SAMPLES = 8
GRADIENT_TOLERANCE = 2.0
GRADIENT_SMOOTHING = 0.2
BASELINE_DRIFT = 0.02

CONGESTION = frozenset({AttemptOutcome.SHED, AttemptOutcome.TIMED_OUT})


class Limiter(Protocol):
    """Adapts the limit of one server to how its attempts end.

    ``limit`` stays at or under ``cap``, the connections that the VM may open.
    """

    limit: float
    cap: float

    def __init__(self, *, start: float, cap: float): ...

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Take in an attempt; ``in_flight`` counts it as still running."""


LIMITERS: Registry[type[Limiter]] = Registry("limiter")


@LIMITERS.register("fixed")
class FixedLimiter:
    """Stays at the start value: the number of slots."""

    __slots__ = ("cap", "limit")

    def __init__(self, *, start: float, cap: float):
        self.cap = cap
        self.limit = min(start, cap)

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Change nothing."""


@LIMITERS.register("aimd")
class AimdLimiter:
    """Additive increase on answers, multiplicative decrease on shed or timeout.

    A burst of shed answers counts once per ``DECREASE_INTERVAL_S``. The limit
    grows past the start value only while it is used.
    """

    __slots__ = ("_decreased_at", "_start", "cap", "limit")

    def __init__(self, *, start: float, cap: float):
        self.cap = cap
        self._start = min(start, cap)
        self._decreased_at = float("-inf")
        self.limit = self._start

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Adapt to the end of one attempt."""
        if outcome in CONGESTION:
            self._decrease(now)
        elif outcome is AttemptOutcome.ANSWERED:
            ceiling = min(self.cap, max(self._start, 2.0 * in_flight))
            grown = self.limit + INCREASE / max(1.0, self.limit)
            self.limit = max(self.limit, min(ceiling, grown))

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(MIN_LIMIT, self.limit * DECREASE)


@LIMITERS.register("gradient")
class GradientLimiter:
    """Shrinks when latency leaves a slowly rising baseline, grows otherwise.

    The baseline is the least batch mean, drifting up so that an old minimum
    is forgotten. Shed answers decrease the limit as in ``AimdLimiter``.
    """

    __slots__ = (
        "_baseline_s",
        "_decreased_at",
        "_n_samples",
        "_sum_s",
        "cap",
        "limit",
    )

    def __init__(self, *, start: float, cap: float):
        self.cap = cap
        self._baseline_s = 0.0
        self._sum_s = 0.0
        self._n_samples = 0
        self._decreased_at = float("-inf")
        self.limit = min(start, cap)

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Adapt to the end of one attempt."""
        if outcome in CONGESTION:
            if now - self._decreased_at >= DECREASE_INTERVAL_S:
                self._decreased_at = now
                self.limit = max(MIN_LIMIT, self.limit * DECREASE)
            return
        if outcome is not AttemptOutcome.ANSWERED:
            return
        self._sum_s += latency_s
        self._n_samples += 1
        if self._n_samples == GRADIENT_SAMPLES:
            self._step(self._sum_s / self._n_samples)
            self._sum_s = 0.0
            self._n_samples = 0

    def _step(self, mean_s: float) -> None:
        if not self._baseline_s:
            self._baseline_s = mean_s
        drifted_s = self._baseline_s * (1.0 + BASELINE_DRIFT)
        self._baseline_s = max(1e-6, min(mean_s, drifted_s))
        gradient = self._baseline_s * GRADIENT_TOLERANCE / max(mean_s, 1e-6)
        target = self.limit * min(1.0, max(0.5, gradient)) + self.limit**0.5 * INCREASE
        smoothed = self.limit + GRADIENT_SMOOTHING * (target - self.limit)
        self.limit = min(self.cap, max(MIN_LIMIT, smoothed))
