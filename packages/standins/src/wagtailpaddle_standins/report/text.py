"""Formats the report as text tables and writes histograms to files."""

from collections.abc import Iterator
from pathlib import Path

from hdrh.histogram import HdrHistogram

from wagtailpaddle_standins.report.measures import (
    Recording,
    detections,
    false_ejections,
    server_days,
    shares,
    worst_served,
    wrongful_refusals,
)

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000.0
QUANTILES = (50, 90, 99)


def format_report(run: Recording, seed: int) -> str:
    """Format the report of one deployment."""
    return "\n".join([*_head(run, seed), "", *_measures(run), "", *_accounts(run)])


def _head(run: Recording, seed: int) -> Iterator[str]:
    yield (
        f"{run.site}: {run.n_daemons} daemons, {run.n_servers} servers,"
        f" {len(run.done)} requests in {run.duration_s:.0f} s, seed {seed}"
    )
    yield ""
    yield f"{'fault':<18} {'server':<15} {'first s':>8} {'all s':>8}"
    for item in detections(run):
        kind, server = item.episode.kind.name, item.episode.server
        yield f"{kind:<18} {server:<15} {_seconds(item.first_s)} {_seconds(item.all_s)}"


def _seconds(value: float | None) -> str:
    return f"{'-':>8}" if value is None else f"{value:8.2f}"


def _measures(run: Recording) -> Iterator[str]:
    found = false_ejections(run)
    worst = worst_served(run)
    n_refused, n_within = wrongful_refusals(run)
    detected = [item for item in detections(run) if item.first_s is not None]
    yield f"detection: {len(detected)} of {len(run.episodes)} faults within their time"
    yield f"false ejections: {len(found)} in {server_days(run):.4f} server-days"
    for change in found:
        yield f"  {change.server} by daemon {change.daemon} at {change.at_s:.1f} s"
    yield f"worst served within its rate: {worst.account}, {worst.share:.4f}"
    yield f"wrongful refusals: {n_refused} of {n_within}"
    for line in run.broken:
        yield f"BROKEN: {line}"


def _accounts(run: Recording) -> Iterator[str]:
    head = "".join(f" {f'p{quantile} ms':>8}" for quantile in QUANTILES)
    yield f"{'client account':<18} {'asked':>6} {'served':>7}{head}  refused or failed"
    for item in shares(run):
        histogram = histogram_of(run, item.account)
        quantiles = "".join(
            f" {histogram.get_value_at_percentile(quantile) / US_PER_MS:8.1f}"
            for quantile in QUANTILES
        )
        failures = ", ".join(f"{kind} {n}" for kind, n in item.kinds) or "-"
        over = " (over its rate)" if item.account == run.greedy else ""
        yield (
            f"{item.account:<18} {item.n_sent:>6} {item.n_served:>7}{quantiles}"
            f"  {failures}{over}"
        )


def histogram_of(run: Recording, account: str) -> HdrHistogram:
    """Return the latencies of the served requests of a client account, in µs."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for item in run.done:
        if item.account == account and item.status == 200:
            histogram.record_value(max(1, int(item.latency_s * 1e6)))
    return histogram


def write_histograms(run: Recording, folder: Path) -> None:
    """Write each client account's percentiles, in ms, in HdrHistogram's format."""
    for item in shares(run):
        with open(folder / f"{run.site}-{item.account}.hgrm", "wb") as out:
            histogram = histogram_of(run, item.account)
            histogram.output_percentile_distribution(out, US_PER_MS)
