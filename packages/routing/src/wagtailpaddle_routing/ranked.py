"""A queue with strict priority by rank, and fair queueing within a rank."""

from wagtailpaddle_core import AccountId

from wagtailpaddle_routing.messages import Rank
from wagtailpaddle_routing.queues import QUEUES, RequestPredicate, VirtualTimeQueue
from wagtailpaddle_routing.retry import PendingRequest


@QUEUES.register("ranked")
class RankedQueue:
    """One fair queue per rank; lower ranks are served first.

    The service time that an account uses is charged in the queues of all ranks,
    so an account gains nothing by spreading its requests over ranks.
    """

    def __init__(self) -> None:
        self._queues: dict[Rank, VirtualTimeQueue] = {}

    def push(self, pending: PendingRequest, *, first: bool = False) -> None:
        """Add a request."""
        self._queue(pending.job.rank).push(pending, first=first)

    def pop(self, is_eligible: RequestPredicate) -> PendingRequest | None:
        """Remove and return the next eligible request, in the lowest rank first."""
        for rank in sorted(self._queues):
            found = self._queues[rank].pop(is_eligible)
            if found is not None:
                return found
        return None

    def remove(self, pending: PendingRequest) -> None:
        """Remove a queued request."""
        self._queue(pending.job.rank).remove(pending)

    def newest(self, account: AccountId) -> PendingRequest:
        """Return the account's newest request of the lowest priority that it has."""
        for rank in sorted(self._queues, reverse=True):
            if self._queues[rank].has_queued(account):
                return self._queues[rank].newest(account)
        raise LookupError(f"client account {account!r} has no queued request")

    def record_direct_dispatch(self, account: AccountId) -> None:
        """Record a request that is dispatched at once, past the empty queue."""
        for queue in self._queues.values():
            queue.record_direct_dispatch(account)

    def charge(self, account: AccountId, used_s: float, weight: float) -> None:
        """Charge an account for service time; a negative time is a refund."""
        for queue in self._queues.values():
            queue.charge(account, used_s, weight)

    def remove_account(self, account: AccountId) -> None:
        """Remove the state of an account that has no pending requests."""
        for queue in self._queues.values():
            queue.remove_account(account)

    def _queue(self, rank: Rank) -> VirtualTimeQueue:
        return self._queues.setdefault(rank, VirtualTimeQueue())
