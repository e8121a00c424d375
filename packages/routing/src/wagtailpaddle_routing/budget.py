"""Retry budget: bounds how much retries can amplify the load of an outage."""

RETRIES_PER_REQUEST = 0.2
RETRIES_PER_S = 0.5
MAX_TOKENS = 20.0
MIN_BUCKET_SIZE = 1.0


class RetryBudget:
    """A token bucket for retries, refilled by first attempts and slowly by time.

    In the long run the retries of one service on one VM stay under
    ``per_request`` of its requests plus ``per_s`` a second. ``per_s`` and
    ``max_tokens`` are divided by the number of VMs that share them; the size of
    the bucket is at least one token.

    >>> budget = RetryBudget(now=0.0)
    >>> budget.acquire(0.0)
    True
    """

    def __init__(
        self,
        *,
        now: float,
        per_request: float = RETRIES_PER_REQUEST,
        per_s: float = RETRIES_PER_S,
        max_tokens: float = MAX_TOKENS,
        n_vms: int = 1,
    ):
        self._per_request = per_request
        self._fleet_per_s = per_s
        self._fleet_max_tokens = max_tokens
        self._per_s = per_s / n_vms
        self._max_tokens = max(MIN_BUCKET_SIZE, max_tokens / n_vms)
        self._tokens = self._max_tokens
        self._filled_at = now

    def share(self, now: float, n_vms: int) -> None:
        """Set how many VMs share ``per_s`` and ``max_tokens``."""
        tokens = self.tokens(now)
        self._per_s = self._fleet_per_s / n_vms
        self._max_tokens = max(MIN_BUCKET_SIZE, self._fleet_max_tokens / n_vms)
        self._tokens = min(tokens, self._max_tokens)

    def tokens(self, now: float) -> float:
        """Return the number of tokens in the bucket."""
        if now > self._filled_at:
            earned = (now - self._filled_at) * self._per_s
            self._tokens = min(self._max_tokens, self._tokens + earned)
            self._filled_at = now
        return self._tokens

    def deposit(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._per_request)

    def has_token(self, now: float) -> bool:
        """Return whether ``acquire`` would succeed now."""
        return self.tokens(now) >= 1.0

    def acquire(self, now: float) -> bool:
        """Remove one token; return whether there was one."""
        if not self.has_token(now):
            return False
        self._tokens -= 1.0
        return True

    def is_mostly_full(self, now: float) -> bool:
        """Return whether more than half of the tokens are left."""
        return self.tokens(now) > self._max_tokens / 2
