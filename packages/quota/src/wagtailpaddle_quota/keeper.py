"""Rates and bursts of client accounts on one VM."""

import math
from collections.abc import Callable, Iterable

from wagtailpaddle_core import AccountId, Offset, VmId, ensure

from wagtailpaddle_quota.allowance import Allowance
from wagtailpaddle_quota.borrowing import Borrower
from wagtailpaddle_quota.buckets import ShareBuckets
from wagtailpaddle_quota.messages import (
    AskShares,
    Borrow,
    Decision,
    Granted,
    HandOver,
    HandOverTaken,
    Lent,
    Limit,
    QuotaAction,
    QuotaMessage,
    QuotaReply,
    QuotaStatus,
    Refused,
    ShareEntry,
    ShareRecord,
    ShareSnapshot,
    SharesState,
    WaitUntil,
)
from wagtailpaddle_quota.shares import Holding, ShareHolder

N_GROUPS = 64
N_SHARES = 4
FRESHNESS_S = 3.0
BORROW_WAIT_S = 0.01
MIN_WAIT_S = 0.001
MAX_WAIT_S = 0.5
MAX_RETRY_AFTER_S = 60.0


class QuotaKeeper:
    """Holds this VM's shares and decides whether a request may run.

    ``limits`` looks an account's limit up, or returns None; no state is kept
    of idle accounts. ``freshness_s`` is the window of the freshness rule. While
    ``log_answers`` is False no share moves but at a graceful stop, since one
    whose hand-over is lost could not be claimed again.

    >>> limit = Limit(rate=1.0, burst=4.0)
    >>> keeper = QuotaKeeper(VmId("a"), limits=lambda account: limit)
    >>> keeper.take(0.0, AccountId("kiosk"), deadline_at=1.0)
    Refused(retry_after_s=1.0, cut_off=True)
    """

    patience_s = math.inf
    """How long a request may wait for a token; ``take`` has a bound of its own."""

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
        self.shares = ShareHolder(
            vm, n_groups=n_groups, n_shares=n_shares, freshness_s=freshness_s
        )
        self.leaving = False
        self.log_answers = True
        self._limits = limits
        self._freshness_s = freshness_s
        self._confirmed_at = float("-inf")
        self._stalled_at = float("-inf")
        self._buckets = ShareBuckets(n_groups=n_groups, n_shares=n_shares)
        self._borrowers: dict[AccountId, Borrower] = {}
        self._sequence = 0
        self._n_bad_messages = 0

    # The shares stream

    @property
    def next_offset(self) -> Offset:
        """The offset of the first record of ``shares`` not yet folded."""
        return self.shares.fold.next_offset

    def on_record(self, now: float, offset: Offset, record: ShareRecord) -> None:
        """Fold a record of the ``shares`` stream, in the order of the log."""
        self.shares.on_record(now, offset, record)
        self._buckets.keep_only(self.shares.holdings)

    def state(self) -> tuple[ShareEntry, ...]:
        """Return the folded state, for a VM that starts without the log."""
        return tuple(self.shares.fold.entries.values())

    def load(
        self, now: float, next_offset: Offset, entries: tuple[ShareEntry, ...]
    ) -> None:
        """Take the folded state of a peer if it is further on."""
        self.shares.load(now, next_offset, entries)
        self._buckets.keep_only(self.shares.holdings)

    def snapshot_records(self) -> tuple[ShareSnapshot, ...]:
        """Return the state as records, to be appended before retention ends."""
        return self.shares.fold.snapshot(f"{self.vm}/snapshot")

    # What is known of the fleet

    def on_roster(
        self,
        now: float,
        vms: Iterable[VmId],
        gone: Iterable[VmId],
    ) -> None:
        """Take in the live VMs and those proven gone."""
        self.shares.on_roster(now, vms, gone)

    def confirmed(self, now: float, sent_at: float, next_offset: Offset) -> None:
        """Take in a confirmation of the freshness rule.

        ``next_offset`` of ``shares`` is the highest that the log, or any of a
        majority of the seats, named in answer to a question sent at ``sent_at``.
        It counts only if this VM has folded as far.
        """
        if sent_at < self._stalled_at or not self.shares.fold.complete:
            return
        if self.next_offset >= next_offset:
            self._confirmed_at = max(self._confirmed_at, min(sent_at, now))

    @property
    def unsettled(self) -> Offset | None:
        """The last claim that a majority has yet to fold, None if there is none."""
        return self.shares.unsettled

    def on_settled(self, now: float, fresh_at: float, upto: Offset) -> None:
        """Take in that majorities of the seats folded ``shares`` up to ``upto``.

        The seats are those of a VM that knew, as of ``fresh_at``, all that was
        accepted; only claims folded before that are settled.
        """
        self.shares.on_settled(now, fresh_at, upto)

    def may_spend(self, now: float) -> bool:
        """Return whether this VM would know that a share of its was claimed."""
        return now - self._confirmed_at <= self._freshness_s

    def on_stall(self, now: float, stalled_s: float) -> None:
        """Forget confirmations: the loop stood still for too long.

        Nothing is spent or lent until a question sent from now on is answered.
        """
        self._confirmed_at = float("-inf")
        self._stalled_at = now

    # Requests

    def take(self, now: float, account: AccountId, deadline_at: float) -> Decision:
        """Take one token of ``account`` for a request due by ``deadline_at``.

        A request that gets ``WaitUntil`` takes again at that time. Callers
        bound the waiting in all by ``deadline_at``.
        """
        limit = self._limits(account)
        if limit is None or limit.rate <= 0.0 or limit.burst < 1.0:
            return Refused(MAX_RETRY_AFTER_S)
        borrower = self._borrowers.get(account)
        if borrower is None:
            borrower = self._borrowers[account] = Borrower(account, now)
        own = self._own(now, account, limit)
        if self._take(now, own, borrower):
            borrower.granted(now)
            return Granted()
        return self._wait(now, limit, own, borrower, deadline_at)

    def _take(self, now: float, own: list[Allowance], borrower: Borrower) -> bool:
        """Take from a full bucket first, then borrowed tokens, then the rest."""
        if any(allowance.idle(now) and allowance.take(now) for allowance in own):
            return True
        return borrower.take(now) or any(item.take(now) for item in own)

    def _wait(
        self,
        now: float,
        limit: Limit,
        own: list[Allowance],
        borrower: Borrower,
        deadline_at: float,
    ) -> Decision:
        least_s = min((item.wait(now) for item in own), default=float("inf"))
        if self._lenders(borrower.account, limit):
            least_s = min(least_s, BORROW_WAIT_S)
        spacing_s = 1.0 / limit.rate
        if least_s == float("inf"):
            return Refused(min(MAX_RETRY_AFTER_S, max(1.0, spacing_s)), cut_off=True)
        at = borrower.wait(now, max(MIN_WAIT_S, least_s), spacing_s)
        if at > deadline_at or at > now + MAX_WAIT_S:
            retry_after_s = min(MAX_RETRY_AFTER_S, max(at - now, spacing_s))
            return Refused(retry_after_s, cut_off=not own and borrower.cut_off())
        borrower.add_wait(at)
        return WaitUntil(at)

    # Passing of time

    def tick(self, now: float) -> tuple[QuotaAction, ...]:
        """Act on the passing of time; called about 20 times a second."""
        actions = self.shares.tick(now)
        if self.log_answers and self.may_spend(now):
            for holding, preferred in self.shares.misplaced(now):
                actions += (self._pass_on(now, holding, preferred),)
        actions += self._borrow_all(now)
        self._buckets.sweep(now)
        return actions

    def borrow(self, now: float, account: AccountId) -> tuple[QuotaAction, ...]:
        """Ask for the tokens that ``account`` lacks, without waiting for a tick.

        Worth a call after ``take`` returned ``WaitUntil``.
        """
        borrower = self._borrowers.get(account)
        limit = self._limits(account)
        if borrower is None or limit is None:
            return ()
        own = sum(item.tokens(now) for item in self._own(now, account, limit))
        lenders = self._lenders(account, limit)
        sent = borrower.plan(now, own, lenders, self._sequence + 1)
        self._sequence += len(sent)
        return sent

    def on_append_failed(self, now: float, record_id: str) -> None:
        """Take in that an append surely or possibly failed."""
        self.shares.on_append_failed(record_id)

    def release(self, now: float) -> tuple[QuotaAction, ...]:
        """Hand all shares over at a graceful stop; ``tick`` goes on with it.

        The stop may go on once ``released`` is True.
        """
        self.leaving = True
        self.shares.leaving = True
        actions: tuple[QuotaAction, ...] = ()
        for share, holding in sorted(self.shares.holdings.items()):
            receiver = self.shares.receiver(share)
            if holding.ready(now) and receiver is not None:
                actions += (self._pass_on(now, holding, receiver),)
            else:
                actions += self.shares.drop(now, share)
        self._buckets.keep_only(self.shares.holdings)
        return actions

    @property
    def released(self) -> bool:
        """Whether nothing is held or on its way to another VM."""
        return not self.shares.holdings and not self.shares.hand_overs.outgoing

    # Peers

    def on_message(self, now: float, sender: VmId, message: QuotaMessage) -> QuotaReply:
        """Answer a peer."""
        if isinstance(message, AskShares):
            return self._on_ask_shares(message)
        if isinstance(message, HandOver):
            return self._on_hand_over(now, message)
        return self._on_borrow(now, sender, message)

    def on_reply(
        self, now: float, vm: VmId, message: QuotaMessage, reply: QuotaReply
    ) -> tuple[QuotaAction, ...]:
        """Take in the reply of ``vm`` to ``message``."""
        if isinstance(message, Borrow) and isinstance(reply, Lent):
            borrower = self._borrowers.get(message.account)
            if borrower is not None and math.isfinite(reply.granted):
                borrower.on_reply(now, vm, reply)
        elif isinstance(message, AskShares) and isinstance(reply, SharesState):
            self.load(now, reply.next_offset, reply.entries)
            self.shares.on_hints(now, reply.hints)
        elif isinstance(message, HandOver) and isinstance(reply, HandOverTaken):
            return self.shares.on_hand_over_reply(now, message, reply)
        else:
            self._n_bad_messages += 1
        return ()

    def on_call_failed(self, now: float, vm: VmId, message: QuotaMessage) -> None:
        """Take in that the call of ``vm`` failed; it may have been received."""
        if isinstance(message, Borrow):
            borrower = self._borrowers.get(message.account)
            if borrower is not None:
                borrower.on_failed(now, vm, message.sequence)

    # Directory and status

    def homes(self, account: AccountId, vms: Iterable[VmId]) -> tuple[VmId, ...]:
        """Return the VMs among ``vms`` that hold shares of ``account``.

        Where a share has no holder there, the VM that should hold it is named.
        """
        limit = self._limits(account)
        if limit is None:
            return ()
        allowed = frozenset(vms)
        found: list[VmId] = []
        for share in self._buckets.shares_of(account, limit):
            holder = self.shares.holder_of(share)
            home = (
                holder if holder in allowed else self.shares.placement.preferred(share)
            )
            if home is not None and home in allowed and home not in found:
                found.append(home)
        return tuple(found)

    def status(self, now: float) -> QuotaStatus:
        """Return counts for operators."""
        holdings = self.shares.holdings.values()
        return QuotaStatus(
            may_spend=self.may_spend(now),
            n_held=len(holdings),
            n_waiting=sum(not holding.ready(now) for holding in holdings),
            n_unrecorded=sum(not holding.recorded for holding in holdings),
            n_handing_over=len(self.shares.hand_overs.outgoing),
            n_vacant=len(self.shares.vacant),
            n_stranded=self.shares.n_stranded(),
            n_void_records=self.shares.fold.n_void,
            n_bad_messages=self._n_bad_messages,
            n_active_accounts=len(self._borrowers),
            n_buckets=len(self._buckets),
        )

    # Own shares

    def _own(self, now: float, account: AccountId, limit: Limit) -> list[Allowance]:
        """Return the buckets of ``account`` that this VM may spend from."""
        if not self.may_spend(now):
            return []
        return self._buckets.own(now, account, limit, self.shares.holdings)

    # Lending and borrowing

    def _lenders(self, account: AccountId, limit: Limit) -> list[VmId]:
        holders = {
            self.shares.holder_of(share)
            for share in self._buckets.shares_of(account, limit)
        }
        return sorted(vm for vm in holders if vm != self.vm and self.shares.live(vm))

    def _borrow_all(self, now: float) -> tuple[QuotaAction, ...]:
        actions: tuple[QuotaAction, ...] = ()
        for account, borrower in list(self._borrowers.items()):
            if borrower.idle(now):
                del self._borrowers[account]
            elif borrower.busy(now):
                actions += self.borrow(now, account)
        return actions

    def _on_borrow(self, now: float, sender: VmId, message: Borrow) -> Lent:
        refusal = Lent(message.account, message.sequence, 0.0, False)
        amounts = (message.held, message.returned, message.wanted)
        if not all(math.isfinite(amount) and amount >= 0.0 for amount in amounts):
            self._n_bad_messages += 1
            return refusal
        limit = self._limits(message.account)
        own = self._own(now, message.account, limit) if limit else []
        if not own:
            return refusal
        allowance = max(
            own, key=lambda item: (item.has_loan(now, sender), item.tokens(now))
        )
        granted = allowance.lend(
            now,
            sender,
            sequence=message.sequence,
            held=message.held,
            returned=message.returned,
            wanted=message.wanted,
            reserve=self._reserve(now, message.account, allowance),
        )
        if granted is None:
            return refusal
        ensure(granted <= message.wanted, "granted-within-wanted", granted=granted)
        return Lent(message.account, message.sequence, granted, True)

    def _reserve(self, now: float, account: AccountId, allowance: Allowance) -> float:
        """Return what this VM keeps for its own requests, half at most."""
        borrower = self._borrowers.get(account)
        if borrower is None:
            return 0.0
        return min(borrower.target(now), allowance.tokens(now) / 2)

    # State and hand-over

    def _on_ask_shares(self, message: AskShares) -> SharesState:
        is_behind = message.next_offset < self.next_offset
        entries = self.state() if is_behind else ()
        return SharesState(self.next_offset, entries, tuple(self.shares.hints))

    def _pass_on(self, now: float, holding: Holding, receiver: VmId) -> QuotaAction:
        states, idle_s = self._buckets.pop(now, holding)
        return self.shares.pass_on(holding, receiver, states, idle_s)

    def _on_hand_over(self, now: float, message: HandOver) -> HandOverTaken:
        if self.shares.take_over(now, message):
            holding = self.shares.holdings[message.share]
            self._buckets.adopt(now, message, holding, self._limits)
        return HandOverTaken(message.share, self.shares.hand_overs.taken(message))
