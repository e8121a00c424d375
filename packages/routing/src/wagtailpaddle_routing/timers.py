"""A heap of timers, one per request, with lazy removal."""

from heapq import heapify, heappop, heappush

from wagtailpaddle_core import RequestId

COMPACTION_SLACK = 256


class Timers:
    """One timer per request; cleared entries stay in the heap until compaction.

    >>> timers = Timers()
    >>> timers.set(RequestId("a"), 2.0)
    >>> timers.next_at()
    2.0
    >>> timers.due(2.5)
    ['a']
    """

    def __init__(self) -> None:
        self._at: dict[RequestId, float] = {}
        self._heap: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        return len(self._at)

    def set(self, request: RequestId, at: float) -> None:
        """Set the time of a request, replacing an earlier one."""
        self._at[request] = at
        heappush(self._heap, (at, request))
        if len(self._heap) > 4 * len(self._at) + COMPACTION_SLACK:
            self._heap = [(at, request) for request, at in self._at.items()]
            heapify(self._heap)

    def clear(self, request: RequestId) -> None:
        """Remove the timer of a request, if it has one."""
        self._at.pop(request, None)

    def next_at(self) -> float | None:
        """Return the earliest time, or None."""
        while self._heap:
            at, request = self._heap[0]
            if self._at.get(request) == at:
                return at
            heappop(self._heap)
        return None

    def due(self, now: float) -> list[RequestId]:
        """Remove and return the requests whose time is due, in order."""
        requests = []
        while (at := self.next_at()) is not None and at <= now:
            request = heappop(self._heap)[1]
            del self._at[request]
            requests.append(request)
        return requests
