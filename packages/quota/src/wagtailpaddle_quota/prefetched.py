"""The tokens of one account that a VM has fetched, and its part of the rate."""

import math

from wagtailpaddle_core import AccountId, VmId

from wagtailpaddle_quota.messages import TokenRequest

REQUEST_INTERVAL_S = 0.25
PREFETCH_S = 0.5
"""Tokens are fetched this far ahead of demand."""

DEMAND_WINDOW_S = 1.0
IDLE_S = 3.0
STATE_INTERVAL_S = 2.0
"""A VM states the parts that it holds at least this often."""

PART_TTL_S = 45.0
"""A part that no owner of the whole rate has given anew for this time is void."""


class HeldPart:
    """A part of a rate that a VM holds.

    ``hold`` with ``is_whole`` says that it comes from one that had the whole rate; an
    other one only returns what it was told.

    >>> held = HeldPart()
    >>> held.hold(0.0, 0.25, is_whole=True)
    >>> held.value(1.0), held.value(PART_TTL_S + 1.0)
    (0.25, 0.0)
    """

    __slots__ = ("_given_at", "_part")

    def __init__(self) -> None:
        self._part = 0.0
        self._given_at = float("-inf")

    def hold(self, now: float, part: float, *, is_whole: bool) -> None:
        """Hold a part, from 0 to 1."""
        self._part = min(1.0, max(0.0, part))
        if is_whole:
            self._given_at = now

    def value(self, now: float) -> float:
        """Return the part; one that was not given anew for long is void."""
        return 0.0 if now - self._given_at > PART_TTL_S else self._part


class PrefetchedTokens:
    """Prefetched tokens of one account on this VM, and the demand for them."""

    __slots__ = (
        "demand",
        "demand_at",
        "empty_until",
        "n_waiting",
        "part",
        "request_pending",
        "stated_at",
        "stated_to",
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
        self.part = HeldPart()
        self.stated_to: VmId | None = None
        self.stated_at = float("-inf")

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

    def next_request(
        self, now: float, account: AccountId, owner: VmId
    ) -> TokenRequest | None:
        """Return the next request for the bucket owner, or None if none is due."""
        if now - self.used_at > IDLE_S:
            return self._farewell(now, account)
        ahead = 0.0
        if now >= self.empty_until and (self.is_low(now) or self.n_waiting):
            ahead = float(max(0, math.ceil(self.target(now) - self.tokens)))
        if not ahead and not self.n_waiting and not self._must_state(now, owner):
            return None
        part = self.part.value(now)
        return TokenRequest(account, float(self.n_waiting), ahead, part=part)

    def _farewell(self, now: float, account: AccountId) -> TokenRequest | None:
        """Give back the tokens and the part of an idle account, if it has any."""
        returned, part = self.tokens, self.part.value(now)
        if not returned and not part:
            return None
        self.tokens, self.part = 0.0, HeldPart()
        return TokenRequest(
            account, 0.0, returned=returned, part=part, is_farewell=True
        )

    def _must_state(self, now: float, owner: VmId) -> bool:
        """Return whether the owner has to be told what part this VM holds."""
        is_told = owner == self.stated_to and now - self.stated_at <= STATE_INTERVAL_S
        return self.part.value(now) > 0.0 and not is_told

    def hold_part(
        self, now: float, owner: VmId, part: float, *, is_whole: bool
    ) -> None:
        """Hold the part that an owner gave, or left as it was told."""
        self.stated_to, self.stated_at = owner, now
        self.part.hold(now, part, is_whole=is_whole)
