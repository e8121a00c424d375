"""Demand and borrowed tokens of one client account on one VM."""

import math
from collections import deque
from collections.abc import Sequence

from wagtailpaddle_core import AccountId, VmId

from wagtailpaddle_quota.lending_bucket import LOAN_TERM_S
from wagtailpaddle_quota.messages import LoanAnswer, LoanRequest, SendPeer

DEMAND_WINDOW_S = 1.0
PREFETCH_S = 0.15
"""Tokens are borrowed this far ahead of demand."""

PREFETCH_MIN_TOKENS = 0.3
"""For less demand in ``PREFETCH_S``, tokens are borrowed only when a request waits."""

MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.08
RETURN_AFTER_S = 0.05
"""Delay after which surplus tokens are returned and spent ones are reported."""

IDLE_AFTER_S = 5.0


class _Lender:
    """Loan state: available ``tokens`` and the capacity ``reserved`` at the lender."""

    __slots__ = (
        "backoff_s",
        "backoff_until",
        "expires_at",
        "failed",
        "request_pending",
        "requested",
        "reserved",
        "sent_at",
        "sequence",
        "tokens",
    )

    def __init__(self) -> None:
        self.tokens: float = 0.0
        self.expires_at: float = 0.0
        self.sequence: int = 0
        self.sent_at: float = 0.0
        self.requested: float = 0.0
        self.reserved: float = 0.0
        self.failed: bool = False
        self.request_pending: bool = False
        self.backoff_until: float = 0.0
        self.backoff_s: float = MIN_BACKOFF_S


