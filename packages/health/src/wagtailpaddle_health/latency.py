"""The latency above which an attempt counts as slow.

It is a multiple of the service's median latency.
"""

from statistics import median

MIN_SAMPLES = 20
MEDIAN_STEP = 0.02
SLOW_FACTOR = 4.0
SLOW_MARGIN_S = 0.02
DEFAULT_LIMIT_S = 2.0


class LatencyLimit:
    """Estimates the median latency of a service in constant memory.

    The estimate moves by 2 % towards each sample, so a few slow servers or
    requests hardly change it. With fewer than ``MIN_SAMPLES`` samples the limit is
    ``DEFAULT_LIMIT_S``.
    """

    __slots__ = ("_first_samples", "_median_s")

    def __init__(self) -> None:
        self._first_samples: list[float] = []
        self._median_s = 0.0

    @property
    def limit_s(self) -> float:
        """The latency in seconds above which an attempt is slow."""
        if not self._median_s:
            return DEFAULT_LIMIT_S
        return max(SLOW_FACTOR * self._median_s, self._median_s + SLOW_MARGIN_S)

    def add(self, latency_s: float) -> None:
        """Record the latency of a successful attempt."""
        if self._median_s:
            factor = 1 + MEDIAN_STEP
            if latency_s < self._median_s:
                factor = 1 / factor
            self._median_s *= factor
            return
        self._first_samples.append(latency_s)
        if len(self._first_samples) == MIN_SAMPLES:
            self._median_s = max(median(self._first_samples), 1e-6)
            self._first_samples = []
