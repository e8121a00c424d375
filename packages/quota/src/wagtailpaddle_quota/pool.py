"""The buckets of client accounts, kept on one VM for the whole fleet."""

import math
from collections.abc import Callable, Iterable
from typing import Protocol

from wagtailpaddle_core import AccountId, Registry

from wagtailpaddle_quota.bucket import TokenBucket
from wagtailpaddle_quota.messages import Limit, TokenGrant, TokenWish
from wagtailpaddle_quota.window import WindowBucket

START_TOKENS = 5.0
"""What a bucket holds when its keeper takes over: the former one may just have
given all."""

AMPLE_PART = 0.5
"""Tokens ahead of the demand are given while the bucket is at least this full."""

MAX_WAIT_S = 60.0
WINDOW_S = 5.0

Limits = Callable[[AccountId], Limit | None]


class Bucket(Protocol):
    """What an account may still send, by one meaning of rate and burst."""

    rate: float
    burst: float

    @property
    def capacity(self) -> float:
        """The most that can be taken at once."""

    def tokens(self, now: float) -> float:
        """Return what can be taken at ``now``."""

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take ``amount``, or nothing and return False."""

    def give(self, now: float, amount: float) -> None:
        """Put back what was taken and not used."""

    def wait(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` can be taken."""

    def set_limit(self, now: float, *, rate: float, burst: float) -> None:
        """Change rate and burst from now on."""


MakeBucket = Callable[[float, Limit, float, float], Bucket]
"""Makes a bucket: (now, limit, tokens at first, window in seconds)."""

BUCKETS: Registry[MakeBucket] = Registry("bucket")


@BUCKETS.register("refill")
def make_refilling(
    now: float, limit: Limit, tokens: float, window_s: float
) -> TokenBucket:
    """Return a bucket that refills at the rate, up to the burst."""
    burst = max(1.0, limit.burst)
    return TokenBucket(rate=limit.rate, burst=burst, tokens=tokens, now=now)


@BUCKETS.register("window")
def make_window(
    now: float, limit: Limit, tokens: float, window_s: float
) -> WindowBucket:
    """Return a bucket that allows rate * window + burst in any window."""
    return WindowBucket(
        rate=limit.rate, burst=limit.burst, tokens=tokens, now=now, window_s=window_s
    )


class TokenPool:
    """Grants the tokens of the accounts that this VM keeps.

    >>> pool = TokenPool(lambda account: Limit(rate=2.0, burst=4.0))
    >>> pool.grant(0.0, [TokenWish(AccountId("kiosk"), 9.0)])[0].granted
    4.0
    """

    def __init__(
        self, limits: Limits, *, bucket: str = "refill", window_s: float = WINDOW_S
    ):
        self._limits = limits
        self._make = BUCKETS[bucket]
        self._window_s = window_s
        self._since: float | None = None
        self._buckets: dict[AccountId, Bucket] = {}

    def take_over(self, now: float) -> None:
        """Begin to keep the buckets: they fill from now on."""
        self._since = now
        self._buckets.clear()

    def grant(self, now: float, wishes: Iterable[TokenWish]) -> tuple[TokenGrant, ...]:
        """Debit what can be given of each wish, and return it."""
        return tuple(self._grant(now, wish) for wish in wishes)

    def _grant(self, now: float, wish: TokenWish) -> TokenGrant:
        limit = self._limits(wish.account)
        amounts = (wish.waiting, wish.ahead, wish.returned)
        if limit is None or not all(0.0 <= item < math.inf for item in amounts):
            return TokenGrant(wish.account, 0.0, MAX_WAIT_S)
        bucket = self._bucket(now, wish.account, limit)
        bucket.give(now, wish.returned)
        granted = float(math.floor(min(wish.waiting, bucket.tokens(now))))
        bucket.take(now, granted)
        granted += self._ahead(now, bucket, wish.ahead)
        wait_s = bucket.wait(now) if limit.rate > 0.0 else MAX_WAIT_S
        return TokenGrant(wish.account, granted, min(MAX_WAIT_S, wait_s))

    def _ahead(self, now: float, bucket: Bucket, ahead: float) -> float:
        """Give tokens for later only out of a bucket that is rather full.

        Out of one that runs dry, a token goes to the request that comes first.
        """
        spare = bucket.tokens(now) - bucket.capacity * AMPLE_PART
        given = float(max(0, math.floor(min(ahead, spare))))
        bucket.take(now, given)
        return given

    def _bucket(self, now: float, account: AccountId, limit: Limit) -> Bucket:
        burst = max(1.0, limit.burst)
        bucket = self._buckets.get(account)
        if bucket is None:
            since = now if self._since is None else self._since
            tokens = START_TOKENS + (now - since) * limit.rate
            bucket = self._make(now, limit, tokens, self._window_s)
            self._buckets[account] = bucket
        bucket.set_limit(now, rate=limit.rate, burst=burst)
        return bucket