class Borrower:
    """The demand of one client account on this VM and its borrowed tokens.

    Borrowed tokens expire ``LOAN_TERM_S`` after the request that obtained or
    renewed them was sent, on this VM's clock. The lender, which received the
    request later, reserves capacity for them slightly longer.
    """

    def __init__(self, account: AccountId, now: float):
        self.account = account
        self._lenders: dict[VmId, _Lender] = {}
        self._retry_times: deque[float] = deque()
        self._demand = 0.0
        self._demand_at = now
        self._used_at = now

    def demand(self, now: float) -> float:
        """Return the recent rate of granted requests, in requests/s."""
        elapsed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-elapsed / DEMAND_WINDOW_S)

    def record_grant(self, now: float) -> None:
        """Count a granted request."""
        self._demand = self.demand(now) + 1.0 / DEMAND_WINDOW_S
        self._demand_at = now
        self._used_at = now

    def retry_at(self, now: float, min_wait_s: float, spacing_s: float) -> float:
        """Return when the next waiting request should retry."""
        self._used_at = now
        self._discard_past_retries(now)
        at = now + min_wait_s
        if self._retry_times:
            at = max(at, self._retry_times[-1] + spacing_s)
        return at

    def add_waiting(self, at: float) -> None:
        """Add a waiting request that retries at ``at``."""
        self._retry_times.append(at)

    def n_waiting(self, now: float) -> int:
        """Return how many requests wait for a token."""
        self._discard_past_retries(now)
        return len(self._retry_times)

    def tokens(self, now: float) -> float:
        """Return the borrowed tokens that may be spent at ``now``."""
        return sum(
            item.tokens for item in self._lenders.values() if now < item.expires_at
        )

    def acquire(self, now: float) -> bool:
        """Spend one borrowed token, from the loan that expires first."""
        usable = [item for item in self._lenders.values() if now < item.expires_at]
        spendable = [item for item in usable if item.tokens >= 1.0]
        if not spendable:
            return False
        min(spendable, key=lambda item: item.expires_at).tokens -= 1.0
        return True

    def target(self, now: float) -> float:
        """Return how many tokens this VM should have available at ``now``."""
        prefetched = self.demand(now) * PREFETCH_S
        ahead = math.ceil(prefetched) if prefetched >= PREFETCH_MIN_TOKENS else 0
        return float(ahead + self.n_waiting(now))

    def active(self, now: float) -> bool:
        """Return whether a message to a lender may be due."""
        if self._retry_times or self.target(now) > 0.0:
            return True
        return any(item.tokens or item.reserved for item in self._lenders.values())

    def lenders_unreachable(self) -> bool:
        """Return whether the last message to each lender failed."""
        lenders = self._lenders.values()
        return bool(lenders) and all(lender.failed for lender in lenders)

    def idle(self, now: float) -> bool:
        """Return whether the state of this account can be discarded without loss."""
        if now - self._used_at < IDLE_AFTER_S:
            return False
        return not any(item.request_pending for item in self._lenders.values()) and (
            self.tokens(now) == 0.0
        )

    def due_messages(
        self, now: float, own_tokens: float, lenders: Sequence[VmId], sequence: int
    ) -> tuple[SendPeer, ...]:
        """Return the messages to lenders that are due at ``now``.

        ``own_tokens`` are available in this VM's shares. Messages are numbered
        from ``sequence``.
        """
        self._discard_expired(now)
        target = self.target(now)
        requested = sum(
            item.requested for item in self._lenders.values() if item.request_pending
        )
        shortfall = max(0.0, target - own_tokens - self.tokens(now) - requested)
        wanted = self._split_among(now, shortfall, lenders)
        sent: list[SendPeer] = []
        surplus = own_tokens >= target
        for vm in sorted(set(wanted) | self._due_lenders(now, surplus)):
            return_tokens = vm not in wanted and surplus
            message = self._loan_request(
                now, vm, sequence + len(sent), wanted.get(vm, 0.0), return_tokens
            )
            sent.append(SendPeer(vm, message))
        return tuple(sent)

    def on_reply(self, now: float, vm: VmId, reply: LoanAnswer) -> None:
        """Add the tokens that ``vm`` granted, unless its answer is outdated."""
        lender = self._lenders.get(vm)
        if (
            lender is None
            or not lender.request_pending
            or lender.sequence != reply.sequence
        ):
            return
        lender.request_pending = False
        lender.failed = False
        if now >= lender.expires_at:
            lender.tokens = 0.0
        if reply.renewed:
            lender.expires_at = lender.sent_at + LOAN_TERM_S
            granted = min(max(0.0, reply.granted), lender.requested)
            lender.tokens += granted
            lender.reserved += granted
        if reply.granted > 0.0:
            lender.backoff_s = MIN_BACKOFF_S
        elif lender.requested > 0.0:
            self._back_off(now, lender)

    def on_call_failed(self, now: float, vm: VmId, sequence: int) -> None:
        """Handle a failed call; the message or its answer may be lost."""
        lender = self._lenders.get(vm)
        if lender is None or not lender.request_pending or lender.sequence != sequence:
            return
        lender.request_pending = False
        lender.failed = True
        lender.reserved += lender.requested
        self._back_off(now, lender)

    def _back_off(self, now: float, lender: _Lender) -> None:
        lender.backoff_until = now + lender.backoff_s
        lender.backoff_s = min(MAX_BACKOFF_S, 2.0 * lender.backoff_s)

    def _split_among(
        self, now: float, shortfall: float, lenders: Sequence[VmId]
    ) -> dict[VmId, float]:
        """Return how many tokens to request from each lender."""
        if shortfall <= 0.0:
            return {}
        available = []
        for vm in lenders:
            lender = self._lenders.setdefault(vm, _Lender())
            if not lender.request_pending and now >= lender.backoff_until:
                available.append(vm)
        if not available:
            return {}
        available.sort(key=lambda vm: (self._lenders[vm].sent_at, vm))
        n_tokens = math.ceil(shortfall)
        n_requests = min(len(available), n_tokens)
        return {
            vm: float(n_tokens // n_requests + (index < n_tokens % n_requests))
            for index, vm in enumerate(available[:n_requests])
        }

    def _due_lenders(self, now: float, surplus: bool) -> set[VmId]:
        """Return the lenders that need a message about their loan.

        Surplus tokens are returned and others renewed. Spent tokens are reported,
        so that the lender's bucket can refill.
        """
        keep_s = RETURN_AFTER_S if surplus else LOAN_TERM_S / 2
        due = set()
        for vm, item in self._lenders.items():
            if item.request_pending or now < item.backoff_until:
                continue
            renewal_due = (
                item.tokens > 0.0 and item.expires_at - now <= LOAN_TERM_S - keep_s
            )
            spent = item.reserved - item.tokens >= 1.0
            if renewal_due or (spent and now - item.sent_at >= RETURN_AFTER_S):
                due.add(vm)
        return due

    def _loan_request(
        self, now: float, vm: VmId, sequence: int, wanted: float, return_tokens: bool
    ) -> LoanRequest:
        lender = self._lenders[vm]
        returned = lender.tokens if return_tokens else 0.0
        lender.tokens -= returned
        lender.reserved = lender.tokens
        lender.sequence = sequence
        lender.sent_at = now
        lender.requested = wanted
        lender.request_pending = True
        return LoanRequest(self.account, sequence, lender.tokens, returned, wanted)

    def _discard_expired(self, now: float) -> None:
        for vm in list(self._lenders):
            lender = self._lenders[vm]
            if now < lender.expires_at:
                continue
            lender.tokens = 0.0
            if now >= lender.sent_at + LOAN_TERM_S:
                lender.reserved = 0.0
            if (
                not lender.request_pending
                and now >= lender.backoff_until + IDLE_AFTER_S
            ):
                del self._lenders[vm]

    def _discard_past_retries(self, now: float) -> None:
        while self._retry_times and self._retry_times[0] <= now:
            self._retry_times.popleft()
