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
        """Remove and return the next eligible request.

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


class _AccountQueue:
    """The queued requests of one client account."""

    __slots__ = ("entry_id", "tag", "requests")

    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.entry_id: int = 0
        self.requests: OrderedDict[RequestId, PendingRequest] = OrderedDict()

    def push(self, pending: PendingRequest, *, first: bool) -> None:
        self.requests[pending.job.id] = pending
        if first:
            self.requests.move_to_end(pending.job.id, last=False)

    def head(self) -> PendingRequest:
        return next(iter(self.requests.values()))

    def newest(self) -> PendingRequest:
        return next(reversed(self.requests.values()))

    def pop(self) -> PendingRequest:
        return self.requests.popitem(last=False)[1]


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
        self._account_queues: dict[AccountId, _AccountQueue] = {}
        self._heap: list[tuple[float, int, AccountId]] = []
        self._virtual_time = 0.0
        self._last_entry_id = 0

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        account = pending.job.account
        account_queue = self._account_queues.get(account)
        if account_queue is None:
            account_queue = self._account_queues[account] = _AccountQueue(
                self._virtual_time
            )
        is_new = not account_queue.requests
        account_queue.push(pending, first=first)
        if is_new:
            account_queue.tag = max(account_queue.tag, self._virtual_time)
            self._schedule(account, account_queue)
            self._compact()

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next eligible request."""
        skipped: list[tuple[float, int, AccountId]] = []
        found = None
        while self._heap and len(skipped) < MAX_SKIPPED:
            entry = heappop(self._heap)
            account_queue = self._account_queues.get(entry[2])
            if (
                account_queue is None
                or account_queue.entry_id != entry[1]
                or not account_queue.requests
            ):
                continue
            if is_eligible(account_queue.head()):
                found = account_queue.pop()
                self._virtual_time = max(self._virtual_time, entry[0])
                if account_queue.requests:
                    self._schedule(entry[2], account_queue)
                break
            skipped.append(entry)
        for entry in skipped:
            heappush(self._heap, entry)
        return found

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._account_queues[pending.job.account].requests.pop(pending.job.id)

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the newest queued request of an account."""
        return self._account_queues[account].newest()

    def has_queued(self, account: AccountId) -> bool:
        """Return whether an account has a queued request."""
        account_queue = self._account_queues.get(account)
        return account_queue is not None and bool(account_queue.requests)

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Record a request that is dispatched at once, past the empty queue."""
        account_queue = self._account_queues.get(account)
        if account_queue is None:
            self._account_queues[account] = _AccountQueue(self._virtual_time)
            return
        account_queue.tag = self._virtual_time = max(
            self._virtual_time, account_queue.tag
        )

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time; a negative time is a refund."""
        account_queue = self._account_queues.get(account)
        if account_queue is None:
            account_queue = self._account_queues[account] = _AccountQueue(
                self._virtual_time
            )
        account_queue.tag += used_s / weight
        if account_queue.requests:
            self._schedule(account, account_queue)
            self._compact()

    def remove_account(self, account: AccountId) -> None:
        """Remove the state of an account."""
        account_queue = self._account_queues.pop(account, None)
        ensure(
            not (account_queue and account_queue.requests),
            "forgotten-queue-empty",
            account=account,
        )

    def _schedule(self, account: AccountId, account_queue: _AccountQueue) -> None:
        self._last_entry_id += 1
        account_queue.entry_id = self._last_entry_id
        heappush(self._heap, (account_queue.tag, self._last_entry_id, account))

    def _compact(self) -> None:
        if len(self._heap) <= 4 * len(self._account_queues) + 64:
            return
        self._heap = [
            (account_queue.tag, account_queue.entry_id, account)
            for account, account_queue in self._account_queues.items()
            if account_queue.requests
        ]
        heapify(self._heap)


class _RoundRobinBase:
    """The base of the round-robin queues: a rotation of accounts."""

    def __init__(self) -> None:
        self._account_queues: dict[AccountId, _AccountQueue] = {}
        self._rotation: deque[AccountId] = deque()
        self._in_rotation: set[AccountId] = set()

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        account = pending.job.account
        account_queue = self._account_queues.get(account)
        if account_queue is None:
            account_queue = self._account_queues[account] = _AccountQueue(0.0)
        account_queue.push(pending, first=first)
        if account not in self._in_rotation:
            self._in_rotation.add(account)
            self._rotation.append(account)

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._account_queues[pending.job.account].requests.pop(pending.job.id)

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the newest queued request of an account."""
        return self._account_queues[account].newest()

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Record a request that is dispatched at once, past the empty queue."""

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time."""

    def remove_account(self, account: AccountId) -> None:
        """Remove the state of an account."""
        account_queue = self._account_queues.pop(account, None)
        ensure(
            not (account_queue and account_queue.requests),
            "forgotten-queue-empty",
            account=account,
        )

    def _next_account_queue(self) -> _AccountQueue | None:
        """Return the first account queue with requests; remove empty ones before it."""
        while self._rotation:
            account_queue = self._account_queues.get(self._rotation[0])
            if account_queue is not None and account_queue.requests:
                return account_queue
            self._in_rotation.discard(self._rotation.popleft())
        return None


@QUEUES.register("round-robin")
class RoundRobinQueue(_RoundRobinBase):
    """One request of every account in turn, regardless of its cost."""

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next eligible request."""
        for _ in range(MAX_SKIPPED):
            account_queue = self._next_account_queue()
            if account_queue is None:
                return None
            self._rotation.rotate(-1)
            if is_eligible(account_queue.head()):
                return account_queue.pop()
        return None


@QUEUES.register("deficit-round-robin")
class DeficitRoundRobinQueue(_RoundRobinBase):
    """Every account in turn until it has used its quantum of service time.

    The tag of an account is its deficit: the service time that it may still use.
    """

    QUANTUM_S = 0.05
    MAX_DEBT_S = 1.0

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next eligible request."""
        n_checked = 0
        while n_checked < MAX_SKIPPED:
            account_queue = self._next_account_queue()
            if account_queue is None:
                return None
            if account_queue.tag > 0.0 and is_eligible(account_queue.head()):
                return account_queue.pop()
            n_checked += account_queue.tag > 0.0
            weight = account_queue.head().job.weight
            account_queue.tag = min(
                self.QUANTUM_S * weight, account_queue.tag + self.QUANTUM_S * weight
            )
            self._rotation.rotate(-1)
        return None

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time."""
        account_queue = self._account_queues.get(account)
        if account_queue is None:
            account_queue = self._account_queues[account] = _AccountQueue(0.0)
        account_queue.tag = max(-self.MAX_DEBT_S, account_queue.tag - used_s)


@QUEUES.register("fifo")
class FifoQueue:
    """First in, first out, without regard to accounts."""

    def __init__(self) -> None:
        self._queue = _AccountQueue(0.0)

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        self._queue.push(pending, first=first)

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the first request if it is eligible."""
        if self._queue.requests and is_eligible(self._queue.head()):
            return self._queue.pop()
        return None

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._queue.requests.pop(pending.job.id)

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the newest request of any account."""
        return self._queue.newest()

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Do nothing; service time does not count."""

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Do nothing; service time does not count."""

    def remove_account(self, account: AccountId) -> None:
        """Do nothing; there is no state per account."""
