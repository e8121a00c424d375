"""What one VM borrows for one client account."""

import math
from collections import deque
from collections.abc import Sequence

from wagtailpaddle_core import AccountId, VmId

from wagtailpaddle_quota.allowance import LOAN_TERM_S
from wagtailpaddle_quota.messages import Borrow, Lent, SendPeer

DEMAND_WINDOW_S = 1.0
LEAD_S = 0.15
"""Borrowing runs this far ahead of the demand."""

LEAD_FROM_TOKENS = 0.3
"""A lower demand in ``LEAD_S`` is borrowed for when a request waits."""

RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.08
RETURN_AFTER_S = 0.05
"""Unwanted tokens go back, and spent ones are reported, after this time."""

IDLE_AFTER_S = 5.0


class _Lender:
    """``tokens`` are at hand, and ``room`` is what the lender keeps for them."""

    __slots__ = (
        "asked",
        "failed",
        "not_before",
        "pause_s",
        "room",
        "sent_at",
        "sequence",
        "tokens",
        "until",
        "waiting",
    )

    def __init__(self) -> None:
        self.tokens: float = 0.0
        self.until: float = 0.0
        self.sequence: int = 0
        self.sent_at: float = 0.0
        self.asked: float = 0.0
        self.room: float = 0.0
        self.failed: bool = False
        self.waiting: bool = False
        self.not_before: float = 0.0
        self.pause_s: float = RETRY_MIN_S


