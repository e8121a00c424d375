"""The bounded queue of one service, with deadlines and starvation detection."""

from collections import Counter, defaultdict

from wagtailpaddle_core import AccountId, RequestId, ensure

from wagtailpaddle_routing.messages import Rank
from wagtailpaddle_routing.queue_lengths import QueueLengths
from wagtailpaddle_routing.queues import Queue, RequestPredicate
from wagtailpaddle_routing.retry import PendingRequest, State
from wagtailpaddle_routing.timers import Timers

EXPIRY_TTL_S = 2.0
"""How long an expired request counts as a sign that its rank is starved."""

STARVATION_S = 0.5
"""A rank from which nothing was served for this long may be starved."""


class BoundedQueue:
    """The queued requests, with their deadlines and a bound on their number.

    ``work_s`` is their expected service time in total.
    """

    def __init__(self, *, queue: Queue, max_waiting: int, by_rank: bool = False):
        self._by_rank = by_rank
        self.max_waiting = max_waiting
        self._queue = queue
        self.work_s = 0.0
        self._work_by_rank: defaultdict[Rank, float] = defaultdict(float)
        self._queued: dict[RequestId, PendingRequest] = {}
        self._n_by_rank: Counter[Rank] = Counter()
        self._expired_at: dict[Rank, float] = {}
        self._served_at: dict[Rank, float] = {}
        self._lengths = QueueLengths()
        self._deadlines = Timers()

    @property
    def n_queued(self) -> int:
        """How many requests are queued."""
        return len(self._queued)

    def work_ahead_s(
        self, account: AccountId, mean_s: float, rank: Rank = (0, 0)
    ) -> float:
        """Return the service time queued ahead of a new request of ``account``.

        Requests of lower priority do not count if the queue orders by rank.

        The queue is fair in service time, so an account with few queued requests
        waits for few of the other accounts'. ``mean_s`` is the mean service time
        of this account.
        """
        n_own = self._lengths.of(account)
        n_accounts = len(self._lengths) + (n_own == 0)
        ahead_s = self.work_s
        if self._by_rank:
            ahead_s = sum(
                work_s for item, work_s in self._work_by_rank.items() if item <= rank
            )
        return min(ahead_s, (n_own + 1) * n_accounts * mean_s)

    def is_starved(self, now: float, rank: Rank) -> bool:
        """Return whether higher-priority requests starve the requests of ``rank``.

        That is so if one of them expired lately, none was served lately and at
        least one is queued. The queued one shows when the starvation ends.
        """
        never = float("-inf")
        is_unserved = now - self._served_at.get(rank, never) > STARVATION_S
        has_expired = now - self._expired_at.get(rank, never) <= EXPIRY_TTL_S
        return is_unserved and has_expired and self._n_by_rank[rank] > 0

    def would_be_longest(self, account: AccountId) -> bool:
        """Return whether one more request makes the account's queue the longest."""
        if not self._queued:
            return True
        longest = self._lengths.of(self._lengths.longest())
        return longest <= self._lengths.of(account) + 1

    def evict(self) -> PendingRequest | None:
        """Remove and return a request if the queue is over its bound, else None."""
        return self.pop_last() if len(self._queued) > self.max_waiting else None

    def pop_last(self) -> PendingRequest:
        """Remove and return the newest request of the account with the longest queue.

        The queue must not be empty.
        """
        victim = self._queue.newest(self._lengths.longest())
        self.remove(victim)
        return victim

    def enqueue(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        request = pending.job.id
        ensure(request not in self._queued, "waits-once", request=request)
        pending.state = State.QUEUED
        self._queued[request] = pending
        self._n_by_rank[pending.job.rank] += 1
        self.work_s += pending.expected_s
        self._work_by_rank[pending.job.rank] += pending.expected_s
        self._lengths.increment(pending.job.account)
        self._queue.push(pending, first=first)
        self._deadlines.set(request, pending.job.deadline_at)

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next eligible request."""
        pending = self._queue.pop(is_eligible)
        if pending is not None:
            self._on_removed(pending)
        return pending

    def record_served(self, now: float, rank: Rank) -> None:
        """Record that a queued request was dispatched."""
        self._served_at[rank] = now

    def record_expired(self, now: float, rank: Rank) -> None:
        """Record that a queued request expired."""
        self._expired_at[rank] = now

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._queue.remove(pending)
        self._on_removed(pending)

    def expired(self, now: float, *, min_left_s: float = 0.0) -> list[PendingRequest]:
        """Remove and return the requests that expire within ``min_left_s``."""
        expired_requests = []
        for request in self._deadlines.due(now + min_left_s):
            pending = self._queued[request]
            self.remove(pending)
            self.record_expired(now, pending.job.rank)
            expired_requests.append(pending)
        return expired_requests

    def all_queued(self) -> list[PendingRequest]:
        """Return all queued requests."""
        return list(self._queued.values())

    def next_deadline(self) -> float | None:
        """Return the earliest deadline, or None."""
        return self._deadlines.next_at()

    def _on_removed(self, pending: PendingRequest) -> None:
        del self._queued[pending.job.id]
        self._n_by_rank[pending.job.rank] -= 1
        self._work_by_rank[pending.job.rank] -= pending.expected_s
        if not self._queued:
            self._work_by_rank.clear()
        self.work_s = self.work_s - pending.expected_s if self._queued else 0.0
        self._lengths.decrement(pending.job.account)
        self._deadlines.clear(pending.job.id)
