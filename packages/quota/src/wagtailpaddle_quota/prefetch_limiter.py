"""Rate limiter that prefetches tokens from the owner of an account's bucket."""

import math
from collections.abc import Callable, Collection, Sequence
from copy import copy, deepcopy
from dataclasses import dataclass, replace

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
from wagtailpaddle_quota.parts import SILENT_S, PartLedger
from wagtailpaddle_quota.pool import WINDOW_S, TokenPool
from wagtailpaddle_quota.prefetched import (
    IDLE_S,
    REQUEST_INTERVAL_S,
    STATE_INTERVAL_S,
    HeldPart,
    PrefetchedTokens,
)

RETRY_INTERVAL_S = 0.1
MAX_WAIT_S = 0.4
"""Longest time that a request waits for a token."""

OWNER_BACKOFF_S = 2.0
RESUME_S = 0.3
"""Calls that fail this soon after a stall were pending during it."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 10.0
MIN_RETRY_RATE = 0.1
"""Rates (requests/s) below this do not lengthen Retry-After any further."""

MAX_INQUIRIES = 8
IDLE_REPORT_S = 60.0
"""How long a VM that is no longer in use tells the owner that it holds nothing."""

TRICKLE_PART = 0.01
"""Least part of a rate on a VM that grants, whatever it was given."""

PART_WAIT_S = 1.0
"""Longest time until one that grants only a part of the rates is asked again."""

LOCAL_INITIAL_TOKENS = 2.0
STARTUP_RATE_DIVISOR = 6.0
"""Divisor of a rate while the fleet starts and has no bucket owner."""


@dataclass(frozen=True, slots=True)
class FetchTokens:
    """Send ``body`` to ``vm``, then call ``on_reply`` or ``on_call_failed``."""

    vm: VmId
    body: TokenRequestBatch


class PrefetchingRateLimiter:
    """Decides whether a request is within its account's fleet-wide rate.

    One VM owns the buckets of an account. The others fetch tokens ahead of demand,
    so most requests do not wait for a reply. ``owners`` are the VMs to request
    tokens from, the preferred one first. While none of them answers, this VM admits
    its part of the rate on its own. Whoever is asked grants what no VM may be using
    that it doesn't hear (``PartLedger``). ``slack`` is the number of tokens by which
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
            limits,
            refill=refill,
            window_s=window_s,
            initial_tokens=LOCAL_INITIAL_TOKENS,
        )
        self._prefetched: dict[AccountId, PrefetchedTokens] = {}
        self._owners: tuple[VmId, ...] = ()
        self._backoff_until: dict[VmId, float] = {}
        self._ledger = PartLedger(vm)
        self._in_use: frozenset[VmId] = frozenset()
        self._requested_at = float("-inf")
        self._base_part = HeldPart()
        self._busy_at = float("-inf")
        self._idle_for: VmId | None = None
        self._inquired_at = float("-inf")
        self._local_at = float("-inf")
        self._granted_at = float("-inf")
        self._resumed_at = float("-inf")

    def set_owners(self, now: float, owners: Sequence[VmId]) -> None:
        """Set the bucket owners, the preferred one first."""
        was_owner = self._is_owner
        self._owners = tuple(owners)
        if self._is_owner and not was_owner:
            self._begin_granting(now)

    def set_vms(
        self, now: float, in_use: Collection[VmId], is_known: Callable[[VmId], bool]
    ) -> None:
        """Set which VMs are in use, and which ones the fleet still knows."""
        self._in_use = frozenset(in_use)
        self._ledger.set_vms(now, self._in_use, is_known)

    def silent(self, now: float) -> tuple[VmId, ...]:
        """Return the VMs that may be using their part of the rates by themselves."""
        return self._ledger.silent(now)

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

    def is_granting(self, now: float) -> bool:
        """Return whether this VM has granted tokens lately."""
        return now - self._granted_at <= OWNER_BACKOFF_S

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
            prefetched = self._prefetched[account] = PrefetchedTokens(now)
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
        reduced._ledger = self._ledger.copy_for(account)
        reduced._base_part = copy(self._base_part)
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
            part = max(TRICKLE_PART, self._ledger.available(now, account))
            return tokens + self._pool.tokens(now, account, part)
        if owner is None:
            part = self._local_part(now, prefetched)
            return tokens + self._local_pool.tokens(now, account, part)
        return tokens

    def _wait_or_refuse(
        self,
        now: float,
        limit: Limit,
        prefetched: PrefetchedTokens,
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
        fetches = self._request_tokens(now, tuple(self._prefetched))
        return (fetches or self._report(now)) + self._inquire(now)

    def _inquire(self, now: float) -> tuple[FetchTokens, ...]:
        """Ask VMs that have told this one nothing whether they hold parts."""
        if not self.is_granting(now) or now - self._inquired_at < REQUEST_INTERVAL_S:
            return ()
        self._inquired_at = now
        unheard = self._ledger.unheard(now)[:MAX_INQUIRIES]
        inquiry = TokenRequestBatch((), is_inquiry=True)
        return tuple(FetchTokens(vm, inquiry) for vm in unheard)

    def _report(self, now: float) -> tuple[FetchTokens, ...]:
        """Tell the owner that this VM reaches it, if it may hold any part."""
        owner = self._current_owner(now)
        if owner is None or owner == self.vm:
            return ()
        if self.vm in self._in_use or self._prefetched or self._holds_parts(now):
            self._busy_at = now
            self._idle_for = None
        elif not self._is_idle_report_due(now, owner):
            return ()
        else:
            self._idle_for = owner
        return self._fetch(now, owner, ())

    def _is_idle_report_due(self, now: float, owner: VmId) -> bool:
        """Return whether to tell the owner, at once or again, that this VM is idle."""
        if now - self._busy_at > IDLE_REPORT_S:
            return False
        is_told = owner == self._idle_for
        return not is_told or now - self._requested_at >= STATE_INTERVAL_S

    def fetch(self, now: float, account: AccountId) -> tuple[FetchTokens, ...]:
        """Request tokens at once, because a request is waiting."""
        return self._request_tokens(now, (account,))

    def on_message(
        self, now: float, sender: VmId, message: TokenRequestBatch
    ) -> TokenGrantBatch:
        """Grant another VM tokens from the buckets that this VM owns.

        It may be asked in place of a preferred owner that does not answer.
        """
        if message.is_inquiry:
            return TokenGrantBatch((), holds_parts=self._holds_parts(now))
        if self._ledger.is_alone(now):
            # The others have asked another VM, while the buckets here were filling.
            self._pool.take_over(now)
        if message.wishes:
            self._record_grant(now)
        parts = {wish.account: wish.part for wish in message.wishes}
        self._ledger.hear(
            now,
            sender,
            parts,
            base=message.base_part,
            holds_parts=message.holds_parts,
        )
        grants = tuple(self._grant(now, sender, wish) for wish in message.wishes)
        return TokenGrantBatch(
            grants,
            is_whole=not self._ledger.silent(now),
            holds_parts=self._holds_parts(now),
            base_part=self._ledger.base_part(now, sender),
        )

    def _grant(self, now: float, vm: VmId, request: TokenRequest) -> TokenGrant:
        """Grant tokens, and state the part of the rate that the VM holds."""
        self._settle_overlaps(now)
        part = self._ledger.available(now, request.account)
        grant = self._pool.grant(now, request, max(TRICKLE_PART, part))
        if self._ledger.silent(now):
            # The part may grow at any moment, when the others are back.
            grant = replace(grant, wait_s=min(PART_WAIT_S, grant.wait_s))
        if request.is_farewell:
            self._ledger.give_back(now, request.account, vm)
            return grant
        held = self._ledger.granted(now, request.account, vm, grant.granted)
        return replace(grant, part=held)

    def _settle_overlaps(self, now: float) -> None:
        """Owe what VMs that have fallen silent may have used until this was noticed."""
        for account, part in self._ledger.pop_overlaps(now).items():
            self._pool.owe(now, account, part * SILENT_S)

    def on_reply(
        self, now: float, vm: VmId, message: TokenRequestBatch, reply: TokenGrantBatch
    ) -> None:
        """Receive the tokens that the bucket owner granted."""
        self._backoff_until.pop(vm, None)
        self._clear_pending(message)
        if message.is_inquiry:
            self._ledger.answer(now, vm, holds_parts=reply.holds_parts)
            return
        self._base_part.hold(now, reply.base_part, is_whole=reply.is_whole)
        n_waiting_for = {request.account: request.waiting for request in message.wishes}
        for grant in reply.grants:
            self._receive(now, grant, n_waiting_for.get(grant.account, 0.0))
            self._receive_part(now, vm, grant, is_whole=reply.is_whole)

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
            request = prefetched.next_request(now, account, owner)
            if request is not None:
                prefetched.request_pending = True
                requests.append(request)
            elif now - prefetched.used_at > IDLE_S:
                del self._prefetched[account]
        if not requests:
            return ()
        return self._fetch(now, owner, requests)

    def _fetch(
        self, now: float, owner: VmId, requests: Sequence[TokenRequest]
    ) -> tuple[FetchTokens, ...]:
        self._requested_at = now
        batch = TokenRequestBatch(
            tuple(requests),
            holds_parts=self._holds_parts(now),
            base_part=self._base_part.value(now),
        )
        return (FetchTokens(owner, batch),)

    def _holds_parts(self, now: float) -> bool:
        parts = (item.part for item in self._prefetched.values())
        return any(part.value(now) for part in (self._base_part, *parts))

    def _acquire_locally(
        self, now: float, account: AccountId, prefetched: PrefetchedTokens
    ) -> None:
        """Acquire a token from the owned buckets or this VM's fraction of the rate."""
        part = prefetched.part.value(now)
        request = TokenRequest(account, 1.0, part=part)
        if self._current_owner(now) == self.vm:
            self._record_grant(now)
            self._ledger.hear(
                now, self.vm, {account: part}, base=self._base_part.value(now)
            )
            base = self._ledger.base_part(now, self.vm)
            grant = self._grant(now, self.vm, request)
            is_whole = not self._ledger.silent(now)
            self._receive_part(now, self.vm, grant, is_whole=is_whole)
            self._base_part.hold(now, base, is_whole=is_whole)
        else:
            grant = self._grant_alone(now, prefetched, request)
        self._receive(now, grant, 1.0)

    def _grant_alone(
        self, now: float, prefetched: PrefetchedTokens, request: TokenRequest
    ) -> TokenGrant:
        """Grant a token of the part of the rate that this VM may use by itself."""
        if now - self._local_at > OWNER_BACKOFF_S + RETRY_INTERVAL_S:
            self._local_pool.take_over(now)
        self._local_at = now
        part = self._local_part(now, prefetched)
        grant = self._local_pool.grant(now, request, part)
        return replace(grant, wait_s=min(PART_WAIT_S, grant.wait_s))

    def _local_part(self, now: float, prefetched: PrefetchedTokens | None) -> float:
        """Return the part of a rate that this VM may use while it reaches no owner."""
        if not self._owners:
            return 1.0 / STARTUP_RATE_DIVISOR
        part = self._base_part.value(now)
        if prefetched is not None:
            part += prefetched.part.value(now)
        return max(TRICKLE_PART, part)

    def _receive(self, now: float, grant: TokenGrant, waiting: float) -> None:
        prefetched = self._prefetched.get(grant.account)
        if prefetched is None or not 0.0 <= grant.granted < math.inf:
            return
        prefetched.tokens += grant.granted
        prefetched.n_waiting = 0
        is_empty = grant.granted < max(1.0, waiting)
        prefetched.empty_until = now + grant.wait_s if is_empty else float("-inf")

    def _receive_part(
        self, now: float, owner: VmId, grant: TokenGrant, *, is_whole: bool
    ) -> None:
        prefetched = self._prefetched.get(grant.account)
        if prefetched is not None and 0.0 <= grant.part <= 1.0:
            prefetched.hold_part(now, owner, grant.part, is_whole=is_whole)

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