class Borrower:
    """The demand of one client account on this VM and its borrowed tokens.

    Borrowed tokens lapse ``LOAN_TERM_S`` after the question that brought or
    renewed them was sent, on this VM's clock; the lender, which got the
    question later, keeps room for them a little longer.
    """

    def __init__(self, account: AccountId, now: float):
        self.account = account
        self._lenders: dict[VmId, _Lender] = {}
        self._waits: deque[float] = deque()
        self._demand = 0.0
        self._demand_at = now
        self._touched_at = now

    def demand(self, now: float) -> float:
        """Return the requests granted a second, lately."""
        elapsed = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-elapsed / DEMAND_WINDOW_S)

    def granted(self, now: float) -> None:
        """Count a granted request."""
        self._demand = self.demand(now) + 1.0 / DEMAND_WINDOW_S
        self._demand_at = now
        self._touched_at = now

    def wait(self, now: float, least_s: float, spacing_s: float) -> float:
        """Return when the next request in line should ask again."""
        self._touched_at = now
        self._forget_waits(now)
        at = now + least_s
        if self._waits:
            at = max(at, self._waits[-1] + spacing_s)
        return at

    def add_wait(self, at: float) -> None:
        """Count a request that asks again at ``at``."""
        self._waits.append(at)

    def n_waiting(self, now: float) -> int:
        """Return how many requests wait for a token."""
        self._forget_waits(now)
        return len(self._waits)

    def tokens(self, now: float) -> float:
        """Return the borrowed tokens that may be spent at ``now``."""
        return sum(item.tokens for item in self._lenders.values() if now < item.until)

    def take(self, now: float) -> bool:
        """Spend one borrowed token, those that lapse first at first."""
        usable = [item for item in self._lenders.values() if now < item.until]
        whole = [item for item in usable if item.tokens >= 1.0]
        if not whole:
            return False
        min(whole, key=lambda item: item.until).tokens -= 1.0
        return True

    def target(self, now: float) -> float:
        """Return the tokens that this VM wants at hand at ``now``."""
        lead = self.demand(now) * LEAD_S
        ahead = math.ceil(lead) if lead >= LEAD_FROM_TOKENS else 0
        return float(ahead + self.n_waiting(now))

    def busy(self, now: float) -> bool:
        """Return whether a message to a lender may be due."""
        if self._waits or self.target(now) > 0.0:
            return True
        return any(item.tokens or item.room for item in self._lenders.values())

    def cut_off(self) -> bool:
        """Return whether the last message to each lender failed."""
        lenders = self._lenders.values()
        return bool(lenders) and all(lender.failed for lender in lenders)

    def idle(self, now: float) -> bool:
        """Return whether nothing would be lost by forgetting this account."""
        if now - self._touched_at < IDLE_AFTER_S:
            return False
        return not any(item.waiting for item in self._lenders.values()) and (
            self.tokens(now) == 0.0
        )

    def plan(
        self, now: float, own: float, lenders: Sequence[VmId], sequence: int
    ) -> tuple[SendPeer, ...]:
        """Return the messages to lenders that are due at ``now``.

        ``own`` tokens are at hand in this VM's shares. Messages are numbered
        from ``sequence``.
        """
        self._forget_lapsed(now)
        target = self.target(now)
        asked = sum(item.asked for item in self._lenders.values() if item.waiting)
        missing = max(0.0, target - own - self.tokens(now) - asked)
        wanted = self._split(now, missing, lenders)
        sent: list[SendPeer] = []
        unwanted = own >= target
        for vm in sorted(set(wanted) | self._due(now, unwanted)):
            give_back = vm not in wanted and unwanted
            message = self._ask(
                now, vm, sequence + len(sent), wanted.get(vm, 0.0), give_back
            )
            sent.append(SendPeer(vm, message))
        return tuple(sent)

    def on_reply(self, now: float, vm: VmId, reply: Lent) -> None:
        """Take in what ``vm`` granted, unless its answer is out of date."""
        lender = self._lenders.get(vm)
        if lender is None or not lender.waiting or lender.sequence != reply.sequence:
            return
        lender.waiting = False
        lender.failed = False
        if now >= lender.until:
            lender.tokens = 0.0
        if reply.renewed:
            lender.until = lender.sent_at + LOAN_TERM_S
            granted = min(max(0.0, reply.granted), lender.asked)
            lender.tokens += granted
            lender.room += granted
        if reply.granted > 0.0:
            lender.pause_s = RETRY_MIN_S
        elif lender.asked > 0.0:
            self._pause(now, lender)

    def on_failed(self, now: float, vm: VmId, sequence: int) -> None:
        """Take in that a message was possibly lost, and its answer with it."""
        lender = self._lenders.get(vm)
        if lender is None or not lender.waiting or lender.sequence != sequence:
            return
        lender.waiting = False
        lender.failed = True
        lender.room += lender.asked
        self._pause(now, lender)

    def _pause(self, now: float, lender: _Lender) -> None:
        lender.not_before = now + lender.pause_s
        lender.pause_s = min(RETRY_MAX_S, 2.0 * lender.pause_s)

    def _split(
        self, now: float, missing: float, lenders: Sequence[VmId]
    ) -> dict[VmId, float]:
        """Return how much to ask of whom."""
        if missing <= 0.0:
            return {}
        free = []
        for vm in lenders:
            lender = self._lenders.setdefault(vm, _Lender())
            if not lender.waiting and now >= lender.not_before:
                free.append(vm)
        if not free:
            return {}
        free.sort(key=lambda vm: (self._lenders[vm].sent_at, vm))
        whole = math.ceil(missing)
        n_asked = min(len(free), whole)
        return {
            vm: float(whole // n_asked + (place < whole % n_asked))
            for place, vm in enumerate(free[:n_asked])
        }

    def _due(self, now: float, unwanted: bool) -> set[VmId]:
        """Return the lenders that have to hear of their loan.

        Tokens go back if they are unwanted and are renewed otherwise; spent
        ones are reported, so that the lender's bucket can fill again.
        """
        kept_s = RETURN_AFTER_S if unwanted else LOAN_TERM_S / 2
        due = set()
        for vm, item in self._lenders.items():
            if item.waiting or now < item.not_before:
                continue
            ends = item.tokens > 0.0 and item.until - now <= LOAN_TERM_S - kept_s
            spent = item.room - item.tokens >= 1.0
            if ends or (spent and now - item.sent_at >= RETURN_AFTER_S):
                due.add(vm)
        return due

    def _ask(
        self, now: float, vm: VmId, sequence: int, wanted: float, give_back: bool
    ) -> Borrow:
        lender = self._lenders[vm]
        returned = lender.tokens if give_back else 0.0
        lender.tokens -= returned
        lender.room = lender.tokens
        lender.sequence = sequence
        lender.sent_at = now
        lender.asked = wanted
        lender.waiting = True
        return Borrow(self.account, sequence, lender.tokens, returned, wanted)

    def _forget_lapsed(self, now: float) -> None:
        for vm in list(self._lenders):
            lender = self._lenders[vm]
            if now < lender.until:
                continue
            lender.tokens = 0.0
            if now >= lender.sent_at + LOAN_TERM_S:
                lender.room = 0.0
            if not lender.waiting and now >= lender.not_before + IDLE_AFTER_S:
                del self._lenders[vm]

    def _forget_waits(self, now: float) -> None:
        while self._waits and self._waits[0] <= now:
            self._waits.popleft()
