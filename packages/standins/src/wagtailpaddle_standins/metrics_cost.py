"""Measures the cost of histograms: memory, time per request, metrics pages."""

import argparse
import gzip
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram
from wagtailpaddle_core import AccountId, RouteId, ServerId, ServiceId
from wagtailpaddle_daemon.histogram import Histogram
from wagtailpaddle_daemon.metrics import Metrics
from wagtailpaddle_daemon.metrics_page import render_chunks
from wagtailpaddle_node import ConfigState
from wagtailpaddle_routing import AttemptOutcome

N_VALUES = 20_000
N_ROUNDS = 5
GZIP_LEVEL = 1
REQUESTS_PER_FLUSH = 50
MEDIAN_S = 0.02
SIGMA = 0.6
SIZES = ((8, 22), (64, 128))
RANGES = ((1, 2), (1, 1), (100, 2), (100, 1))
MAX_LATENCY_US = 60_000_000


def main() -> int:
    """Print a table of each cost, with the lowest of several rounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    values = [MEDIAN_S * rng.lognormvariate(0, SIGMA) for _ in range(N_VALUES)]
    print("histogram                        bytes  us/value")
    for lowest, digits in RANGES:
        _report_hdr(
            f"HdrHistogram {lowest} us, {digits} digits", lowest, digits, values
        )
    _report("Histogram, in batches", Histogram.of_seconds, values, 1.0)
    print("accounts servers  path us  flush us    bytes  page ms  piece ms", end="")
    print("  page bytes  gzip bytes")
    for n_accounts, n_servers in SIZES:
        _report_metrics(n_accounts, n_servers, values, rng)
    return 0


def _report_hdr(name: str, lowest: int, digits: int, values: list[float]) -> None:
    def make() -> Any:
        return HdrHistogram(lowest, MAX_LATENCY_US, digits)

    def record(histogram: Any, value: float) -> None:
        histogram.record_value(int(value))

    _report(name, make, values, 1e6, record)


def _report(
    name: str,
    make: Callable[[], Any],
    values: list[float],
    scale: float,
    record: Callable[[Any, float], None] = Histogram.record,
) -> None:
    tracemalloc.start()
    histogram = make()
    for value in values:
        record(histogram, value * scale)
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    costs_us = []
    for _ in range(N_ROUNDS):
        started_at = time.perf_counter()
        for value in values:
            record(histogram, value * scale)
        costs_us.append((time.perf_counter() - started_at) / len(values) * 1e6)
    print(f"{name:<30} {n_bytes:>7} {min(costs_us):>9.2f}")


def _report_metrics(
    n_accounts: int, n_servers: int, values: list[float], rng: random.Random
) -> None:
    tracemalloc.start()
    metrics = Metrics()
    _record_all(metrics, n_accounts, n_servers, values, rng)
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rounds = [
        _record_all(metrics, n_accounts, n_servers, values, rng)
        for _ in range(N_ROUNDS)
    ]
    path_us, flush_us = min(rounds)
    started_at = time.perf_counter()
    longest_s = 0.0
    page = b""
    before = started_at
    for chunk in render_chunks(metrics, config=ConfigState(1), n_in_flight=0):
        now = time.perf_counter()
        page += chunk
        longest_s = max(longest_s, now - before)
        before = now
    page_ms = (time.perf_counter() - started_at) * 1e3
    n_gzip_bytes = len(gzip.compress(page, GZIP_LEVEL))
    print(
        f"{n_accounts:>8} {n_servers:>7} {path_us:>8.2f} {flush_us:>9.2f}"
        f" {n_bytes:>8} {page_ms:>8.1f} {longest_s * 1e3:>9.1f}"
        f" {len(page):>11} {n_gzip_bytes:>11}"
    )


def _record_all(
    metrics: Metrics,
    n_accounts: int,
    n_servers: int,
    values: list[float],
    rng: random.Random,
) -> tuple[float, float]:
    """Return the time to record a request, and its part of the flush, in us."""
    service = ServiceId("booking")
    samples = [
        (
            AccountId(f"account-{rng.randrange(n_accounts)}"),
            RouteId(f"route-{rng.randrange(n_accounts)}"),
            ServerId(f"server-{rng.randrange(n_servers)}"),
            value,
        )
        for value in values
    ]
    path_s = flush_s = 0.0
    for start in range(0, len(samples), REQUESTS_PER_FLUSH):
        started_at = time.perf_counter()
        for account, route, server, value in samples[
            start : start + REQUESTS_PER_FLUSH
        ]:
            metrics.record_queue_wait(0.0, account, route, value / 10)
            metrics.record_attempt(0.0, service, server, value, AttemptOutcome.ANSWERED)
            metrics.record_request(0.0, account, route, value, None)
        recorded_at = time.perf_counter()
        metrics.flush()
        path_s += recorded_at - started_at
        flush_s += time.perf_counter() - recorded_at
    return path_s / len(samples) * 1e6, flush_s / len(samples) * 1e6


if __name__ == "__main__":
    raise SystemExit(main())
