"""A token bucket that takes the current time as an argument."""

from wagtailpaddle_core import ensure


class TokenBucket:
    """Tokens that refill at ``rate`` per second up to ``burst``.

    >>> bucket = TokenBucket(rate=2.0, burst=1.0, tokens=1.0, now=0.0)
    >>> bucket.acquire(0.0), bucket.acquire(0.0), bucket.acquire(0.5)
    (True, False, True)
    """

    def __init__(self, *, rate: float, burst: float, tokens: float, now: float):
        self.rate = rate
        self.burst = burst
        self._tokens = min(tokens, burst)
        self._filled_at = now

    def tokens(self, now: float) -> float:
        """Return the tokens available at ``now``."""
        self._refill(now)
        return max(0.0, self._tokens)

    def acquire(self, now: float, amount: float = 1.0) -> bool:
        """Debit ``amount`` tokens; return False and debit none if there are fewer."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        ensure(self._tokens >= 0, "bucket-not-negative", tokens=self._tokens)
        return True

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` tokens are available."""
        self._refill(now)
        missing = amount - self._tokens
        return max(0.0, missing / self.rate)

    def refund(self, now: float, amount: float) -> None:
        """Return acquired tokens that were not used, up to the burst."""
        self._refill(now)
        self._tokens = min(self.burst, self._tokens + amount)

    def owe(self, now: float, amount: float) -> None:
        """Debit tokens that were used elsewhere, up to the burst below none."""
        self._refill(now)
        self._tokens = max(-self.burst, self._tokens - amount)

    def set_limit(self, now: float, *, rate: float, burst: float) -> None:
        """Change rate and burst from ``now`` on."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(burst, self._tokens)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.rate)
        self._filled_at = max(self._filled_at, now)
