"""Tokens that this VM fetched from the VM that keeps an account's bucket."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wagtailpaddle_core import AccountId, VmId

from wagtailpaddle_quota.messages import (
    Decision,
    Granted,
    Limit,
    Refused,
    TakeTokens,
    TokenGrant,
    TokensTaken,
    TokenWish,
    WaitUntil,
)
from wagtailpaddle_quota.pool import WINDOW_S, TokenPool

ASK_EVERY_S = 0.25
LEAD_S = 0.5
"""Tokens are fetched this far ahead of the demand."""

DEMAND_WINDOW_S = 1.0
POLL_S = 0.1
PATIENCE_S = 0.4
"""How long a request waits for a token at most."""

IDLE_S = 3.0
AVOID_S = 2.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 10.0
MIN_RATE = 0.1
"""Requests/s below which a rate does not lengthen Retry-After any more."""

LOCAL_START_TOKENS = 2.0
LOCAL_LEAST_BURST = 3.0
"""Requests that may come at once at a VM without a keeper, so that an account with a
small part there is not refused for two requests in a row."""

START_PARTS = 6.0
"""Into how many parts a rate is cut while the fleet starts and has no keeper."""

CUT_PARTS = 12.0
"""Into how many parts a rate is cut at a VM that reaches none of its keepers."""


@dataclass(frozen=True, slots=True)
class AskTokens:
    """Send ``body`` to ``vm``; report ``on_reply`` or ``on_failed``."""

    vm: VmId
    body: TakeTokens


class _Stock:
    """Tokens of one account on this VM, and the demand for them."""

    __slots__ = (
        "asking",
        "demand",
        "demand_at",
        "dry_until",
        "n_waiting",
        "tokens",
        "used_at",
    )

    def __init__(self, now: float):
        self.tokens = 0.0
        self.demand = 0.0
        self.demand_at = now
        self.used_at = now
        self.dry_until = float("-inf")
        self.n_waiting = 0
        self.asking = False

    def note_demand(self, now: float, n_requests: float = 1.0) -> None:
        """Count requests towards the demand, in requests/s."""
        elapsed_s = max(0.0, now - self.demand_at)
        self.demand *= math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self.demand += n_requests / DEMAND_WINDOW_S
        self.demand_at = now

    def target(self, now: float) -> float:
        """Return how many tokens should be at hand."""
        self.note_demand(now, 0.0)
        return self.demand * LEAD_S + 1.0

    def wish(self, now: float, account: AccountId) -> TokenWish | None:
        """Return what to ask the keeper for, or to give back; None for nothing."""
        if now - self.used_at > IDLE_S:
            returned, self.tokens = self.tokens, 0.0
            return TokenWish(account, 0.0, returned=returned) if returned else None
        ahead = float(max(0, math.ceil(self.target(now) - self.tokens)))
        if now < self.dry_until:
            ahead = 0.0
        if not ahead and not self.n_waiting:
            return None
        return TokenWish(account, float(self.n_waiting), ahead)


class StockedRates:
    """Decides whether a request is within its account's fleet-wide rate.

    The buckets of an account are kept by one VM; the others fetch tokens ahead
    of their demand, so most requests wait for nobody. ``keepers`` are the VMs
    to ask, the best first. While none of them answers, this VM admits a part of
    the rate by itself. ``spare`` is how far the fleet may exceed a limit for tokens
    that lie unused on some VM.
    """

    patience_s = PATIENCE_S

    def __init__(
        self,
        vm: VmId,
        limits: Callable[[AccountId], Limit | None],
        *,
        refill: str = "plain",
        window_s: float = WINDOW_S,
        spare: float = 0.0,
    ):
        self.vm = vm
        self._limits = limits
        self._pool = TokenPool(limits, refill=refill, window_s=window_s, spare=spare)
        self._local = TokenPool(
            self._local_limit,
            refill=refill,
            window_s=window_s,
            start_tokens=LOCAL_START_TOKENS,
        )
        self._stocks: dict[AccountId, _Stock] = {}
        self._keepers: tuple[VmId, ...] = ()
        self._avoid_until: dict[VmId, float] = {}
        self._asked_at = float("-inf")

    def set_keepers(self, now: float, keepers: Sequence[VmId]) -> None:
        """State which VMs keep the buckets, the best first."""
        was_first = self._keepers[:1] == (self.vm,)
        self._keepers = tuple(keepers)
        if self._keepers[:1] == (self.vm,) and not was_first:
            self._pool.take_over(now)

    @property
    def keepers(self) -> tuple[VmId, ...]:
        """The VMs that keep the buckets, the best first."""
        return self._keepers

    def may_spend(self, now: float) -> bool:
        """Return whether requests can be admitted; some part always can."""
        return True

    def take(self, now: float, account: AccountId, deadline_at: float) -> Decision:
        """Take one token for a request that waits until ``deadline_at`` at most."""
        limit = self._limits(account)
        if limit is None or math.isinf(limit.rate):
            return Granted()
        stock = self._stocks.get(account)
        if stock is None:
            stock = self._stocks[account] = _Stock(now)
        if stock.tokens < 1.0 and self._keeper(now) in (self.vm, None):
            self._serve_self(now, account, stock)
        stock.used_at = now
        if stock.tokens >= 1.0:
            stock.tokens -= 1.0
            stock.note_demand(now)
            return Granted()
        return self._wait(now, limit, stock, deadline_at)

    def _wait(
        self, now: float, limit: Limit, stock: _Stock, deadline_at: float
    ) -> Decision:
        if now < stock.dry_until or now + POLL_S > deadline_at:
            wait_s = max(stock.dry_until - now, 1.0 / max(limit.rate, MIN_RATE))
            return Refused(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))
        stock.n_waiting += 1
        return WaitUntil(now + POLL_S)

    def tick(self, now: float) -> tuple[AskTokens, ...]:
        """Fetch ahead of the demand and give back what is not used."""
        if now - self._asked_at < ASK_EVERY_S:
            return ()
        return self._ask(now, tuple(self._stocks))

    def fetch(self, now: float, account: AccountId) -> tuple[AskTokens, ...]:
        """Ask for tokens at once, because a request waits."""
        return self._ask(now, (account,))

    def on_message(self, now: float, message: TakeTokens) -> TokensTaken:
        """Another VM asks for tokens of accounts that this VM keeps."""
        return TokensTaken(self._pool.grant(now, message.wishes))

    def on_reply(
        self, now: float, vm: VmId, message: TakeTokens, reply: TokensTaken
    ) -> None:
        """The keeper answered."""
        self._avoid_until.pop(vm, None)
        self._settle(message)
        waiting = {wish.account: wish.waiting for wish in message.wishes}
        for grant in reply.grants:
            self._receive(now, grant, waiting.get(grant.account, 0.0))

    def on_failed(self, now: float, vm: VmId, message: TakeTokens) -> None:
        """The keeper did not answer; what it granted is lost."""
        self._avoid_until[vm] = now + AVOID_S
        self._settle(message)

    def _ask(
        self, now: float, accounts: tuple[AccountId, ...]
    ) -> tuple[AskTokens, ...]:
        keeper = self._keeper(now)
        if keeper is None or keeper == self.vm:
            return ()
        wishes = []
        for account in accounts:
            stock = self._stocks.get(account)
            if stock is None or stock.asking:
                continue
            wish = stock.wish(now, account)
            if wish is not None:
                stock.asking = True
                wishes.append(wish)
            elif now - stock.used_at > IDLE_S:
                del self._stocks[account]
        if not wishes:
            return ()
        self._asked_at = now
        return (AskTokens(keeper, TakeTokens(tuple(wishes))),)

    def _serve_self(self, now: float, account: AccountId, stock: _Stock) -> None:
        """Take from the buckets here, or from this VM's part of the rate."""
        pool = self._pool if self._keeper(now) == self.vm else self._local
        (grant,) = pool.grant(now, (TokenWish(account, 1.0),))
        self._receive(now, grant, 1.0)

    def _receive(self, now: float, grant: TokenGrant, waiting: float) -> None:
        stock = self._stocks.get(grant.account)
        if stock is None or not 0.0 <= grant.granted < math.inf:
            return
        stock.tokens += grant.granted
        stock.n_waiting = 0
        is_dry = grant.granted < max(1.0, waiting)
        stock.dry_until = now + grant.wait_s if is_dry else float("-inf")

    def _settle(self, message: TakeTokens) -> None:
        for wish in message.wishes:
            stock = self._stocks.get(wish.account)
            if stock is not None:
                stock.asking = False

    def _keeper(self, now: float) -> VmId | None:
        for vm in self._keepers:
            if self._avoid_until.get(vm, float("-inf")) <= now:
                return vm
        return None

    def _local_limit(self, account: AccountId) -> Limit | None:
        limit = self._limits(account)
        if limit is None:
            return None
        parts = CUT_PARTS if self._keepers else START_PARTS
        burst = max(LOCAL_LEAST_BURST, limit.burst / parts)
        return Limit(limit.rate / parts, burst)
