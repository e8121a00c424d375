"""Rate limiter that prefetches tokens from the owner of an account's bucket."""

import math
from collections.abc import Callable, Sequence
from copy import copy, deepcopy
from dataclasses import dataclass

from wagtailpaddle_core import AccountId, VmId, only

from wagtailpaddle_quota.messages import (
    Decision,
    Granted,
    Limit,
    RatePreview,
    Refused,
    TokenGrant,
    TokenGrantBatch,
    TokenRequest,
    TokenRequestBatch,
    WaitUntil,
)
from wagtailpaddle_quota.pool import WINDOW_S, TokenPool

REQUEST_INTERVAL_S = 0.25
PREFETCH_S = 0.5
"""Tokens are fetched this far ahead of demand."""

DEMAND_WINDOW_S = 1.0
RETRY_INTERVAL_S = 0.1
MAX_WAIT_S = 0.4
"""Longest time that a request waits for a token."""

IDLE_S = 3.0
OWNER_BACKOFF_S = 2.0
RESUME_S = 0.3
"""Calls that fail this soon after a stall were pending during it."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 10.0
MIN_RETRY_RATE = 0.1
"""Rates (requests/s) below this do not lengthen Retry-After any further."""

LOCAL_INITIAL_TOKENS = 2.0
LOCAL_MIN_BURST = 3.0
"""Smallest burst, in requests, on a VM without a bucket owner. An account with a
small part of its rate there is then not refused for two requests in a row."""

STARTUP_RATE_DIVISOR = 6.0
"""Divisor of a rate while the fleet starts and has no bucket owner."""

ISOLATED_RATE_DIVISOR = 12.0
"""Divisor of a rate on a VM that reaches none of its bucket owners."""


@dataclass(frozen=True, slots=True)
class FetchTokens:
    """Send ``body`` to ``vm``, then call ``on_reply`` or ``on_call_failed``."""

    vm: VmId
    body: TokenRequestBatch


class _PrefetchedTokens:
    """Prefetched tokens of one account on this VM, and the demand for them."""

    __slots__ = (
        "demand",
        "demand_at",
        "empty_until",
        "n_waiting",
        "request_pending",
        "tokens",
        "used_at",
    )

    def __init__(self, now: float):
        self.tokens = 0.0
        self.demand = 0.0
        self.demand_at = now
        self.used_at = now
        self.empty_until = float("-inf")
        self.n_waiting = 0
        self.request_pending = False

    def record_demand(self, now: float, n_requests: float = 1.0) -> None:
        """Add requests to the decaying average of the demand, in requests/s."""
        elapsed_s = max(0.0, now - self.demand_at)
        self.demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self.demand += n_requests / DEMAND_WINDOW_S
        self.demand_at = now

    def target(self, now: float) -> float:
        """Return how many tokens should be available."""
        self.record_demand(now, 0.0)
        return self.demand * PREFETCH_S + 1.0

    def is_low(self, now: float) -> bool:
        """Return whether the tokens may run out before the next request for some.

        Topping up after every use would take a call for each token.
        """
        self.record_demand(now, 0.0)
        return self.tokens < max(1.0, self.demand * REQUEST_INTERVAL_S)

    def next_request(self, now: float, account: AccountId) -> TokenRequest | None:
        """Return the next request for the bucket owner, or None if none is due."""
        if now - self.used_at > IDLE_S:
            returned, self.tokens = self.tokens, 0.0
            return TokenRequest(account, 0.0, returned=returned) if returned else None
        ahead = 0.0
        if now >= self.empty_until and (self.is_low(now) or self.n_waiting):
            ahead = float(max(0, math.ceil(self.target(now) - self.tokens)))
        if not ahead and not self.n_waiting:
            return None
        return TokenRequest(account, float(self.n_waiting), ahead)


class PrefetchingRateLimiter:
    """Decides whether a request is within its account's fleet-wide rate.

    One VM owns the buckets of an account. The others fetch tokens ahead of demand,
    so most requests do not wait for a reply. ``owners`` are the VMs to request
    tokens from, the preferred one first. While none of them answers, this VM admits
    a fraction of the rate on its own. ``slack`` is the number of tokens by which
    the fleet may exceed a limit, to make up for tokens that lie unused on some VM.
    """

    max_wait_s = MAX_WAIT_S

    def __init__(
        self,
        vm: VmId,
        limits: Callable[[AccountId], Limit | None],
        *,
        refill: str = "plain",
        window_s: float = WINDOW_S,
        slack: float = 0.0,
    ):
        self.vm = vm
        self._limits = limits
        self._pool = TokenPool(limits, refill=refill, window_s=window_s, slack=slack)
        self._local_pool = TokenPool(
            self._local_limit,
            refill=refill,
            window_s=window_s,
            initial_tokens=LOCAL_INITIAL_TOKENS,
        )
        self._prefetched: dict[AccountId, _PrefetchedTokens] = {}
        self._owners: tuple[VmId, ...] = ()
        self._backoff_until: dict[VmId, float] = {}
        self._requested_at = float("-inf")
        self._granted_at = float("-inf")
        self._resumed_at = float("-inf")

    def set_owners(self, now: float, owners: Sequence[VmId]) -> None:
        """Set the bucket owners, the preferred one first."""
        was_owner = self._is_owner
        self._owners = tuple(owners)
        if self._is_owner and not was_owner:
            self._begin_granting(now)

    def on_stall(self, now: float) -> None:
        """This process stood still: others may have granted in its place."""
        self._pool.take_over(now)
        self._resumed_at = now

    @property
    def _is_owner(self) -> bool:
        """Whether this VM is the preferred owner."""
        return self._owners[:1] == (self.vm,)

    def _begin_granting(self, now: float) -> None:
        """Begin with few tokens, unless this VM is the one that granted lately.

        Its buckets may be full by now, while another VM granted the whole rate.
        """
        if now - self._granted_at > OWNER_BACKOFF_S:
            self._pool.take_over(now)
        self._granted_at = now

    def _record_grant(self, now: float) -> None:
        if not self._is_owner:
            self._begin_granting(now)
        self._granted_at = now

    @property
    def owners(self) -> tuple[VmId, ...]:
        """The bucket owners, the preferred one first."""
        return self._owners

    def may_spend(self, now: float) -> bool:
        """Return True: some fraction of the rate can always be admitted."""
        return True

    def acquire(self, now: float, account: AccountId, deadline_at: float) -> Decision:
        """Acquire a token for a request that can wait until ``deadline_at``."""
        limit = self._limits(account)
        if limit is None or math.isinf(limit.rate):
            return Granted()
        prefetched = self._prefetched.get(account)
        if prefetched is None:
            prefetched = self._prefetched[account] = _PrefetchedTokens(now)
        if prefetched.tokens < 1.0 and self._current_owner(now) in (self.vm, None):
            self._acquire_locally(now, account, prefetched)
        prefetched.used_at = now
        if prefetched.tokens >= 1.0:
            prefetched.tokens -= 1.0
            prefetched.record_demand(now)
            return Granted()
        return self._wait_or_refuse(now, limit, prefetched, deadline_at)

    def preview(
        self, now: float, account: AccountId, deadline_at: float
    ) -> RatePreview:
        """Return what ``acquire`` would decide, without taking a token."""
        limit = self._limits(account)
        if limit is None or math.isinf(limit.rate):
            return RatePreview(Granted())
        trial = self._copy_for(account)
        tokens = trial._spendable(now, account)
        decision = trial.acquire(now, account, deadline_at)
        return RatePreview(decision, limit.rate, limit.burst, tokens)

    def _copy_for(self, account: AccountId) -> "PrefetchingRateLimiter":
        """Return a copy with the tokens of one account."""
        reduced = copy(self)
        reduced._pool = self._pool.copy_for(account)
        reduced._local_pool = self._local_pool.copy_for(account)
        reduced._prefetched = deepcopy(only(self._prefetched, account))
        return reduced

    def _spendable(self, now: float, account: AccountId) -> float:
        """Return the prefetched tokens, with those of the bucket if it is here."""
        prefetched = self._prefetched.get(account)
        tokens = 0.0 if prefetched is None else prefetched.tokens
        owner = self._current_owner(now)
        if owner == self.vm:
            # A VM that becomes the owner begins with few tokens.
            self._record_grant(now)
            return tokens + self._pool.tokens(now, account)
        if owner is None:
            return tokens + self._local_pool.tokens(now, account)
        return tokens

    def _wait_or_refuse(
        self,
        now: float,
        limit: Limit,
        prefetched: _PrefetchedTokens,
        deadline_at: float,
    ) -> Decision:
        if now < prefetched.empty_until or now + RETRY_INTERVAL_S > deadline_at:
            wait_s = max(
                prefetched.empty_until - now, 1.0 / max(limit.rate, MIN_RETRY_RATE)
            )
            return Refused(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))
        prefetched.n_waiting += 1
        return WaitUntil(now + RETRY_INTERVAL_S)

    def tick(self, now: float) -> tuple[FetchTokens, ...]:
        """Request tokens ahead of demand and return those of idle accounts."""
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return ()
        return self._request_tokens(now, tuple(self._prefetched))

    def fetch(self, now: float, account: AccountId) -> tuple[FetchTokens, ...]:
        """Request tokens at once, because a request is waiting."""
        return self._request_tokens(now, (account,))

    def on_message(self, now: float, message: TokenRequestBatch) -> TokenGrantBatch:
        """Grant another VM tokens from the buckets that this VM owns.

        It may be asked in place of a preferred owner that does not answer.
        """
        self._record_grant(now)
        return TokenGrantBatch(self._pool.grant(now, message.wishes))

    def on_reply(
        self, now: float, vm: VmId, message: TokenRequestBatch, reply: TokenGrantBatch
    ) -> None:
        """Receive the tokens that the bucket owner granted."""
        self._backoff_until.pop(vm, None)
        self._clear_pending(message)
        n_waiting_for = {request.account: request.waiting for request in message.wishes}
        for grant in reply.grants:
            self._receive(now, grant, n_waiting_for.get(grant.account, 0.0))

    def on_call_failed(self, now: float, vm: VmId, message: TokenRequestBatch) -> None:
        """Back off from an owner that did not answer; tokens it granted are lost.

        A call that this VM was too late to complete says nothing of the owner.
        """
        if now - self._resumed_at > RESUME_S:
            self._backoff_until[vm] = now + OWNER_BACKOFF_S
        self._clear_pending(message)

    def _request_tokens(
        self, now: float, accounts: tuple[AccountId, ...]
    ) -> tuple[FetchTokens, ...]:
        owner = self._current_owner(now)
        if owner is None or owner == self.vm:
            return ()
        requests = []
        for account in accounts:
            prefetched = self._prefetched.get(account)
            if prefetched is None or prefetched.request_pending:
                continue
            request = prefetched.next_request(now, account)
            if request is not None:
                prefetched.request_pending = True
                requests.append(request)
            elif now - prefetched.used_at > IDLE_S:
                del self._prefetched[account]
        if not requests:
            return ()
        self._requested_at = now
        return (FetchTokens(owner, TokenRequestBatch(tuple(requests))),)

    def _acquire_locally(
        self, now: float, account: AccountId, prefetched: _PrefetchedTokens
    ) -> None:
        """Acquire a token from the owned buckets or this VM's fraction of the rate."""
        is_owner = self._current_owner(now) == self.vm
        if is_owner:
            self._record_grant(now)
        pool = self._pool if is_owner else self._local_pool
        (grant,) = pool.grant(now, (TokenRequest(account, 1.0),))
        self._receive(now, grant, 1.0)

    def _receive(self, now: float, grant: TokenGrant, waiting: float) -> None:
        prefetched = self._prefetched.get(grant.account)
        if prefetched is None or not 0.0 <= grant.granted < math.inf:
            return
        prefetched.tokens += grant.granted
        prefetched.n_waiting = 0
        is_empty = grant.granted < max(1.0, waiting)
        prefetched.empty_until = now + grant.wait_s if is_empty else float("-inf")

    def _clear_pending(self, message: TokenRequestBatch) -> None:
        for request in message.wishes:
            prefetched = self._prefetched.get(request.account)
            if prefetched is not None:
                prefetched.request_pending = False

    def _current_owner(self, now: float) -> VmId | None:
        for vm in self._owners:
            if self._backoff_until.get(vm, float("-inf")) <= now:
                return vm
        return None

    def _local_limit(self, account: AccountId) -> Limit | None:
        limit = self._limits(account)
        if limit is None:
            return None
        divisor = ISOLATED_RATE_DIVISOR if self._owners else STARTUP_RATE_DIVISOR
        burst = max(LOCAL_MIN_BURST, limit.burst / divisor)
        return Limit(limit.rate / divisor, burst)
