"""Histograms and counters of one daemon, in bounded memory."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from wagtailpaddle_core import (
    AccountId,
    ErrorKind,
    Registry,
    RouteId,
    ServerId,
    ServiceId,
)
from wagtailpaddle_resources import ConnectionLedger
from wagtailpaddle_routing import AttemptOutcome, IdleServers

from wagtailpaddle_daemon.histogram import Histogram, Summary

MAX_ACCOUNTS = 64
MAX_ROUTES = 64
MAX_SERVERS = 128
MAX_PENDING_SAMPLES = 512
OTHER = "(other)"
NO_NAME = "(none)"
ANSWERED = "answered"


class Series:
    """Histograms and counters of one client account or route."""

    __slots__ = ("attempts", "latency", "outcomes", "queue_wait")

    def __init__(self) -> None:
        self.latency = Histogram.of_seconds()
        self.queue_wait = Histogram.of_seconds()
        self.attempts = Histogram.of_counts()
        self.outcomes: Counter[str] = Counter()

    def add(self, other: "Series") -> None:
        """Add what another series holds."""
        self.latency.add(other.latency)
        self.queue_wait.add(other.queue_wait)
        self.attempts.add(other.attempts)
        self.outcomes.update(other.outcomes)


class ServerSeries:
    """Histogram and counters of one backend server."""

    __slots__ = ("latency", "outcomes")

    def __init__(self) -> None:
        self.latency = Histogram.of_seconds()
        self.outcomes: Counter[str] = Counter()

    def add(self, other: "ServerSeries") -> None:
        """Add what another series holds."""
        self.latency.add(other.latency)
        self.outcomes.update(other.outcomes)


S = TypeVar("S", Series, ServerSeries)


class SeriesTable(Generic[S]):
    """Series by name; the least recently used one is evicted into ``(other)``."""

    def __init__(self, make: Callable[[], S], *, max_series: int):
        self._make: Callable[[], S] = make
        self._max_series = max_series
        self._series: OrderedDict[str, S] = OrderedDict()
        self._other: S | None = None

    def __len__(self) -> int:
        return len(self._series)

    def get(self, name: str) -> S:
        """Return the series called ``name``; create it if it does not exist."""
        series = self._series.get(name)
        if series is not None:
            self._series.move_to_end(name)
            return series
        if len(self._series) >= self._max_series:
            _, oldest = self._series.popitem(last=False)
            self._add_to_other(oldest)
        series = self._series[name] = self._make()
        return series

    def items(self) -> Iterator[tuple[str, S]]:
        """Yield names and series sorted by name, with ``(other)`` last."""
        yield from sorted(self._series.items())
        if self._other is not None:
            yield OTHER, self._other

    def _add_to_other(self, series: S) -> None:
        if self._other is None:
            self._other = self._make()
        self._other.add(series)


@dataclass(frozen=True, slots=True)
class SeriesView:
    """Snapshot of a series; latencies and waits are in seconds."""

    name: str
    latency: Summary
    queue_wait: Summary
    attempts: Summary
    outcomes: dict[str, int]


@dataclass(frozen=True, slots=True)
class ServerView:
    """Snapshot of the series of a server; latencies are in seconds."""

    name: str
    latency: Summary
    outcomes: dict[str, int]


class _RequestSample(NamedTuple):
    account: str
    route: str
    latency_s: float
    outcome: ErrorKind | None
    n_attempts: int


class _WaitSample(NamedTuple):
    account: str
    route: str
    wait_s: float


class _AttemptSample(NamedTuple):
    service: ServiceId
    server: ServerId
    latency_s: float
    outcome: AttemptOutcome


class Metrics:
    """Records the gateway's measurements.

    Samples are buffered in a short list, because counting them takes longer
    than a request should wait. ``flush`` counts them. It is called by the
    periodic tick, and automatically when the list is full. ``clients`` is the account
    of what clients hold, None if the daemon keeps none. ``unmatched`` counts the
    responses that do not belong to the request they came for, by what they are.
    """

    def __init__(
        self,
        *,
        max_accounts: int = MAX_ACCOUNTS,
        max_routes: int = MAX_ROUTES,
        max_servers: int = MAX_SERVERS,
    ):
        self.accounts = SeriesTable(Series, max_series=max_accounts)
        self.routes = SeriesTable(Series, max_series=max_routes)
        self.servers = SeriesTable(ServerSeries, max_series=max_servers)
        self.refusals: Counter[str] = Counter()
        self.unmatched: Counter[str] = Counter()
        self.clients: ConnectionLedger | None = None
        self.idle_servers: tuple[IdleServers, ...] = ()
        self._pending: list[_RequestSample | _WaitSample | _AttemptSample] = []

    def record_request(
        self,
        now: float,
        account: AccountId | None,
        route: RouteId | None,
        latency_s: float,
        outcome: ErrorKind | None,
        *,
        n_attempts: int = 1,
    ) -> None:
        """Record a request that was answered (``outcome`` None) or refused.

        ``account`` and ``route`` are None if they were not found.
        """
        self._add_sample(
            _RequestSample(
                account or NO_NAME, route or NO_NAME, latency_s, outcome, n_attempts
            )
        )

    def record_queue_wait(
        self, now: float, account: AccountId, route: RouteId, wait_s: float
    ) -> None:
        """Record that a request left the queue after ``wait_s`` seconds."""
        self._add_sample(_WaitSample(account, route, wait_s))

    def record_attempt(
        self,
        now: float,
        service: ServiceId,
        server: ServerId,
        latency_s: float,
        outcome: AttemptOutcome,
    ) -> None:
        """Record the end of an attempt at a backend server."""
        self._add_sample(_AttemptSample(service, server, latency_s, outcome))

    def flush(self) -> None:
        """Count all pending samples."""
        pending, self._pending = self._pending, []
        for sample in pending:
            match sample:
                case _RequestSample():
                    self._count_request(sample)
                case _WaitSample():
                    self.accounts.get(sample.account).queue_wait.record(sample.wait_s)
                    self.routes.get(sample.route).queue_wait.record(sample.wait_s)
                case _AttemptSample():
                    self._count_attempt(sample)

    def views(self, kind: str) -> Iterator["SeriesView | ServerView"]:
        """Yield snapshots of the ``accounts``, ``routes`` or ``servers`` series.

        Raises ``KeyError`` for any other kind.
        """
        return VIEWS[kind](self)

    def _add_sample(
        self, sample: _RequestSample | _WaitSample | _AttemptSample
    ) -> None:
        self._pending.append(sample)
        if len(self._pending) >= MAX_PENDING_SAMPLES:
            self.flush()

    def _count_request(self, sample: _RequestSample) -> None:
        name = ANSWERED if sample.outcome is None else sample.outcome.value
        if sample.outcome is not None:
            self.refusals[name] += 1
        for series in (
            self.accounts.get(sample.account),
            self.routes.get(sample.route),
        ):
            series.outcomes[name] += 1
            if sample.outcome is None:
                series.latency.record(sample.latency_s)
                series.attempts.record(sample.n_attempts)

    def _count_attempt(self, sample: _AttemptSample) -> None:
        series = self.servers.get(f"{sample.service}/{sample.server}")
        series.latency.record(sample.latency_s)
        series.outcomes[sample.outcome.value] += 1


View = Callable[[Metrics], Iterator[SeriesView | ServerView]]
VIEWS: Registry[View] = Registry("kind of series")


@VIEWS.register("accounts")
def _view_accounts(metrics: Metrics) -> Iterator[SeriesView]:
    return _view(metrics, metrics.accounts)


@VIEWS.register("routes")
def _view_routes(metrics: Metrics) -> Iterator[SeriesView]:
    return _view(metrics, metrics.routes)


@VIEWS.register("servers")
def _view_servers(metrics: Metrics) -> Iterator[ServerView]:
    metrics.flush()
    for name, series in metrics.servers.items():
        yield ServerView(name, series.latency.summary(), dict(series.outcomes))


def _view(metrics: Metrics, table: SeriesTable[Series]) -> Iterator[SeriesView]:
    metrics.flush()
    for name, series in table.items():
        yield SeriesView(
            name,
            series.latency.summary(),
            series.queue_wait.summary(),
            series.attempts.summary(),
            dict(series.outcomes),
        )
