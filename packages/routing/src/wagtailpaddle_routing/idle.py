"""Limit on the idle time of connections that are reused."""

MIN_IDLE_S = 0.1
SAFETY_FACTOR = 0.7
"""Factor from the idle time of a closed connection to the new limit."""

LOWERED_LIMIT_TTL_S = 10.0


class IdleBound:
    """Adapts the idle time after which a connection is no longer reused.

    A server may close an idle connection without notice, and the next request
    on it is lost. After a loss the limit is lower for ``LOWERED_LIMIT_TTL_S``.

    >>> bound = IdleBound(usual_s=1.0)
    >>> bound.record_loss(5.0, idle_s=0.5)
    >>> bound.max_idle_s(5.1), bound.max_idle_s(20.0)
    (0.35, 1.0)
    """

    def __init__(self, *, usual_s: float):
        self._usual_s = usual_s
        self._lowered_s = usual_s
        self._lowered_at = float("-inf")

    def max_idle_s(self, now: float) -> float:
        """Return the longest idle time of a connection to reuse, in seconds."""
        if now - self._lowered_at > LOWERED_LIMIT_TTL_S:
            return self._usual_s
        return self._lowered_s

    def record_loss(self, now: float, *, idle_s: float) -> None:
        """Record that a connection had been closed after ``idle_s`` of idle time."""
        safe_s = max(MIN_IDLE_S, idle_s * SAFETY_FACTOR)
        if safe_s < self.max_idle_s(now):
            self._lowered_s = safe_s
            self._lowered_at = now
