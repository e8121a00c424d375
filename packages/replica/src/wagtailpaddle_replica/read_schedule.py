"""The schedule of this VM's reads of the store."""

from random import Random

from wagtailpaddle_replica.messages import Collection

READ_INTERVAL_S = 0.25
VMS_READ_INTERVAL_S = 1.5
MAX_BACKOFF = 0.5
URGENT_MAX_BACKOFF = 0.25
"""Longest back-off where no other VM brings the records; both are fractions of
``apply_s``."""

OVERDUE_READ_S = 0.4
"""A read without an answer for this time counts as failing."""

FAILURE_TTL_S = 2.5
"""The store counts as out of reach for this time after a read that failed. The next
read fails within it, as a read takes 1 s at most."""


class ReadSchedule:
    """Schedules reads of the store, at most one at a time for each collection.

    Failed reads are retried with exponential back-off, so that many VMs together
    send few calls a second to a store that is unavailable. The back-off is short
    where reads are urgent, because a read may also hang when the store returns.
    Every VM must know a written record after ``apply_s``.
    """

    def __init__(self, rng: Random, *, apply_s: float):
        self._rng = rng
        self._apply_s = apply_s
        self._next_at: dict[Collection, float] = {}
        self._backoff_s: dict[Collection, float] = {}
        self._sent_at: dict[Collection, float] = {}
        self._has_failed = False
        self._failed_at = float("-inf")

    def is_store_reachable(self, now: float) -> bool:
        """Return whether a read that is sent now is likely to be answered soon."""
        if now - self._failed_at < FAILURE_TTL_S:
            return False
        return all(at >= now - OVERDUE_READ_S for at in self._sent_at.values())

    def is_failing(self, now: float) -> bool:
        """Return whether the last read failed or one is overdue."""
        earliest = now - OVERDUE_READ_S
        return self._has_failed or any(at < earliest for at in self._sent_at.values())

    def begin_if_due(self, now: float, collection: Collection) -> bool:
        """Return whether a read is due, and if so record it as in flight."""
        if collection in self._sent_at or now < self._next_at.get(collection, 0.0):
            return False
        self._sent_at[collection] = now
        return True

    def expedite(self) -> None:
        """Let every collection be read at once, unless a read is in flight."""
        self._next_at.clear()

    def record_success(self, now: float, collection: Collection) -> None:
        """Record a successful read and schedule the next one."""
        self._sent_at.pop(collection, None)
        self._backoff_s.pop(collection, None)
        interval_s = (
            VMS_READ_INTERVAL_S if collection is Collection.VMS else READ_INTERVAL_S
        )
        self._next_at[collection] = now + interval_s
        self._has_failed = False
        self._failed_at = float("-inf")

    def record_failure(
        self, now: float, collection: Collection, *, is_urgent: bool
    ) -> None:
        """Record a failed read and schedule the retry."""
        self._sent_at.pop(collection, None)
        self._has_failed = True
        self._failed_at = now
        backoff_s = self._backoff_s.get(collection, READ_INTERVAL_S / 2)
        max_backoff = URGENT_MAX_BACKOFF if is_urgent else MAX_BACKOFF
        backoff_s = min(max_backoff * self._apply_s, backoff_s)
        self._backoff_s[collection] = backoff_s * 2
        self._next_at[collection] = now + backoff_s * (0.75 + 0.5 * self._rng.random())
