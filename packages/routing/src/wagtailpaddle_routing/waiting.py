"""The requests of one service that wait: bounded, in fair order, in time."""

from wagtailpaddle_core import AccountId, RequestId, ensure

from wagtailpaddle_routing.lengths import Lengths
from wagtailpaddle_routing.queues import Fits, Queue
from wagtailpaddle_routing.retry import Pending, State
from wagtailpaddle_routing.timers import Timers


class WaitingRoom:
    """Queued requests, and parked ones that pause before another attempt."""

    def __init__(self, *, queue: Queue, max_waiting: int):
        self.max_waiting = max_waiting
        self._queue = queue
        self._queued: dict[RequestId, Pending] = {}
        self._parked: dict[RequestId, Pending] = {}
        self._lengths = Lengths()
        self._deadlines = Timers()
        self._ready = Timers()

    @property
    def n_queued(self) -> int:
        """How many requests wait for a server."""
        return len(self._queued)

    @property
    def n_waiting(self) -> int:
        """How many requests wait, the parked ones included."""
        return len(self._queued) + len(self._parked)

    def n_ahead(self, account: AccountId) -> int:
        """Return how many requests go before a new one of ``account``.

        Accounts take turns, so an account with few requests of its own waits
        for few of the others'.
        """
        n_turns = (self._lengths.of(account) + 1) * max(1, len(self._lengths))
        return min(len(self._queued), n_turns)

    def overlong(self, account: AccountId) -> Pending | None:
        """Return the request to give up so that one of ``account`` fits in.

        None means that the account has the longest queue itself.
        """
        if not self._queued:
            return None
        longest = self._lengths.longest()
        if self._lengths.of(longest) <= self._lengths.of(account) + 1:
            return None
        return self._queue.newest(longest)

    def enqueue(self, pending: Pending, *, first: bool = False) -> None:
        """Let a request wait for a server."""
        request = pending.job.id
        ensure(
            request not in self._queued and request not in self._parked,
            "waits-once",
            request=request,
        )
        pending.state = State.QUEUED
        self._queued[request] = pending
        self._lengths.grow(pending.job.account)
        self._queue.push(pending, first=first)
        self._deadlines.set(request, pending.job.deadline_at)

    def park(self, pending: Pending, until: float) -> None:
        """Let a request pause until ``until``."""
        request = pending.job.id
        pending.state = State.PARKED
        self._parked[request] = pending
        self._ready.set(request, until)
        self._deadlines.set(request, pending.job.deadline_at)

    def pop(self, fits: Fits) -> Pending | None:
        """Remove and return the next request that fits."""
        pending = self._queue.pop(fits)
        if pending is not None:
            self._unlist(pending)
        return pending

    def remove(self, pending: Pending) -> None:
        """Remove a waiting request."""
        if pending.state is State.QUEUED:
            self._queue.remove(pending)
            self._unlist(pending)
            return
        del self._parked[pending.job.id]
        self._ready.clear(pending.job.id)
        self._deadlines.clear(pending.job.id)

    def expired(self, now: float) -> list[Pending]:
        """Remove and return the requests whose deadline has passed."""
        found = []
        for request in self._deadlines.due(now):
            pending = self._queued.get(request) or self._parked[request]
            self.remove(pending)
            found.append(pending)
        return found

    def ready(self, now: float) -> list[Pending]:
        """Remove and return the parked requests whose pause is over."""
        found = []
        for request in self._ready.due(now):
            found.append(self._parked.pop(request))
            self._deadlines.clear(request)
        return found

    def everyone(self) -> list[Pending]:
        """Return all that wait, the queued ones first."""
        return [*self._queued.values(), *self._parked.values()]

    def next_wake(self) -> float | None:
        """Return when a pause or a deadline ends next."""
        times = (self._deadlines.next_at(), self._ready.next_at())
        return min((at for at in times if at is not None), default=None)

    def _unlist(self, pending: Pending) -> None:
        del self._queued[pending.job.id]
        self._lengths.shrink(pending.job.account)
        self._deadlines.clear(pending.job.id)
