"""The Prometheus text page of a daemon."""

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from wagtailpaddle_daemon.histogram import Histogram
from wagtailpaddle_daemon.metrics import Metrics

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
ATTEMPTS = (1.0, 2.0, 3.0, 4.0)


class MetricsCollector(Collector):
    """Shows the histograms and counters of a ``Metrics``."""

    def __init__(self, metrics: Metrics, *, revision: int, n_in_flight: int):
        self._metrics = metrics
        self._revision = revision
        self._n_in_flight = n_in_flight

    def collect(self) -> Iterator[Metric]:
        """Yield the families of the page."""
        self._metrics.flush()
        yield GaugeMetricFamily(
            "wagtailpaddle_revision",
            "Number of configuration records folded.",
            value=self._revision,
        )
        yield GaugeMetricFamily(
            "wagtailpaddle_requests_in_flight",
            "Requests that are not yet answered.",
            value=self._n_in_flight,
        )
        refusals = CounterMetricFamily(
            "wagtailpaddle_refusals", "Requests refused, by kind.", labels=["kind"]
        )
        for kind, count in sorted(self._metrics.refusals.items()):
            refusals.add_metric([kind], count)
        yield refusals
        yield from self._of_requests("account", self._metrics.accounts.items())
        yield from self._of_requests("route", self._metrics.routes.items())
        servers = [*self._metrics.servers.items()]
        latencies = [(name, series.latency) for name, series in servers]
        yield _histograms("server", "latency_seconds", SECONDS, latencies)
        yield _outcomes("server", [(name, item.outcomes) for name, item in servers])

    def _of_requests(self, label: str, items: Iterable) -> Iterator[Metric]:
        listed = [*items]
        for name, bounds in (
            ("latency_seconds", SECONDS),
            ("queue_wait_seconds", SECONDS),
            ("attempts", ATTEMPTS),
        ):
            attribute = name.removesuffix("_seconds")
            values = [(key, getattr(series, attribute)) for key, series in listed]
            yield _histograms(label, name, bounds, values)
        yield _outcomes(label, [(key, series.outcomes) for key, series in listed])


def render_page(metrics: Metrics, *, revision: int, n_in_flight: int) -> bytes:
    """Return the page in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    collector = MetricsCollector(metrics, revision=revision, n_in_flight=n_in_flight)
    registry.register(collector)
    return generate_latest(registry)


def _histograms(
    label: str,
    name: str,
    bounds: tuple[float, ...],
    values: Iterable[tuple[str, Histogram]],
) -> Metric:
    family = HistogramMetricFamily(
        f"wagtailpaddle_{label}_{name}", f"By {label}.", labels=[label]
    )
    for key, histogram in values:
        if not histogram.n:
            continue
        counts = histogram.counts_up_to(bounds)
        buckets = [(str(bound), float(n)) for bound, n in zip(bounds, counts)]
        buckets.append(("+Inf", float(histogram.n)))
        family.add_metric([key], buckets, sum_value=histogram.total)
    return family


def _outcomes(label: str, values: Iterable) -> Metric:
    family = CounterMetricFamily(
        f"wagtailpaddle_{label}_outcomes",
        f"Ends of requests or attempts by {label}.",
        labels=[label, "outcome"],
    )
    for key, outcomes in values:
        for outcome, count in sorted(outcomes.items()):
            family.add_metric([key, outcome], count)
    return family
