"""Audits over the requests that all VMs admitted."""

from collections import deque
from dataclasses import dataclass

SLACK_REQUESTS = 1e-3


@dataclass(frozen=True, slots=True)
class Excess:
    """A request that was admitted beyond the rate and burst."""

    at: float
    account: str
    excess: float


class RateAudit:
    """Checks admitted <= burst + rate * t over every interval, in O(n).

    That holds for every interval if and only if a token bucket of the same
    rate and burst, full at the start, never runs dry. While a change
    propagates, and for ``overlap_s`` after it, the larger rate and burst apply.
    """

    def __init__(self, account: str, rate: float, burst: float, overlap_s: float):
        self.account = account
        self.n_admitted = 0
        self.excess: list[Excess] = []
        self._overlap_s = overlap_s
        self._limits: deque[tuple[float, float, float]] = deque()
        self._current = (rate, burst)
        self._tokens = burst
        self._at = 0.0

    def change(self, now: float, rate: float, burst: float) -> None:
        """Set the limit; no VM uses the former one from ``now`` on."""
        self._refill(now)
        self._limits.append((now + self._overlap_s, *self._current))
        self._current = (rate, burst)

    @property
    def current_rate(self) -> float:
        """The rate in force."""
        return self._current[0]

    def admit(self, now: float) -> None:
        """Record an admitted request."""
        self._refill(now)
        self.n_admitted += 1
        self._tokens -= 1.0
        if self._tokens < -SLACK_REQUESTS:
            self.excess.append(Excess(now, self.account, -self._tokens))
            self._tokens = 0.0

    def _refill(self, now: float) -> None:
        while self._limits and self._limits[0][0] <= now:
            self._fill(self._limits[0][0])
            self._limits.popleft()
        self._fill(now)

    def _fill(self, now: float) -> None:
        limits = [self._current, *((r, b) for _, r, b in self._limits)]
        rate = max(rate for rate, _ in limits)
        burst = max(burst for _, burst in limits)
        elapsed = max(0.0, now - self._at)
        self._tokens = min(burst, self._tokens + rate * elapsed)
        self._at = max(self._at, now)
