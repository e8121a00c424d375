"""Adaptive concurrency limits of one VM, per server and per service.

A server's slots are shared by all VMs. No VM knows how many slots there are or
how many requests the others send. A limiter per server adapts to that server.
A service limiter bounds the requests in flight at all servers of a service, so
that VMs which share the servers converge to equal parts.
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
    """Adapts the concurrency limit of one server to the outcomes of its attempts.

    ``limit`` never exceeds ``cap``, the connections that the VM may open.
    """

    limit: float
    cap: float

    def __init__(self, *, start: float, cap: float): ...

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Adapt to the end of one attempt, which ``in_flight`` still includes."""


LIMITERS: Registry[type[Limiter]] = Registry("limiter")


@LIMITERS.register("fixed")
class FixedLimiter:
    """Keeps the initial limit: the server's stated number of slots."""

    __slots__ = ("cap", "limit")

    def __init__(self, *, start: float, cap: float):
        self.cap = cap
        self.limit = min(start, cap)

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Leave the limit as it is."""


@LIMITERS.register("aimd")
class AimdLimiter:
    """Additive increase by time, multiplicative decrease on shed or timeout.

    The limit grows with time and not with answers, so a VM that floods the
    servers grows no faster than one that sends few requests. The limit grows
    only while it is used, and a shed answer lowers it below the number of
    requests in flight. A burst of shed answers counts once per
    ``DECREASE_INTERVAL_S``.
    """

    __slots__ = ("_decreased_at", "_increased_at", "cap", "limit")

    def __init__(self, *, start: float, cap: float):
        self.cap = cap
        self.limit = min(start, cap)
        self._decreased_at = float("-inf")
        self._increased_at = float("-inf")

    def update(
        self, now: float, outcome: AttemptOutcome, latency_s: float, in_flight: int
    ) -> None:
        """Adapt to the end of one attempt."""
        if outcome in CONGESTION:
            self._decrease(now, in_flight)
        elif outcome is AttemptOutcome.ANSWERED:
            self._increase(now, in_flight)

    def _increase(self, now: float, in_flight: int) -> None:
        step_s = min(MAX_STEP_S, now - self._increased_at)
        self._increased_at = now
        ceiling = min(self.cap, 2.0 * in_flight)
        if self.limit < ceiling:
            self.limit = min(ceiling, self.limit + INCREASE_PER_S * step_s)

    def _decrease(self, now: float, in_flight: int) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._increased_at = now
        self.limit = max(MIN_LIMIT, min(self.limit, in_flight) * DECREASE)


@LIMITERS.register("gradient")
class GradientLimiter:
    """Shrinks when latency exceeds a slowly rising baseline, grows otherwise.

    The baseline is the lowest batch mean. It drifts upwards so that an old
    minimum expires. Shed answers decrease the limit as in ``AimdLimiter``.
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
    """Bounds the requests of a VM in flight at all servers of a service."""

    limit: float

    def update(self, now: float, outcome: AttemptOutcome, n_running: int) -> None:
        """Adapt to the end of one attempt, which ``n_running`` still includes."""


SERVICE_LIMITERS: Registry[type[ServiceLimiter]] = Registry("service limiter")


@SERVICE_LIMITERS.register("none")
class NoServiceLimiter:
    """No bound besides the limits of the servers."""

    def __init__(self) -> None:
        self.limit = float("inf")

    def update(self, now: float, outcome: AttemptOutcome, n_running: int) -> None:
        """Leave the limit as it is."""


@SERVICE_LIMITERS.register("aimd")
class AimdServiceLimiter:
    """AIMD that grows with answers, so that slow requests gain no slots over time.

    Every answer increases the limit by a / limit, and a shed answer decreases it
    by a fixed part. So the limit at a given rate of shed answers does not depend
    on how long requests run: VMs with slow and with quick requests converge to
    the same number of slots.
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
