"""When this VM reads the store itself."""

from random import Random

from wagtailpaddle_replica.messages import Collection

READ_EVERY_S = 0.25
VMS_EVERY_S = 1.5
MAX_PAUSE_S = 2.0


class Reading:
    """Paces reads of the store.

    Reads that fail are tried again after a pause that doubles, so that many
    VMs in front of a store that is away stay few calls a second.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._next_at: dict[Collection, float] = {}
        self._pause_s: dict[Collection, float] = {}
        self._in_flight: set[Collection] = set()
        self.is_failing = False

    def take(self, now: float, collection: Collection) -> bool:
        """Return whether to read a collection now, and count it as begun."""
        if collection in self._in_flight or now < self._next_at.get(collection, 0.0):
            return False
        self._in_flight.add(collection)
        return True

    def done(self, now: float, collection: Collection) -> None:
        """A read was answered."""
        self._in_flight.discard(collection)
        self._pause_s.pop(collection, None)
        every_s = VMS_EVERY_S if collection is Collection.VMS else READ_EVERY_S
        self._next_at[collection] = now + every_s
        self.is_failing = False

    def failed(self, now: float, collection: Collection) -> None:
        """A read brought nothing."""
        self._in_flight.discard(collection)
        self.is_failing = True
        pause_s = self._pause_s.get(collection, READ_EVERY_S / 2)
        self._pause_s[collection] = min(MAX_PAUSE_S, pause_s * 2)
        self._next_at[collection] = now + pause_s * (0.75 + 0.5 * self._rng.random())
