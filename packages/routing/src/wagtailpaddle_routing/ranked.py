"""A queue that serves urgent requests first, and accounts fairly within a rank."""

from wagtailpaddle_core import AccountId

from wagtailpaddle_routing.messages import Rank
from wagtailpaddle_routing.queues import QUEUES, Fits, VirtualTimeQueue
from wagtailpaddle_routing.retry import Pending


@QUEUES.register("ranked")
class RankedQueue:
    """A fair queue for each rank; a lower rank is served first.

    The service time that an account uses counts in every rank in which it has
    a line, so an account does not gain by spreading its requests over ranks.
    """

    def __init__(self) -> None:
        self._queues: dict[Rank, VirtualTimeQueue] = {}

    def push(self, pending: Pending, *, first: bool = False) -> None:
        """Take in a request."""
        self._queue(pending.job.rank).push(pending, first=first)

    def pop(self, fits: Fits) -> Pending | None:
        """Remove and return the next request that fits, the most urgent first."""
        for rank in sorted(self._queues):
            found = self._queues[rank].pop(fits)
            if found is not None:
                return found
        return None

    def remove(self, pending: Pending) -> None:
        """Remove a waiting request."""
        self._queue(pending.job.rank).remove(pending)

    def newest(self, account: AccountId) -> Pending:
        """Return the least urgent request of an account that came last."""
        for rank in sorted(self._queues, reverse=True):
            if self._queues[rank].has_waiting(account):
                return self._queues[rank].newest(account)
        raise LookupError(f"client account {account!r} has no request that waits")

    def pass_by(self, account: AccountId) -> None:
        """Note that a request is served at once, while nothing waits."""
        for queue in self._queues.values():
            queue.pass_by(account)

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Count service time that an account used; negative gives back."""
        for queue in self._queues.values():
            queue.charge(account, used_s, weight)

    def forget(self, account: AccountId) -> None:
        """Drop what is known of an account that has no requests any more."""
        for queue in self._queues.values():
            queue.forget(account)

    def _queue(self, rank: Rank) -> VirtualTimeQueue:
        return self._queues.setdefault(rank, VirtualTimeQueue())
