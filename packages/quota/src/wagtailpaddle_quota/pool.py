"""Token buckets of client accounts, owned by one VM for the whole fleet."""

import math
from collections.abc import Callable
from copy import copy, deepcopy
from dataclasses import dataclass

from wagtailpaddle_core import AccountId, Registry, only

from wagtailpaddle_quota.bucket import TokenBucket
from wagtailpaddle_quota.messages import Limit, TokenGrant, TokenRequest

INITIAL_TOKENS = 5.0
"""Tokens in a bucket when its owner takes over. They are few because the previous
owner may just have granted the whole burst."""

BUCKET_BURST_FRACTION = 0.3
"""Bucket size as a fraction of the burst, where limits apply to windows."""

MIN_BUCKET_SIZE = 3.0
"""Smallest bucket size in tokens, unless the burst is smaller."""

PREFETCH_MIN_FILL = 0.5
"""Only tokens above this fraction of the bucket size are granted ahead of demand."""

MAX_WAIT_S = 60.0
WINDOW_S = 5.0

Limits = Callable[[AccountId], Limit | None]


@dataclass(frozen=True, slots=True)
class Refill:
    """Rate (tokens/s) and size (tokens) of the bucket that enforces a limit."""

    rate: float
    burst: float


RefillPolicy = Callable[[Limit, float], Refill]
"""Returns the refill that enforces a limit, given the window length in seconds."""

REFILL_POLICIES: Registry[RefillPolicy] = Registry("refill")


@REFILL_POLICIES.register("plain")
def plain_refill(limit: Limit, window_s: float) -> Refill:
    """Refill at the limit's rate, up to its burst."""
    return Refill(limit.rate, max(1.0, limit.burst))


@REFILL_POLICIES.register("window")
def windowed_refill(limit: Limit, window_s: float) -> Refill:
    """Allow rate * window + burst in every window, spread over the window.

    A bucket admits at most refill rate * window + size in any window. Part of the
    burst becomes the size and the rest is added to the refill, so that an account
    above its limit is served at an even rate instead of in short bursts.

    >>> windowed_refill(Limit(rate=10.0, burst=20.0), 5.0)
    Refill(rate=12.8, burst=6.0)
    """
    size = max(
        min(MIN_BUCKET_SIZE, limit.burst), limit.burst * BUCKET_BURST_FRACTION, 1.0
    )
    spread = max(0.0, limit.burst - size)
    return Refill(limit.rate + spread / window_s, size)


class TokenPool:
    """Grants tokens of the accounts whose buckets this VM owns.

    Each bucket holds up to ``slack`` extra tokens. They make up for tokens that
    lie unused on one VM while another has a request for them.

    >>> pool = TokenPool(lambda account: Limit(rate=2.0, burst=4.0))
    >>> pool.grant(0.0, TokenRequest(AccountId("kiosk"), 9.0)).granted
    4.0
    """

    def __init__(
        self,
        limits: Limits,
        *,
        refill: str = "plain",
        window_s: float = WINDOW_S,
        initial_tokens: float = INITIAL_TOKENS,
        slack: float = 0.0,
    ):
        self._limits = limits
        self._slack = slack
        self._refill = REFILL_POLICIES[refill]
        self._window_s = window_s
        self._initial_tokens = initial_tokens
        self._owner_since: float | None = None
        self._buckets: dict[AccountId, TokenBucket] = {}

    def copy_for(self, account: AccountId) -> "TokenPool":
        """Return a copy with the bucket of one account."""
        reduced = copy(self)
        reduced._buckets = deepcopy(only(self._buckets, account))
        return reduced

    def tokens(self, now: float, account: AccountId, part: float = 1.0) -> float:
        """Return the tokens in the bucket of an account."""
        limit = self._limits(account)
        if limit is None:
            return 0.0
        return self._bucket(now, account, limit, part).tokens(now)

    def take_over(self, now: float) -> None:
        """Become the bucket owner; the buckets start to refill at ``now``."""
        self._owner_since = now
        self._buckets.clear()

    def owe(self, now: float, account: AccountId, seconds: float) -> None:
        """Owe the tokens of so many seconds, which others may have granted."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.owe(now, bucket.rate * seconds)

    def grant(self, now: float, request: TokenRequest, part: float = 1.0) -> TokenGrant:
        """Debit and return the tokens that can be granted, of a part of the rate."""
        limit = self._limits(request.account)
        amounts = (request.waiting, request.ahead, request.returned)
        if limit is None or not all(0.0 <= item < math.inf for item in amounts):
            return TokenGrant(request.account, 0.0, MAX_WAIT_S)
        bucket = self._bucket(now, request.account, limit, part)
        bucket.refund(now, request.returned)
        granted = float(math.floor(min(request.waiting, bucket.tokens(now))))
        bucket.acquire(now, granted)
        granted += self._grant_prefetch(now, bucket, request.ahead)
        wait_s = bucket.wait_s(now) if bucket.rate > 0.0 else MAX_WAIT_S
        return TokenGrant(request.account, granted, min(MAX_WAIT_S, wait_s))

    def _grant_prefetch(self, now: float, bucket: TokenBucket, ahead: float) -> float:
        """Grant prefetched tokens only while the bucket is well filled.

        The tokens of a bucket that runs low go to the requests that arrive first.
        """
        surplus = bucket.tokens(now) - bucket.burst * PREFETCH_MIN_FILL
        granted = float(max(0, math.floor(min(ahead, surplus))))
        bucket.acquire(now, granted)
        return granted

    def _bucket(
        self, now: float, account: AccountId, limit: Limit, part: float
    ) -> TokenBucket:
        whole = self._refill(limit, self._window_s)
        least = min(MIN_BUCKET_SIZE, whole.burst)
        size = max(least, (whole.burst + self._slack) * part)
        refill = Refill(whole.rate * part, size)
        bucket = self._buckets.get(account)
        if bucket is None:
            since = now if self._owner_since is None else self._owner_since
            tokens = self._initial_tokens + (now - since) * refill.rate
            bucket = TokenBucket(rate=refill.rate, burst=size, tokens=tokens, now=now)
            self._buckets[account] = bucket
        bucket.set_limit(now, rate=refill.rate, burst=size)
        return bucket
