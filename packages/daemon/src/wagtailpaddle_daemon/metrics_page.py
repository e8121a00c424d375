"""The Prometheus metrics page of a daemon."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector
from wagtailpaddle_node import ConfigState
from wagtailpaddle_resources import ConnectionLedger, Reason
from wagtailpaddle_routing import IdleServers

from wagtailpaddle_daemon.histogram import Histogram
from wagtailpaddle_daemon.metrics import Metrics, Series

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
LATENCY_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
ATTEMPT_BOUNDS = (1.0, 2.0, 3.0, 4.0)
SERIES_PER_CHUNK = 8


class _FixedCollector(Collector):
    """Collects a fixed set of metric families."""

    def __init__(self, families: tuple[Metric, ...]):
        self._families = families

    def collect(self) -> Iterator[Metric]:
        """Yield the families."""
        yield from self._families


def render_chunks(
    metrics: Metrics, *, config: ConfigState, n_in_flight: int
) -> Iterator[bytes]:
    """Yield the page in the Prometheus text format in chunks.

    Rendering a chunk takes a few milliseconds at most, so that requests can be
    processed between two chunks.
    """
    metrics.flush()
    refusals = CounterMetricFamily(
        "wagtailpaddle_refusals", "Requests refused, by kind.", labels=["kind"]
    )
    for kind, count in sorted(metrics.refusals.items()):
        refusals.add_metric([kind], count)
    yield _render(
        *_config_gauges(config),
        _idle_servers_family(metrics.idle_servers),
        _gauge("requests_in_flight", "Requests not yet answered.", n_in_flight),
        refusals,
        _unmatched_family(metrics.unmatched),
        *_client_families(metrics.clients),
    )
    yield from _request_families("account", [*metrics.accounts.items()])
    yield from _request_families("route", [*metrics.routes.items()])
    servers = [*metrics.servers.items()]
    latencies = [(name, series.latency) for name, series in servers]
    yield from _histogram_families(
        "server", "latency_seconds", LATENCY_BOUNDS_S, latencies
    )
    yield from _outcome_families(
        "server", [(name, item.outcomes) for name, item in servers]
    )


def _config_gauges(config: ConfigState) -> Iterator[Metric]:
    yield _gauge("revision", "Number of configuration records folded.", config.revision)
    if config.version is not None:
        yield _gauge("config_version", "Version in force.", config.version)
    if config.age_s is not None:
        yield _gauge(
            "config_age_seconds",
            "Time since the configuration was last proven current.",
            config.age_s,
        )


def _idle_servers_family(reports: tuple[IdleServers, ...]) -> Metric:
    family = GaugeMetricFamily(
        "wagtailpaddle_idle_servers",
        "Servers that this VM gave no request in 2 s while others were not served.",
        labels=["service", "reason"],
    )
    for report in reports:
        for reason, servers in report.by_reason:
            family.add_metric([report.service, reason], len(servers))
    return family


def _unmatched_family(counts: Counter[str]) -> Metric:
    family = CounterMetricFamily(
        "wagtailpaddle_unmatched_responses",
        "Responses of servers to another request than the one they came for.",
        labels=["match"],
    )
    for match, count in sorted(counts.items()):
        family.add_metric([match], count)
    return family


def _client_families(clients: ConnectionLedger | None) -> Iterator[Metric]:
    if clients is None:
        return
    yield _gauge("client_connections", "Open connections of clients.", len(clients))
    yield _gauge("client_held_bytes", "Memory that clients hold.", clients.n_bytes)
    yield _gauge(
        "client_budget_bytes",
        "Memory that clients may hold.",
        clients.budget.memory_bytes,
    )
    closed = CounterMetricFamily(
        "wagtailpaddle_client_closed",
        "Connections closed or requests refused, by what ran short.",
        labels=["reason"],
    )
    for reason in Reason:
        closed.add_metric([reason.value], clients.closed[reason])
    yield closed


def _request_families(label: str, items: list[tuple[str, Series]]) -> Iterator[bytes]:
    for name, bounds in (
        ("latency_seconds", LATENCY_BOUNDS_S),
        ("queue_wait_seconds", LATENCY_BOUNDS_S),
        ("attempts", ATTEMPT_BOUNDS),
    ):
        attribute = name.removesuffix("_seconds")
        values = [(key, getattr(series, attribute)) for key, series in items]
        yield from _histogram_families(label, name, bounds, values)
    yield from _outcome_families(
        label, [(key, series.outcomes) for key, series in items]
    )


def _histogram_families(
    label: str,
    name: str,
    bounds: tuple[float, ...],
    values: list[tuple[str, Histogram]],
) -> Iterator[bytes]:
    for start in range(0, len(values), SERIES_PER_CHUNK):
        family = HistogramMetricFamily(
            f"wagtailpaddle_{label}_{name}", f"By {label}.", labels=[label]
        )
        for key, histogram in values[start : start + SERIES_PER_CHUNK]:
            counts = histogram.cumulative_counts(bounds)
            buckets = [
                (str(bound), float(n)) for bound, n in zip(bounds, counts, strict=True)
            ]
            buckets.append(("+Inf", float(histogram.n)))
            family.add_metric([key], buckets, sum_value=histogram.total)
        yield _render(family, header=start == 0)


def _outcome_families(
    label: str, values: list[tuple[str, Counter[str]]]
) -> Iterator[bytes]:
    for start in range(0, len(values), SERIES_PER_CHUNK):
        family = CounterMetricFamily(
            f"wagtailpaddle_{label}_outcomes",
            f"Ends of requests or attempts by {label}.",
            labels=[label, "outcome"],
        )
        for key, outcomes in values[start : start + SERIES_PER_CHUNK]:
            for outcome, count in sorted(outcomes.items()):
                family.add_metric([key, outcome], count)
        yield _render(family, header=start == 0)


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"wagtailpaddle_{name}", help_text, value=value)


def _render(*families: Metric, header: bool = True) -> bytes:
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_FixedCollector(families))
    text = generate_latest(registry)
    if header:
        return text
    lines = text.splitlines(keepends=True)
    return b"".join(line for line in lines if not line.startswith(b"#"))
