"""Limits on the requests that one VM keeps in flight at one server.

A server's slots are shared by all VMs, and none of them knows how many slots
there are or what the others send. A limiter for each server adapts to that
server; a service limiter bounds what the VM has in flight at all of them, so
that VMs which share the servers come to equal parts.
"""

from typing import Protocol

from wagtailpaddle_core import Registry

from wagtailpaddle_routing.messages import AttemptOutcome

MIN_LIMIT = 1.0
MIN_SERVICE_LIMIT = 8.0
SERVICE_INCREASE = 1.0
DECREASE = 0.7
SERVICE_DECREASE = 0.85
DECREASE_INTERVAL_S = 0.1
INCREASE_PER_S = 0.25
MAX_STEP_S = 1.0
GRADIENT_INCREASE = 0.2
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
    """Additive increase by time, multiplicative decrease on shed or timeout.

    Growth by time and not by answers lets a VM that floods the servers grow
    no faster than one that sends little. The limit grows only while it is
    used, and a shed answer brings it under what was in flight. A burst of shed
    answers counts once per ``DECREASE_INTERVAL_S``.
    """

    __slots__ = ("_decreased_at", "_grown_at", "cap", "limit")

    def __init__(self, *, start: float, cap: float):
        self.cap = cap
        self.limit = min(start, cap)
        self._decreased_at = float("-inf")
        self._grown_at = float("-inf")

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Adapt to the end of one attempt."""
        if outcome in CONGESTION:
            self._decrease(now, in_flight)
        elif outcome is AttemptOutcome.ANSWERED:
            self._grow(now, in_flight)

    def _grow(self, now: float, in_flight: int) -> None:
        step_s = min(MAX_STEP_S, now - self._grown_at)
        self._grown_at = now
        ceiling = min(self.cap, 2.0 * in_flight)
        if self.limit < ceiling:
            self.limit = min(ceiling, self.limit + INCREASE_PER_S * step_s)

    def _decrease(self, now: float, in_flight: int) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._grown_at = now
        self.limit = max(MIN_LIMIT, min(self.limit, in_flight) * DECREASE)


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
        target = (
            self.limit * min(1.0, max(0.5, gradient))
            + self.limit**0.5 * GRADIENT_INCREASE
        )
        smoothed = self.limit + GRADIENT_SMOOTHING * (target - self.limit)
        self.limit = min(self.cap, max(MIN_LIMIT, smoothed))


class ServiceLimiter(Protocol):
    """Bounds what a VM has in flight at all servers of a service."""

    limit: float

    def update(self, now: float, outcome: AttemptOutcome, n_running: int) -> None:
        """Take in an attempt; ``n_running`` counts it as still running."""


SERVICE_LIMITERS: Registry[type[ServiceLimiter]] = Registry("service limiter")


@SERVICE_LIMITERS.register("none")
class NoServiceLimiter:
    """Leaves the bound to the limits of the servers."""

    def __init__(self) -> None:
        self.limit = float("inf")

    def update(self, now: float, outcome: AttemptOutcome, n_running: int) -> None:
        """Change nothing."""


@SERVICE_LIMITERS.register("aimd")
class AimdServiceLimiter:
    """Grows by answers, so that slow requests do not win slots over time.

    With an increase of a / limit for an answer and a fixed part off for a shed
    one, the limit at a given share of shed answers does not depend on how long
    requests run: VMs with slow requests and VMs with quick ones come to the
    same number of slots.
    """

    __slots__ = ("_decreased_at", "limit")

    def __init__(self) -> None:
        self.limit = float("inf")
        self._decreased_at = float("-inf")

    def update(self, now: float, outcome: AttemptOutcome, n_running: int) -> None:
        """Adapt to the end of one attempt."""
        if outcome is AttemptOutcome.ANSWERED:
            if self.limit < 2.0 * n_running:
                self.limit += SERVICE_INCREASE / self.limit
        elif outcome is AttemptOutcome.SHED:
            self._decrease(now, n_running)

    def _decrease(self, now: float, n_running: int) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        lowered = min(self.limit, n_running) * SERVICE_DECREASE
        self.limit = max(MIN_SERVICE_LIMIT, lowered)
