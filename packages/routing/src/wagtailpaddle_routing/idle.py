"""How long a connection may have been idle and still serve the next request."""

MIN_IDLE_S = 0.1
CAUTION = 0.7
"""Part of an idle time after which a connection was gone that counts as safe."""

LEARNED_FOR_S = 10.0


class IdleBound:
    """Bounds the idle time of connections by what became of others.

    Servers may drop idle connections without notice; the next request there is
    lost. After one loss shorter idle times are asked for a while.

    >>> bound = IdleBound(usual_s=1.0)
    >>> bound.lost(5.0, idle_s=0.5)
    >>> bound.allowed_s(5.1), bound.allowed_s(20.0)
    (0.35, 1.0)
    """

    def __init__(self, *, usual_s: float):
        self._usual_s = usual_s
        self._learned_s = usual_s
        self._learned_at = float("-inf")

    def allowed_s(self, now: float) -> float:
        """Return how long a connection may have been idle, in seconds."""
        if now - self._learned_at > LEARNED_FOR_S:
            return self._usual_s
        return self._learned_s

    def lost(self, now: float, *, idle_s: float) -> None:
        """A connection was gone after ``idle_s`` of idleness."""
        safe_s = max(MIN_IDLE_S, idle_s * CAUTION)
        if safe_s < self.allowed_s(now):
            self._learned_s = safe_s
            self._learned_at = now
