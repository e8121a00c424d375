"""Sequential test that keeps a server suspect until it is told from a usual one."""

import math

from wagtailpaddle_health.window import Counts

GRAY_FAILURE_RATE = 0.2
"""Least rate of failures that a test has to tell from the usual one."""

OPEN_NATS = 2.5
CLOSE_NATS = 0.6
MAX_USUAL_RATE = 0.1
MONITOR_TEST_S = 5.0
LOCAL_TEST_S = 0.5
OPEN_TEST_SUSPICION = 0.2


class SequentialTest:
    """Wald's test of ``GRAY_FAILURE_RATE`` against the usual rate of failures.

    It begins with a failure, asks for more evidence while open, and ends when
    the attempts since then speak for a usual server, or some seconds after the
    last failure. It raises suspicion only; for an ejection the windows decide.

    >>> test = SequentialTest()
    >>> test.add(0.0, Counts(1, 1))
    >>> test.suspicion(0.0, 0.01, MONITOR_TEST_S)
    0.2
    >>> test.add(0.5, Counts(12))
    >>> test.suspicion(0.5, 0.01, MONITOR_TEST_S)
    0.0
    """

    __slots__ = ("_is_open", "_last_failure_at", "_n_failure", "_n_success")

    def __init__(self) -> None:
        self._is_open = False
        self._last_failure_at = 0.0
        self._n_failure = 0
        self._n_success = 0

    @property
    def is_active(self) -> bool:
        """Whether attempts are counted."""
        return self._n_failure > 0

    def add(self, now: float, counts: Counts) -> None:
        """Count attempts; those told with the first failure may be older."""
        if self._n_failure:
            self._n_success += counts.n_attempts - counts.n_failure
        if counts.n_failure:
            self._n_failure += counts.n_failure
            self._last_failure_at = now

    def suspicion(self, now: float, usual: float, duration_s: float) -> float:
        """Return the suspicion at a ``usual`` rate of failures, 0 when closed.

        ``duration_s`` is how many seconds the test lasts after its last failure.
        """
        if not self._n_failure:
            return 0.0
        nats = (
            self._log_likelihood_ratio(usual) if usual < MAX_USUAL_RATE else CLOSE_NATS
        )
        if nats <= CLOSE_NATS or now >= self._last_failure_at + duration_s:
            self._is_open = False
            self._n_failure = self._n_success = 0
            return 0.0
        self._is_open = self._is_open or nats >= OPEN_NATS
        return OPEN_TEST_SUSPICION if self._is_open else 0.0

    def _log_likelihood_ratio(self, usual: float) -> float:
        ratio = self._n_failure * math.log(GRAY_FAILURE_RATE / usual)
        return ratio + self._n_success * math.log((1 - GRAY_FAILURE_RATE) / (1 - usual))
