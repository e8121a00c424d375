"""Servers that are cold, that is, slow and limited for some time after a start."""

from math import isfinite

from wagtailpaddle_core import ServerId, ServiceId

MAX_COLD_S = 60.0
"""Longest time that a statement is believed, whatever it says."""

EXPIRY_INTERVAL_S = 5.0

Target = tuple[ServiceId, ServerId]


class ColdServers:
    """Tracks until when servers stay cold, from all statements about one start.

    The age of a statement is not known, so its time counts from the receipt: the end
    is too late rather than too early. The statement with the latest end holds, and one
    that the server is warm shortens no earlier one.

    >>> cold = ColdServers()
    >>> target = ServiceId("booking"), ServerId("s1")
    >>> cold.record(10.0, target, 3.0), cold.record(11.0, target, 0.0)
    (True, False)
    >>> cold.until(target)
    13.0
    """

    def __init__(self) -> None:
        self._ends: dict[Target, float] = {}
        self._next_expiry_at = 0.0

    def until(self, target: Target) -> float:
        """Return when a server is warm, minus infinity if it was never cold."""
        return self._ends.get(target, float("-inf"))

    def record(self, now: float, target: Target, left_s: float) -> bool:
        """Record a statement of how long a server stays cold; return if it holds."""
        if not isfinite(left_s) or left_s <= 0.0:
            return False
        ends_at = now + min(left_s, MAX_COLD_S)
        if ends_at <= self.until(target):
            return False
        self._ends[target] = ends_at
        return True

    def forget(self, target: Target) -> bool:
        """Forget a server that started again; return whether it was known as cold."""
        return self._ends.pop(target, None) is not None

    def expire(self, now: float) -> None:
        """Remove servers that have been warm for longer than any attempt lasts."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_S
        earliest = now - MAX_COLD_S
        for target in [key for key, at in self._ends.items() if at < earliest]:
            del self._ends[target]
