"""Sequential test that keeps a server suspect until its failure rate is known."""

import math

from wagtailpaddle_health.window import Counts

GRAY_FAILURE_RATE = 0.2
"""Smallest failure rate that a test has to distinguish from the usual one."""

OPEN_NATS = 2.5
CLOSE_NATS = 0.6
MAX_USUAL_RATE = 0.1
"""At this usual rate and above, a test is closed at once."""

MONITOR_TEST_S = 5.0
LOCAL_TEST_S = 0.5
OPEN_TEST_SUSPICION = 0.2


class SequentialTest:
    """Wald's test of ``GRAY_FAILURE_RATE`` against the usual failure rate.

    It starts with a failure and makes the server suspect while it is open. It ends
    when the attempts since then are likelier at the usual rate, or some seconds
    after the last failure. It only raises suspicion; ejection depends on the
    windows.

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
        """Whether the test has started and counts attempts."""
        return self._n_failure > 0

    def add(self, now: float, counts: Counts) -> None:
        """Add attempts; successes count only after the first failure.

        Successes in the same report as the first failure may be older than it.
        """
        if self._n_failure:
            self._n_success += counts.n_attempts - counts.n_failure
        if counts.n_failure:
            self._n_failure += counts.n_failure
            self._last_failure_at = now

    def suspicion(self, now: float, usual: float, duration_s: float) -> float:
        """Return the suspicion given the ``usual`` failure rate, 0 if closed.

        The test lasts ``duration_s`` seconds after the last failure.
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
