"""Schedule of a node's regular ticks."""

ACTIVE_TICK_INTERVAL_S = 0.05
IDLE_TICK_INTERVAL_S = 0.2
ACTIVE_PERIOD_S = 2.0


class TickScheduler:
    """Computes when the next regular tick is due.

    Requests, messages of peers and ticks with results are activity, which keeps
    ticks frequent for ``ACTIVE_PERIOD_S`` seconds. Without activity no timer is
    shorter than the idle tick interval.

    >>> scheduler = TickScheduler()
    >>> scheduler.record_tick(10.0)
    >>> scheduler.next_tick(10.0)
    10.2
    >>> scheduler.record_activity(10.1)
    >>> round(scheduler.next_tick(10.1), 2)
    10.15
    """

    def __init__(self) -> None:
        self._last_tick_at = float("-inf")
        self._last_activity_at = float("-inf")
        self._active_since = float("-inf")

    def record_activity(self, now: float) -> None:
        """Record an event after which more work may be due within a short time."""
        if now - self._last_activity_at > ACTIVE_PERIOD_S:
            self._active_since = now
        self._last_activity_at = now

    def record_tick(self, now: float) -> None:
        """Record a tick."""
        self._last_tick_at = now

    def next_tick(self, now: float) -> float:
        """Return when the next tick is due; before ``now`` if it is overdue."""
        idle_at = self._last_tick_at + IDLE_TICK_INTERVAL_S
        if now - self._last_activity_at > ACTIVE_PERIOD_S:
            return idle_at
        active_at = max(self._last_tick_at, self._active_since) + ACTIVE_TICK_INTERVAL_S
        return min(active_at, idle_at)
