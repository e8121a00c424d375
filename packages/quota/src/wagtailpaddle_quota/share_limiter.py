"""Rate limiter that spends from the shares held by one VM."""

import math
from collections.abc import Callable, Iterable
from copy import copy, deepcopy

from wagtailpaddle_core import AccountId, Offset, VmId, ensure, only

from wagtailpaddle_quota.borrower import Borrower
from wagtailpaddle_quota.buckets import ShareBuckets
from wagtailpaddle_quota.lending_bucket import LendingBucket
from wagtailpaddle_quota.messages import (
    Decision,
    Granted,
    HandOverShare,
    HandOverShareAnswer,
    Limit,
    LoanAnswer,
    LoanRequest,
    QuotaAction,
    QuotaMessage,
    QuotaReply,
    QuotaStatus,
    RatePreview,
    Refused,
    ShareEntry,
    ShareRecord,
    ShareSnapshot,
    SharesQuery,
    SharesState,
    WaitUntil,
)
from wagtailpaddle_quota.shares import HeldShare, ShareManager

N_GROUPS = 64
N_SHARES = 4
FRESHNESS_S = 3.0
BORROW_WAIT_S = 0.01
MIN_WAIT_S = 0.001
MAX_WAIT_S = 0.5
MAX_RETRY_AFTER_S = 60.0


