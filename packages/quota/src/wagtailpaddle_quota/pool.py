"""The buckets of client accounts, kept on one VM for the whole fleet."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wagtailpaddle_core import AccountId, Registry

from wagtailpaddle_quota.bucket import TokenBucket
from wagtailpaddle_quota.messages import Limit, TokenGrant, TokenWish

START_TOKENS = 5.0
"""What a bucket holds when its keeper takes over: the former one may just have
given all."""

AT_ONCE_PART = 0.3
"""Part of the burst that may come at once, where limits hold in windows."""

LEAST_SIZE = 3.0
"""Tokens that a bucket holds at least, as far as the burst allows."""

AMPLE_PART = 0.5
"""Tokens ahead of the demand are given while the bucket is at least this full."""

MAX_WAIT_S = 60.0
WINDOW_S = 5.0

Limits = Callable[[AccountId], Limit | None]


@dataclass(frozen=True, slots=True)
class Refill:
    """Rate (tokens/s) and burst (tokens) of the bucket that keeps a limit."""

    rate: float
    burst: float


MakeRefill = Callable[[Limit, float], Refill]
"""Returns what keeps a limit, given the window of the deployment in seconds."""

REFILLS: Registry[MakeRefill] = Registry("refill")


@REFILLS.register("plain")
def refill_plainly(limit: Limit, window_s: float) -> Refill:
    """Refill at the rate, up to the burst."""
    return Refill(limit.rate, max(1.0, limit.burst))


@REFILLS.register("window")
def refill_for_windows(limit: Limit, window_s: float) -> Refill:
    """Allow rate * window + burst in every window, spread over it.

    A bucket admits at most refill rate * window + size in any window. A part of
    the burst is its size; the rest of it comes with the refill, so that an
    account above its limit is served evenly and not by fits and starts.

    >>> refill_for_windows(Limit(rate=10.0, burst=20.0), 5.0)
    Refill(rate=12.8, burst=6.0)
    """
    size = max(min(LEAST_SIZE, limit.burst), limit.burst * AT_ONCE_PART, 1.0)
    spread = max(0.0, limit.burst - size)
    return Refill(limit.rate + spread / window_s, size)


class TokenPool:
    """Grants the tokens of the accounts that this VM keeps.

    ``spare`` tokens more are out at a time: those that lie unused on some VM are
    missing where a request comes.

    >>> pool = TokenPool(lambda account: Limit(rate=2.0, burst=4.0))
    >>> pool.grant(0.0, [TokenWish(AccountId("kiosk"), 9.0)])[0].granted
    4.0
    """

    def __init__(
        self,
        limits: Limits,
        *,
        refill: str = "plain",
        window_s: float = WINDOW_S,
        start_tokens: float = START_TOKENS,
        spare: float = 0.0,
    ):
        self._limits = limits
        self._spare = spare
        self._refill = REFILLS[refill]
        self._window_s = window_s
        self._start_tokens = start_tokens
        self._since: float | None = None
        self._buckets: dict[AccountId, TokenBucket] = {}

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
        wait_s = bucket.wait(now) if bucket.rate > 0.0 else MAX_WAIT_S
        return TokenGrant(wish.account, granted, min(MAX_WAIT_S, wait_s))

    def _ahead(self, now: float, bucket: TokenBucket, ahead: float) -> float:
        """Give tokens for later only out of a bucket that is rather full.

        Out of one that runs dry, a token goes to the request that comes first.
        """
        spare = bucket.tokens(now) - bucket.burst * AMPLE_PART
        given = float(max(0, math.floor(min(ahead, spare))))
        bucket.take(now, given)
        return given

    def _bucket(self, now: float, account: AccountId, limit: Limit) -> TokenBucket:
        refill = self._refill(limit, self._window_s)
        size = refill.burst + self._spare
        bucket = self._buckets.get(account)
        if bucket is None:
            since = now if self._since is None else self._since
            tokens = self._start_tokens + (now - since) * refill.rate
            bucket = TokenBucket(rate=refill.rate, burst=size, tokens=tokens, now=now)
            self._buckets[account] = bucket
        bucket.set_limit(now, rate=refill.rate, burst=size)
        return bucket
