"""In-memory fakes of the clock, the log, the list of VMs and the network."""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random

import msgspec
from wagtailpaddle_core import Offset
from wagtailpaddle_fleet import ListedVm


class Clock:
    """A simulated clock that runs callbacks in time order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._n_events = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, run: Callable[[], None]) -> None:
        """Schedule a callback for ``time``, or for now if that is past."""
        self._n_events += 1
        heappush(self._events, (max(time, self.now), self._n_events, run))

    def run_until(self, time: float) -> None:
        """Run all callbacks due up to ``time`` and set the clock to it."""
        while self._events and self._events[0][0] <= time:
            self.now, _, run = heappop(self._events)
            run()
        self.now = time


class FakeLog:
    """One stream with retention; ``is_up`` and ``loss`` set its faults."""

    def __init__(self) -> None:
        self.is_up = True
        self.first: Offset = 0
        self.records: list[bytes] = []
        self.retention: int | None = None
        self.loss = 0.0

    @property
    def head(self) -> Offset:
        """The offset of the next append."""
        return len(self.records)

    def append(self, data: bytes) -> Offset:
        """Append a record and return its offset."""
        self.records.append(data)
        if self.retention is not None:
            self.first = max(self.first, self.head - self.retention)
        return self.head - 1

    def read(self, start: Offset, limit: int) -> list[tuple[Offset, bytes]]:
        """Return up to ``limit`` records from ``start`` on."""
        stop = min(start + limit, self.head)
        return [(offset, self.records[offset]) for offset in range(start, stop)]


class FakeList:
    """The platform's list of VMs, which lags by ``lag_s``."""

    def __init__(self, clock: Clock, *, lag_s: float):
        self._clock = clock
        self.lag_s = lag_s
        self._entries: dict[str, ListedVm] = {}
        self._history: list[tuple[float, tuple[ListedVm, ...]]] = [(0.0, ())]

    def put(self, entry: ListedVm) -> None:
        """Add or update the entry of a VM."""
        self._entries[entry.peer_address] = entry
        self._record_entries()

    def remove(self, address: str) -> None:
        """Remove the entry of a VM."""
        self._entries.pop(address, None)
        self._record_entries()

    def entries(self) -> tuple[ListedVm, ...]:
        """Return the list as it was ``lag_s`` ago."""
        until = self._clock.now - self.lag_s
        past = [entries for at, entries in self._history if at <= until]
        return past[-1] if past else ()

    def _record_entries(self) -> None:
        self._history.append((self._clock.now, tuple(self._entries.values())))


class Traffic:
    """Counts of messages and bytes sent, by kind."""

    __slots__ = ("n_bytes", "n_messages")

    def __init__(
        self,
        n_messages: dict[str, int] | None = None,
        n_bytes: dict[str, int] | None = None,
    ) -> None:
        self.n_messages: dict[str, int] = {} if n_messages is None else n_messages
        self.n_bytes: dict[str, int] = {} if n_bytes is None else n_bytes

    def count(self, kind: str, size: int) -> None:
        """Count one message."""
        self.n_messages[kind] = self.n_messages.get(kind, 0) + 1
        self.n_bytes[kind] = self.n_bytes.get(kind, 0) + size


class Network:
    """Delays and loses messages.

    ``cuts`` holds one-way (source, target) pairs; messages whose class
    name is in ``dropped_kinds`` are dropped.
    """

    def __init__(self, rng: Random, *, delay_s: tuple[float, float] = (0.001, 0.01)):
        self.rng = rng
        self.delay_s = delay_s
        self.loss = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.dropped_kinds: set[str] = set()
        self.traffic = Traffic()

    def delivers(self, source: str, target: str, body: object) -> bool:
        """Count a message and return whether it is delivered."""
        kind = type(body).__name__
        self.traffic.count(kind, len(msgspec.msgpack.encode(body)))
        if (source, target) in self.cuts or kind in self.dropped_kinds:
            return False
        return self.rng.random() >= self.loss

    def delay(self) -> float:
        """Return a random message delay in seconds."""
        return self.rng.uniform(*self.delay_s)

    def cut(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Drop all messages from ``sources`` to ``targets``."""
        listed = list(targets)
        self.cuts |= {(source, target) for source in sources for target in listed}

    def heal(self) -> None:
        """End all cuts and losses."""
        self.cuts.clear()
        self.dropped_kinds.clear()
        self.loss = 0.0