class ShareRateLimiter:
    """Holds this VM's shares and decides whether a request may proceed.

    ``limits`` returns an account's limit or None; no state is kept for idle
    accounts. ``freshness_s`` is how long a confirmation allows this VM to spend.
    While ``log_available`` is False, shares are handed over only at a graceful
    stop, since a share lost in a hand-over could not be claimed again.

    >>> limit = Limit(rate=1.0, burst=4.0)
    >>> limiter = ShareRateLimiter(VmId("a"), limits=lambda account: limit)
    >>> limiter.acquire(0.0, AccountId("kiosk"), deadline_at=1.0)
    Refused(retry_after_s=1.0, holders_unreachable=True)
    """

    max_wait_s = math.inf
    """Longest wait for a token: no limit, since ``acquire`` has its own bound."""

    def __init__(
        self,
        vm: VmId,
        *,
        limits: Callable[[AccountId], Limit | None],
        n_groups: int = N_GROUPS,
        n_shares: int = N_SHARES,
        freshness_s: float = FRESHNESS_S,
    ):
        self.vm = vm
        self.shares = ShareManager(
            vm, n_groups=n_groups, n_shares=n_shares, freshness_s=freshness_s
        )
        self.draining = False
        self.log_available = True
        self._limits = limits
        self._freshness_s = freshness_s
        self._confirmed_at = float("-inf")
        self._stalled_at = float("-inf")
        self._buckets = ShareBuckets(n_groups=n_groups, n_shares=n_shares)
        self._borrowers: dict[AccountId, Borrower] = {}
        self._sequence = 0
        self._n_bad_messages = 0

    # State of the ``shares`` stream

    @property
    def next_offset(self) -> Offset:
        """The offset of the first record of ``shares`` not yet folded."""
        return self.shares.fold.next_offset

    def on_record(self, now: float, offset: Offset, record: ShareRecord) -> None:
        """Fold a record of the ``shares`` stream, in the order of the log."""
        self.shares.on_record(now, offset, record)
        self._buckets.retain_only(self.shares.held)

    def state(self) -> tuple[ShareEntry, ...]:
        """Return the folded state, for a VM that starts without the log."""
        return tuple(self.shares.fold.entries.values())

    def load(
        self, now: float, next_offset: Offset, entries: tuple[ShareEntry, ...]
    ) -> None:
        """Load the folded state of a peer if its offset is higher."""
        self.shares.load(now, next_offset, entries)
        self._buckets.retain_only(self.shares.held)

    def snapshot_records(self) -> tuple[ShareSnapshot, ...]:
        """Return the state as records to append before the log drops older ones."""
        return self.shares.fold.snapshot(f"{self.vm}/snapshot")

    # Membership, confirmations and settlement

    def on_roster(
        self,
        now: float,
        vms: Iterable[VmId],
        gone: Iterable[VmId],
    ) -> None:
        """Set the live VMs and those proven gone."""
        self.shares.on_roster(now, vms, gone)

    def on_confirmed(self, now: float, sent_at: float, next_offset: Offset) -> None:
        """Record a confirmation that this VM is fresh.

        ``next_offset`` is the highest offset of ``shares`` that the log, or any of
        a majority of the seats, reported in answer to a query sent at ``sent_at``.
        It counts only if this VM has folded the stream up to this offset.
        """
        if sent_at < self._stalled_at or not self.shares.fold.complete:
            return
        if self.next_offset >= next_offset:
            self._confirmed_at = max(self._confirmed_at, min(sent_at, now))

    @property
    def unsettled(self) -> Offset | None:
        """The offset of the last claim that no majority has folded, None if none."""
        return self.shares.unsettled

    def on_settled(self, now: float, fresh_at: float, upto: Offset) -> None:
        """Settle the claims before ``upto``, which majorities of the seats folded.

        The seats are those known to a VM that had folded all changes accepted as
        of ``fresh_at``; only claims folded by that time are settled.
        """
        self.shares.on_settled(now, fresh_at, upto)

    def may_spend(self, now: float) -> bool:
        """Return whether this VM is fresh: a claim of its shares would be known."""
        return now - self._confirmed_at <= self._freshness_s

    def on_stall(self, now: float, stalled_s: float) -> None:
        """Discard confirmations because the event loop was blocked too long.

        Nothing is spent or lent until a query sent from ``now`` on is answered.
        """
        self._confirmed_at = float("-inf")
        self._stalled_at = now

    # Requests

    def acquire(self, now: float, account: AccountId, deadline_at: float) -> Decision:
        """Acquire one token of ``account`` for a request due by ``deadline_at``.

        After ``WaitUntil`` the caller tries again at that time. Callers bound the
        total wait by ``deadline_at``.
        """
        limit = self._limits(account)
        if limit is None or limit.rate <= 0.0 or limit.burst < 1.0:
            return Refused(MAX_RETRY_AFTER_S)
        borrower = self._borrowers.get(account)
        if borrower is None:
            borrower = self._borrowers[account] = Borrower(account, now)
        usable = self._usable(now, account, limit)
        if self._acquire(now, usable, borrower):
            borrower.record_grant(now)
            return Granted()
        return self._wait_or_refuse(now, limit, usable, borrower, deadline_at)

    def preview(
        self, now: float, account: AccountId, deadline_at: float
    ) -> RatePreview:
        """Return what ``acquire`` would decide, without taking a token."""
        trial = copy(self)
        trial._buckets = self._buckets.copy_for(account)
        trial._borrowers = deepcopy(only(self._borrowers, account))
        limit = self._limits(account)
        if limit is None:
            return RatePreview(trial.acquire(now, account, deadline_at))
        tokens = sum(item.tokens(now) for item in trial._usable(now, account, limit))
        if account in trial._borrowers:
            tokens += trial._borrowers[account].tokens(now)
        decision = trial.acquire(now, account, deadline_at)
        return RatePreview(decision, limit.rate, limit.burst, tokens)

    def _acquire(
        self, now: float, usable: list[LendingBucket], borrower: Borrower
    ) -> bool:
        """Spend from a full bucket first, then borrowed tokens, then other buckets."""
        if any(bucket.idle(now) and bucket.acquire(now) for bucket in usable):
            return True
        return borrower.acquire(now) or any(item.acquire(now) for item in usable)

    def _wait_or_refuse(
        self,
        now: float,
        limit: Limit,
        usable: list[LendingBucket],
        borrower: Borrower,
        deadline_at: float,
    ) -> Decision:
        min_wait_s = min((item.wait_s(now) for item in usable), default=float("inf"))
        if self._lenders(borrower.account, limit):
            min_wait_s = min(min_wait_s, BORROW_WAIT_S)
        spacing_s = 1.0 / limit.rate
        if min_wait_s == float("inf"):
            return Refused(
                min(MAX_RETRY_AFTER_S, max(1.0, spacing_s)), holders_unreachable=True
            )
        at = borrower.retry_at(now, max(MIN_WAIT_S, min_wait_s), spacing_s)
        if at > deadline_at or at > now + MAX_WAIT_S:
            retry_after_s = min(MAX_RETRY_AFTER_S, max(at - now, spacing_s))
            return Refused(
                retry_after_s,
                holders_unreachable=not usable and borrower.lenders_unreachable(),
            )
        borrower.add_waiting(at)
        return WaitUntil(at)

    # Periodic work and graceful stop

    def tick(self, now: float) -> tuple[QuotaAction, ...]:
        """Return the periodic actions; called about 20 times a second."""
        actions = self.shares.tick(now)
        if self.log_available and self.may_spend(now):
            for held_share, preferred in self.shares.due_for_rebalance(now):
                actions += (self._hand_over(now, held_share, preferred),)
        actions += self._borrow_all(now)
        self._buckets.sweep(now)
        return actions

    def borrow(self, now: float, account: AccountId) -> tuple[QuotaAction, ...]:
        """Request the tokens that ``account`` lacks, without waiting for a tick.

        Useful after ``acquire`` returned ``WaitUntil``.
        """
        borrower = self._borrowers.get(account)
        limit = self._limits(account)
        if borrower is None or limit is None:
            return ()
        own_tokens = sum(item.tokens(now) for item in self._usable(now, account, limit))
        lenders = self._lenders(account, limit)
        messages = borrower.due_messages(now, own_tokens, lenders, self._sequence + 1)
        self._sequence += len(messages)
        return messages

    def on_append_failed(self, now: float, record_id: str) -> None:
        """Handle an append that failed or may have failed."""
        self.shares.on_append_failed(record_id)

    def release(self, now: float) -> tuple[QuotaAction, ...]:
        """Hand over or release all shares at a graceful stop.

        ``tick`` resends unanswered hand-overs. The stop may proceed once
        ``released`` is True.
        """
        self.draining = True
        self.shares.draining = True
        actions: tuple[QuotaAction, ...] = ()
        for share, held_share in sorted(self.shares.held.items()):
            receiver = self.shares.receiver(share)
            if held_share.ready(now) and receiver is not None:
                actions += (self._hand_over(now, held_share, receiver),)
            else:
                actions += self.shares.release(now, share)
        self._buckets.retain_only(self.shares.held)
        return actions

    @property
    def released(self) -> bool:
        """Whether no share is held and no hand-over is pending."""
        return not self.shares.held and not self.shares.hand_overs.outgoing

    # Messages from peers

    def on_message(self, now: float, sender: VmId, message: QuotaMessage) -> QuotaReply:
        """Answer the message of a peer."""
        if isinstance(message, SharesQuery):
            return self._on_shares_query(message)
        if isinstance(message, HandOverShare):
            return self._on_hand_over(now, message)
        return self._on_loan_request(now, sender, message)

    def on_reply(
        self, now: float, vm: VmId, message: QuotaMessage, reply: QuotaReply
    ) -> tuple[QuotaAction, ...]:
        """Process the reply of ``vm`` to ``message``."""
        if isinstance(message, LoanRequest) and isinstance(reply, LoanAnswer):
            borrower = self._borrowers.get(message.account)
            if borrower is not None and math.isfinite(reply.granted):
                borrower.on_reply(now, vm, reply)
        elif isinstance(message, SharesQuery) and isinstance(reply, SharesState):
            self.load(now, reply.next_offset, reply.entries)
            self.shares.on_hints(now, reply.hints)
        elif isinstance(message, HandOverShare) and isinstance(
            reply, HandOverShareAnswer
        ):
            return self.shares.on_hand_over_reply(now, message, reply)
        else:
            self._n_bad_messages += 1
        return ()

    def on_call_failed(self, now: float, vm: VmId, message: QuotaMessage) -> None:
        """Handle a failed call of ``vm``, which may have received the message."""
        if isinstance(message, LoanRequest):
            borrower = self._borrowers.get(message.account)
            if borrower is not None:
                borrower.on_call_failed(now, vm, message.sequence)

    # Directory and status

    def preferred_vms(
        self, account: AccountId, vms: Iterable[VmId]
    ) -> tuple[VmId, ...]:
        """Return the VMs among ``vms`` that hold shares of ``account``.

        For a share whose holder is not among ``vms``, it is the VM that should
        hold the share.
        """
        limit = self._limits(account)
        if limit is None:
            return ()
        allowed = frozenset(vms)
        found: list[VmId] = []
        for share in self._buckets.shares_of(account, limit):
            holder = self.shares.holder_of(share)
            preferred = (
                holder if holder in allowed else self.shares.placement.preferred(share)
            )
            if (
                preferred is not None
                and preferred in allowed
                and preferred not in found
            ):
                found.append(preferred)
        return tuple(found)

    def status(self, now: float) -> QuotaStatus:
        """Return counts for operators."""
        held = self.shares.held.values()
        return QuotaStatus(
            may_spend=self.may_spend(now),
            n_held=len(held),
            n_waiting=sum(not held_share.ready(now) for held_share in held),
            n_unrecorded=sum(not held_share.recorded for held_share in held),
            n_handing_over=len(self.shares.hand_overs.outgoing),
            n_vacant=len(self.shares.vacant_since),
            n_stranded=self.shares.n_stranded(),
            n_void_records=self.shares.fold.n_void,
            n_bad_messages=self._n_bad_messages,
            n_active_accounts=len(self._borrowers),
            n_buckets=len(self._buckets),
        )

    # Buckets of held shares

    def _usable(
        self, now: float, account: AccountId, limit: Limit
    ) -> list[LendingBucket]:
        """Return the buckets of ``account`` that this VM may spend from."""
        if not self.may_spend(now):
            return []
        return self._buckets.usable(now, account, limit, self.shares.held)

    # Lending and borrowing

    def _lenders(self, account: AccountId, limit: Limit) -> list[VmId]:
        holders = {
            self.shares.holder_of(share)
            for share in self._buckets.shares_of(account, limit)
        }
        return sorted(
            vm for vm in holders if vm != self.vm and self.shares.may_be_live(vm)
        )

    def _borrow_all(self, now: float) -> tuple[QuotaAction, ...]:
        actions: tuple[QuotaAction, ...] = ()
        for account, borrower in list(self._borrowers.items()):
            if borrower.idle(now):
                del self._borrowers[account]
            elif borrower.active(now):
                actions += self.borrow(now, account)
        return actions

    def _on_loan_request(
        self, now: float, sender: VmId, message: LoanRequest
    ) -> LoanAnswer:
        nothing_granted = LoanAnswer(message.account, message.sequence, 0.0, False)
        amounts = (message.held, message.returned, message.wanted)
        if not all(math.isfinite(amount) and amount >= 0.0 for amount in amounts):
            self._n_bad_messages += 1
            return nothing_granted
        limit = self._limits(message.account)
        usable = self._usable(now, message.account, limit) if limit else []
        if not usable:
            return nothing_granted
        bucket = max(
            usable, key=lambda item: (item.has_loan(now, sender), item.tokens(now))
        )
        granted = bucket.lend(
            now,
            sender,
            sequence=message.sequence,
            held=message.held,
            returned=message.returned,
            wanted=message.wanted,
            reserve=self._reserve(now, message.account, bucket),
        )
        if granted is None:
            return nothing_granted
        ensure(granted <= message.wanted, "granted-within-wanted", granted=granted)
        return LoanAnswer(message.account, message.sequence, granted, True)

    def _reserve(self, now: float, account: AccountId, bucket: LendingBucket) -> float:
        """Return the tokens reserved for this VM's own requests, at most half."""
        borrower = self._borrowers.get(account)
        if borrower is None:
            return 0.0
        return min(borrower.target(now), bucket.tokens(now) / 2)

    # Answers to queries, and hand-over of shares

    def _on_shares_query(self, message: SharesQuery) -> SharesState:
        is_behind = message.next_offset < self.next_offset
        entries = self.state() if is_behind else ()
        return SharesState(self.next_offset, entries, tuple(self.shares.hints))

    def _hand_over(
        self, now: float, held_share: HeldShare, receiver: VmId
    ) -> QuotaAction:
        states, idle_s = self._buckets.pop(now, held_share)
        return self.shares.hand_over(held_share, receiver, states, idle_s)

    def _on_hand_over(self, now: float, message: HandOverShare) -> HandOverShareAnswer:
        if self.shares.take_over(now, message):
            held_share = self.shares.held[message.share]
            self._buckets.restore(now, message, held_share, self._limits)
        return HandOverShareAnswer(
            message.share, self.shares.hand_overs.was_accepted(message)
        )
