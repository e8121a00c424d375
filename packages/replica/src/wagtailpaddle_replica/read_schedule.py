"""The schedule of this VM's reads of the store."""

from random import Random

from wagtailpaddle_replica.messages import Collection

READ_INTERVAL_S = 0.25
VMS_READ_INTERVAL_S = 1.5
MAX_BACKOFF_S = 2.0
URGENT_MAX_BACKOFF_S = 0.5
"""Longest back-off of a VM that no other VM brings the store's records."""


class ReadSchedule:
    """Schedules reads of the store, at most one at a time for each collection.

    Failed reads are retried with exponential back-off, so that many VMs together
    send few calls a second to a store that is unavailable. The back-off is short
    where reads are urgent, because a read may also hang when the store returns.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._next_at: dict[Collection, float] = {}
        self._backoff_s: dict[Collection, float] = {}
        self._in_flight: set[Collection] = set()
        self.is_failing = False

    def begin_if_due(self, now: float, collection: Collection) -> bool:
        """Return whether a read is due, and if so record it as in flight."""
        if collection in self._in_flight or now < self._next_at.get(collection, 0.0):
            return False
        self._in_flight.add(collection)
        return True

    def record_success(self, now: float, collection: Collection) -> None:
        """Record a successful read and schedule the next one."""
        self._in_flight.discard(collection)
        self._backoff_s.pop(collection, None)
        interval_s = (
            VMS_READ_INTERVAL_S if collection is Collection.VMS else READ_INTERVAL_S
        )
        self._next_at[collection] = now + interval_s
        self.is_failing = False

    def record_failure(
        self, now: float, collection: Collection, *, is_urgent: bool
    ) -> None:
        """Record a failed read and schedule the retry."""
        self._in_flight.discard(collection)
        self.is_failing = True
        backoff_s = self._backoff_s.get(collection, READ_INTERVAL_S / 2)
        max_backoff_s = URGENT_MAX_BACKOFF_S if is_urgent else MAX_BACKOFF_S
        backoff_s = min(max_backoff_s, backoff_s)
        self._backoff_s[collection] = backoff_s * 2
        self._next_at[collection] = now + backoff_s * (0.75 + 0.5 * self._rng.random())
