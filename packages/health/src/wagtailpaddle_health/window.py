"""Sliding windows of counts in one-second buckets with a running total."""

from collections import deque
from typing import NamedTuple

WINDOW_S = 60
SCAN_LENGTHS_S = (1, 2, 4, 8, 16, 32, WINDOW_S)
"""Lengths in seconds of the windows that are judged; all of them end now."""


class Counts(NamedTuple):
    """Numbers of attempts: all, failed, never sent (unreachable) and slow."""

    n_attempts: int = 0
    n_failure: int = 0
    n_unreachable: int = 0
    n_slow: int = 0

    def __bool__(self) -> bool:
        return any(self)


NO_COUNTS = Counts()


class Window:
    """Counts of the last ``length_s`` seconds in bounded memory.

    Memory and the cost of one ``add`` do not depend on the request rate: each
    second with traffic has one bucket. ``total`` is updated as buckets are added
    and expire. Times are whole seconds; a time before the latest one counts as
    the latest.

    >>> window = Window()
    >>> window.add(0, Counts(10, 1))
    >>> window.add(59, Counts(10, 0))
    >>> window.total(59)
    Counts(n_attempts=20, n_failure=1, n_unreachable=0, n_slow=0)
    >>> window.total(60).n_attempts
    10
    """

    __slots__ = (
        "_buckets",
        "_length_s",
        "_scan",
        "_scan_second",
        "_lifetime_total",
        "_total",
    )

    def __init__(self, length_s: int = WINDOW_S) -> None:
        self._length_s = length_s
        self._buckets: deque[list[int]] = deque()
        self._total = [0, 0, 0, 0]
        self._lifetime_total = [0, 0, 0, 0]
        self._scan: tuple[Counts, ...] | None = None
        self._scan_second = 0

    def __len__(self) -> int:
        return len(self._buckets)

    def add(self, second: int, counts: Counts) -> None:
        """Add counts to the bucket of ``second``."""
        buckets = self._buckets
        if not buckets or second > buckets[-1][0]:
            self._trim(second)
            buckets.append([second, 0, 0, 0, 0])
        bucket = buckets[-1]
        total, lifetime_total = self._total, self._lifetime_total
        for index in range(4):
            bucket[index + 1] += counts[index]
            total[index] += counts[index]
            lifetime_total[index] += counts[index]
        self._scan = None

    def total(self, second: int) -> Counts:
        """Return the counts of the whole window that ends at ``second``."""
        self._trim(second)
        return Counts(*self._total)

    @property
    def lifetime_total(self) -> Counts:
        """All counts ever added, including those that have expired."""
        return Counts(*self._lifetime_total)

    def scan(self, second: int) -> tuple[Counts, ...]:
        """Return the counts of each window of ``SCAN_LENGTHS_S`` up to ``second``."""
        if self._scan is None or self._scan_second != second:
            self._scan = self._compute_scan(second)
            self._scan_second = second
        return self._scan

    def recent(self, second: int, length_s: int) -> Counts:
        """Return the counts of the last ``length_s`` seconds up to ``second``."""
        oldest = second - length_s
        if length_s >= self._length_s:
            return self.total(second)
        n_attempts = n_failure = n_unreachable = n_slow = 0
        for bucket in reversed(self._buckets):
            if bucket[0] <= oldest:
                break
            n_attempts += bucket[1]
            n_failure += bucket[2]
            n_unreachable += bucket[3]
            n_slow += bucket[4]
        return Counts(n_attempts, n_failure, n_unreachable, n_slow)

    def copy(self) -> "Window":
        """Return a window with the same counts."""
        copied = Window(self._length_s)
        copied._buckets = deque(list(bucket) for bucket in self._buckets)
        copied._total = list(self._total)
        copied._lifetime_total = list(self._lifetime_total)
        return copied

    def _compute_scan(self, second: int) -> tuple[Counts, ...]:
        self._trim(second)
        sums = [0, 0, 0, 0]
        scan: list[Counts] = []
        for bucket in reversed(self._buckets):
            age = second - bucket[0]
            while age >= SCAN_LENGTHS_S[len(scan)]:
                scan.append(Counts(*sums))
            for index in range(4):
                sums[index] += bucket[index + 1]
        while len(scan) < len(SCAN_LENGTHS_S):
            scan.append(Counts(*sums))
        return tuple(scan)

    def _trim(self, second: int) -> None:
        oldest = second - self._length_s
        buckets = self._buckets
        while buckets and buckets[0][0] <= oldest:
            expired = buckets.popleft()
            for index in range(4):
                self._total[index] -= expired[index + 1]
