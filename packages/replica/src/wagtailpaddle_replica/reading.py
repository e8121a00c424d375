"""When this VM reads the store itself."""

from random import Random

from wagtailpaddle_replica.messages import Collection

READ_EVERY_S = 0.4
VMS_EVERY_S = 1.5
MAX_PAUSE_S = 2.0
OUTAGE_S = 1.0
LAPSE_GRACE_S = 2.2


class Reading:
    """Paces reads of the store, and knows when it was away.

    Reads that fail are tried again after a pause that doubles, so that many
    VMs in front of a store that is away stay few calls a second.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._next_at: dict[Collection, float] = {}
        self._pause_s: dict[Collection, float] = {}
        self._in_flight: set[Collection] = set()
        self._failing_since: float | None = None
        self.back_at: float | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing_since is not None

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
        if self._failing_since is None:
            return
        if now - self._failing_since > OUTAGE_S:
            self.back_at = now
        self._failing_since = None

    def failed(self, now: float, collection: Collection) -> None:
        """A read brought nothing."""
        self._in_flight.discard(collection)
        if self._failing_since is None:
            self._failing_since = now
        pause_s = self._pause_s.get(collection, READ_EVERY_S / 2)
        self._pause_s[collection] = min(MAX_PAUSE_S, pause_s * 2)
        self._next_at[collection] = now + pause_s * (0.75 + 0.5 * self._rng.random())

    def note_outage(self, now: float, age_s: float) -> None:
        """Another VM told how long ago the store came back."""
        if age_s >= 0.0:
            at = now - age_s
            self.back_at = at if self.back_at is None else max(at, self.back_at)

    def in_grace(self, now: float) -> bool:
        """Return whether entries may have lapsed while the store was away."""
        return self.back_at is not None and now - self.back_at < LAPSE_GRACE_S
