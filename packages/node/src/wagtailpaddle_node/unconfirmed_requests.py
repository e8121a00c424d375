"""Requests that wait until the copies of the store are proven current."""

from dataclasses import dataclass

from wagtailpaddle_core import RequestId

from wagtailpaddle_node.messages import RequestHead

MAX_WAIT_S = 0.25
"""A request waits for the store at most this long, then the last copies decide."""


@dataclass(frozen=True, slots=True)
class UnconfirmedRequest:
    """A request that no copy may decide yet."""

    head: RequestHead
    arrived_at: float


class UnconfirmedRequests:
    """Holds requests that arrived while a copy was older than its bound.

    >>> held = UnconfirmedRequests()
    >>> held.add(5.0, RequestHead(RequestId("r1"), "", "/", "GET", None))
    >>> held.next_wake(), [item.head.id for item in held.pop_overdue(5.3)]
    (5.25, ['r1'])
    """

    def __init__(self) -> None:
        self._held: dict[RequestId, UnconfirmedRequest] = {}

    def __len__(self) -> int:
        return len(self._held)

    def add(self, now: float, head: RequestHead) -> None:
        """Hold a request that arrived now."""
        self._held[head.id] = UnconfirmedRequest(head, now)

    def discard(self, request: RequestId) -> bool:
        """Remove a request; return whether it was held."""
        return self._held.pop(request, None) is not None

    def pop_all(self) -> tuple[UnconfirmedRequest, ...]:
        """Remove and return all requests in the order of their arrival."""
        held = tuple(self._held.values())
        self._held.clear()
        return held

    def pop_overdue(self, now: float) -> tuple[UnconfirmedRequest, ...]:
        """Remove and return the requests that have waited long enough."""
        overdue = tuple(
            item for item in self._held.values() if now >= item.arrived_at + MAX_WAIT_S
        )
        for item in overdue:
            del self._held[item.head.id]
        return overdue

    def next_wake(self) -> float | None:
        """Return when the first request has waited long enough, or None."""
        first = next(iter(self._held.values()), None)
        return None if first is None else first.arrived_at + MAX_WAIT_S
