"""Compares evidence windows of one-second buckets with stored events."""

import sys
import time
from collections import deque
from collections.abc import Iterator
from typing import Protocol

from wagtailpaddle_health.window import Counts, Window

from wagtailpaddle_standins.measure.registry import MEASURES

RATES = (10, 100, 1000)
LENGTHS_S = (10, 60)
N_TIMED = 20_000
GOOD = Counts(1)
BAD = Counts(1, 1)


class AttemptWindow(Protocol):
    """A window that counts attempts."""

    def add(self, second: int, counts: Counts) -> None:
        """Count an attempt."""


class StoredEvents:
    """A sliding window that stores each attempt and a running total."""

    def __init__(self, length_s: int) -> None:
        self._length_s = length_s
        self._events: deque[tuple[float, Counts]] = deque()
        self._total = [0, 0, 0, 0]

    def add(self, second: float, counts: Counts) -> None:
        """Add an attempt and remove those older than the window."""
        events, total = self._events, self._total
        while events and events[0][0] <= second - self._length_s:
            _, expired = events.popleft()
            for index in range(4):
                total[index] -= expired[index]
        events.append((second, counts))
        for index in range(4):
            total[index] += counts[index]


def size_of(item: object, visited: set[int]) -> int:
    """Return the size in bytes of an object and its parts, each counted once."""
    if id(item) in visited:
        return 0
    visited.add(id(item))
    n_bytes = sys.getsizeof(item)
    if isinstance(item, list | tuple | deque):
        n_bytes += sum(size_of(part, visited) for part in item)
    slots = getattr(item, "__slots__", ()) if isinstance(item, Window) else ()
    parts = [getattr(item, slot) for slot in slots]
    if isinstance(item, StoredEvents):
        parts = list(vars(item).values())
    return n_bytes + sum(size_of(part, visited) for part in parts)


def measure(
    window: AttemptWindow, rate: int, length_s: int, whole_seconds: bool
) -> tuple[int, float]:
    """Return the bytes of a full window and the microseconds of an ``add`` to it."""
    n_fill = rate * length_s
    for index in range(n_fill):
        at_s = index / rate
        window.add(int(at_s) if whole_seconds else at_s, GOOD)  # type: ignore[arg-type]
    n_bytes = size_of(window, set())
    started_at = time.perf_counter()
    for index in range(n_fill, n_fill + N_TIMED):
        at_s = index / rate
        counts = BAD if index % 100 == 0 else GOOD
        window.add(int(at_s) if whole_seconds else at_s, counts)  # type: ignore[arg-type]
    return n_bytes, (time.perf_counter() - started_at) / N_TIMED * 1e6


@MEASURES.register("windows")
def windows(seed: int) -> Iterator[str]:
    """Compare memory and time for one server's window; nothing is random."""
    yield f"python {sys.version.split()[0]}; bytes per window, us per attempt"
    for length_s in LENGTHS_S:
        for rate in RATES:
            buckets = measure(Window(length_s), rate, length_s, True)
            events = measure(StoredEvents(length_s), rate, length_s, False)
            yield (
                f"{length_s:2} s at {rate:4}/s: buckets {buckets[0]:7} B"
                f" {buckets[1]:.2f} us; stored events {events[0]:8} B"
                f" {events[1]:.2f} us"
            )
