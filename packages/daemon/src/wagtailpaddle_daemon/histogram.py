"""Histograms of latencies and counts in fixed memory."""

import struct
from array import array
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass
from itertools import accumulate

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 100
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 1
MAX_COUNT = 64
US_PER_S = 1_000_000
MAX_BUFFERED = 256


@dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of a histogram, in the unit of its values (seconds or counts).

    Quantiles have the relative error of the histogram's buckets, at most 1/16.
    """

    n: int
    mean: float
    p50: float
    p90: float
    p99: float
    max: float


class Histogram:
    """Counts values in buckets of about 6 % width, using a few KB of memory.

    New values are buffered in a short array and moved to the HdrHistogram in
    batches, grouped by bucket, which costs less per value.

    >>> histogram = Histogram.of_seconds()
    >>> histogram.record(0.02)
    >>> histogram.summary().n
    1
    """

    __slots__ = ("_hdr", "_highest", "_buffer", "_scale", "_total")

    def __init__(self, lowest: int, highest: int, scale: int):
        self._hdr = HdrHistogram(lowest, highest, SIGNIFICANT_DIGITS)
        self._highest = highest
        self._scale = scale
        self._buffer = array("d")
        self._total = 0.0

    @classmethod
    def of_seconds(cls) -> "Histogram":
        """Return a histogram of seconds from 0.1 ms to 60 s."""
        return cls(MIN_LATENCY_US, MAX_LATENCY_US, US_PER_S)

    @classmethod
    def of_counts(cls) -> "Histogram":
        """Return a histogram of whole numbers from 0 to 64."""
        return cls(1, MAX_COUNT, 1)

    @property
    def n(self) -> int:
        """Number of recorded values."""
        return self._hdr.total_count + len(self._buffer)

    @property
    def total(self) -> float:
        """Sum of the recorded values."""
        return self._total + sum(self._buffer)

    def record(self, value: float) -> None:
        """Record ``value``; values outside the range count at its nearest end."""
        self._buffer.append(value)
        if len(self._buffer) >= MAX_BUFFERED:
            self._flush()

    def add(self, other: "Histogram") -> None:
        """Add the values of another histogram with the same range and scale."""
        self._flush()
        other._flush()
        self._hdr.add(other._hdr)
        self._total += other._total

    def cumulative_counts(self, bounds: tuple[float, ...]) -> list[int]:
        """Return, for each of the ascending bounds, the number of values up to it."""
        cumulative = self._cumulative()
        scaled = (min(int(bound * self._scale), self._highest) for bound in bounds)
        return [cumulative[self._hdr.get_counts_array_index(value)] for value in scaled]

    def summary(self) -> Summary:
        """Return count, mean and quantiles; all are zero without values."""
        n = self.n
        if not n:
            return Summary(0, 0.0, 0.0, 0.0, 0.0, 0.0)
        cumulative = self._cumulative()
        return Summary(
            n,
            self.total / n,
            self._quantile(cumulative, 0.5),
            self._quantile(cumulative, 0.9),
            self._quantile(cumulative, 0.99),
            self._hdr.get_max_value() / self._scale,
        )

    def _flush(self) -> None:
        scaled = [value * self._scale for value in self._buffer]
        for bucket, count in Counter(_buckets(scaled)).items():
            value = min(max(0.0, _lower_bound(bucket)), self._highest)
            self._hdr.record_value(int(value), count)
        self._total += sum(self._buffer)
        del self._buffer[:]

    def _cumulative(self) -> list[int]:
        self._flush()
        return list(accumulate(self._hdr.counts))

    def _quantile(self, cumulative: list[int], fraction: float) -> float:
        index = bisect_left(cumulative, fraction * cumulative[-1])
        lowest = self._hdr.get_value_from_index(index)
        value = self._hdr.get_highest_equivalent_value(lowest)
        return min(value, self._hdr.get_max_value()) / self._scale


def _buckets(values: list[float]) -> tuple[int, ...]:
    """Return the upper 16 bits of each double, which give 16 buckets per octave."""
    packed = struct.pack(f"<{len(values)}d", *values)
    return struct.unpack(f"<{4 * len(values)}H", packed)[3::4]


def _lower_bound(bucket: int) -> float:
    bound: float = struct.unpack("<d", struct.pack("<Q", bucket << 48))[0]
    return bound
