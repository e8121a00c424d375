"""The schedule of this VM's reads of the store."""

from random import Random

from wagtailpaddle_replica.messages import Collection

READ_EVERY_S = 0.25
VMS_EVERY_S = 1.5
MAX_PAUSE_S = 2.0


class Reading:
    """Schedules reads of the store, at most one at a time for each collection.

    Failed reads are retried with exponential back-off, so that many VMs together
    send few calls a second to a store that is unavailable.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._next_at: dict[Collection, float] = {}
        self._pause_s: dict[Collection, float] = {}
        self._in_flight: set[Collection] = set()
        self.is_failing = False

    def take(self, now: float, collection: Collection) -> bool:
        """Return whether a read is due, and if so record it as in flight."""
        if collection in self._in_flight or now < self._next_at.get(collection, 0.0):
            return False
        self._in_flight.add(collection)
        return True

    def done(self, now: float, collection: Collection) -> None:
        """Record a successful read and schedule the next one."""
        self._in_flight.discard(collection)
        self._pause_s.pop(collection, None)
        every_s = VMS_EVERY_S if collection is Collection.VMS else READ_EVERY_S
        self._next_at[collection] = now + every_s
        self.is_failing = False

    def failed(self, now: float, collection: Collection) -> None:
        """Record a failed read and schedule the retry."""
        self._in_flight.discard(collection)
        self.is_failing = True
        pause_s = self._pause_s.get(collection, READ_EVERY_S / 2)
        self._pause_s[collection] = min(MAX_PAUSE_S, pause_s * 2)
        self._next_at[collection] = now + pause_s * (0.75 + 0.5 * self._rng.random())
