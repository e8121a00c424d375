"""Scheduling disciplines for the queued requests of one service."""

from collections import OrderedDict, deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Protocol

from wagtailpaddle_core import AccountId, Registry, RequestId, ensure

from wagtailpaddle_routing.retry import PendingRequest

RequestPredicate = Callable[[PendingRequest], bool]

MAX_SKIPPED = 8


class Queue(Protocol):
    """Orders the queued requests of one service."""

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request; ``first`` puts it before the others of its account."""

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next request that fits.

        Checks a bounded number of requests.
        """

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the newest queued request of an account."""

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Record a request that is dispatched at once, past the empty queue."""

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time; a negative time is a refund."""

    def remove_account(self, account: AccountId) -> None:
        """Remove the state of an account that has no pending requests."""


QUEUES: Registry[type[Queue]] = Registry("queue")


class _Line:
    """The queued requests of one client account."""

    __slots__ = ("entry", "tag", "waiting")

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.entry: int = 0
        self.waiting: OrderedDict[RequestId, PendingRequest] = OrderedDict()

    def push(self, pending: PendingRequest, *, first: bool) -> None:
        self.waiting[pending.job.id] = pending
        if first:
            self.waiting.move_to_end(pending.job.id, last=False)

    def head(self) -> PendingRequest:
        return next(iter(self.waiting.values()))

    def newest(self) -> PendingRequest:
        return next(reversed(self.waiting.values()))

    def pop(self) -> PendingRequest:
        return self.waiting.popitem(last=False)[1]


@QUEUES.register("virtual-time")
class VirtualTimeQueue:
    """Start-time fair queueing over service time.

    Every account has a tag: the service time that it used, divided by its
    weight. The account with the lowest tag is served next. An account that
    returns starts at the virtual time, the tag served last, so that idleness
    earns no credit. Operations cost O(log n) in the accounts with queued
    requests.
    """

    def __init__(self) -> None:
        self._lines: dict[AccountId, _Line] = {}
        self._heap: list[tuple[float, int, AccountId]] = []
        self._now = 0.0
        self._entry = 0

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        account = pending.job.account
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(self._now)
        is_new = not line.waiting
        line.push(pending, first=first)
        if is_new:
            line.tag = max(line.tag, self._now)
            self._enter(account, line)
            self._compact()

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next request that fits."""
        skipped: list[tuple[float, int, AccountId]] = []
        found = None
        while self._heap and len(skipped) < MAX_SKIPPED:
            entry = heappop(self._heap)
            line = self._lines.get(entry[2])
            if line is None or line.entry != entry[1] or not line.waiting:
                continue
            if is_eligible(line.head()):
                found = line.pop()
                self._now = max(self._now, entry[0])
                if line.waiting:
                    self._enter(entry[2], line)
                break
            skipped.append(entry)
        for entry in skipped:
            heappush(self._heap, entry)
        return found

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._lines[pending.job.account].waiting.pop(pending.job.id)

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the newest queued request of an account."""
        return self._lines[account].newest()

    def has_waiting(self, account: AccountId) -> bool:
        """Return whether an account has a queued request."""
        line = self._lines.get(account)
        return line is not None and bool(line.waiting)

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Record a request that is dispatched at once, past the empty queue."""
        line = self._lines.get(account)
        if line is None:
            self._lines[account] = _Line(self._now)
            return
        line.tag = self._now = max(self._now, line.tag)

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time; a negative time is a refund."""
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(self._now)
        line.tag += used_s / weight
        if line.waiting:
            self._enter(account, line)
            self._compact()

    def remove_account(self, account: AccountId) -> None:
        """Remove the state of an account."""
        line = self._lines.pop(account, None)
        ensure(not (line and line.waiting), "forgotten-queue-empty", account=account)

    def _enter(self, account: AccountId, line: _Line) -> None:
        self._entry += 1
        line.entry = self._entry
        heappush(self._heap, (line.tag, self._entry, account))

    def _compact(self) -> None:
        if len(self._heap) <= 4 * len(self._lines) + 64:
            return
        self._heap = [
            (line.tag, line.entry, account)
            for account, line in self._lines.items()
            if line.waiting
        ]
        heapify(self._heap)


class _Rotation:
    """The base of the round-robin queues: a rotation of accounts."""

    def __init__(self) -> None:
        self._lines: dict[AccountId, _Line] = {}
        self._turns: deque[AccountId] = deque()
        self._in_turns: set[AccountId] = set()

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        account = pending.job.account
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(0.0)
        line.push(pending, first=first)
        if account not in self._in_turns:
            self._in_turns.add(account)
            self._turns.append(account)

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._lines[pending.job.account].waiting.pop(pending.job.id)

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the newest queued request of an account."""
        return self._lines[account].newest()

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Record a request that is dispatched at once, past the empty queue."""

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time."""

    def remove_account(self, account: AccountId) -> None:
        """Remove the state of an account."""
        line = self._lines.pop(account, None)
        ensure(not (line and line.waiting), "forgotten-queue-empty", account=account)

    def _next_line(self) -> _Line | None:
        """Return the first account queue with requests; remove empty ones before it."""
        while self._turns:
            line = self._lines.get(self._turns[0])
            if line is not None and line.waiting:
                return line
            self._in_turns.discard(self._turns.popleft())
        return None


@QUEUES.register("round-robin")
class RoundRobinQueue(_Rotation):
    """One request of every account in turn, regardless of its cost."""

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next request that fits."""
        for _ in range(MAX_SKIPPED):
            line = self._next_line()
            if line is None:
                return None
            self._turns.rotate(-1)
            if is_eligible(line.head()):
                return line.pop()
        return None


@QUEUES.register("deficit-round-robin")
class DeficitRoundRobinQueue(_Rotation):
    """Every account in turn until it has used its quantum of service time.

    The tag of an account is its deficit: the service time that it may still use.
    """

    QUANTUM_S = 0.05
    MAX_DEBT_S = 1.0

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next request that fits."""
        n_looks = 0
        while n_looks < MAX_SKIPPED:
            line = self._next_line()
            if line is None:
                return None
            if line.tag > 0.0 and is_eligible(line.head()):
                return line.pop()
            n_looks += line.tag > 0.0
            weight = line.head().job.weight
            line.tag = min(self.QUANTUM_S * weight, line.tag + self.QUANTUM_S * weight)
            self._turns.rotate(-1)
        return None

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time."""
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(0.0)
        line.tag = max(-self.MAX_DEBT_S, line.tag - used_s)


@QUEUES.register("fifo")
class FifoQueue:
    """First in, first out, without regard to accounts."""

    def __init__(self) -> None:
        self._line = _Line(0.0)

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        self._line.push(pending, first=first)

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the first request if it fits."""
        if self._line.waiting and is_eligible(self._line.head()):
            return self._line.pop()
        return None

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._line.waiting.pop(pending.job.id)

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the newest request of any account."""
        return self._line.newest()

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Do nothing; service time does not count."""

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Do nothing; service time does not count."""

    def remove_account(self, account: AccountId) -> None:
        """Do nothing; there is no state per account."""
