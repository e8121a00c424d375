"""Time that the dispatcher spends on the path of a request."""

from collections.abc import Iterator
from time import perf_counter

from wagtailpaddle_core import AccountId, RequestId, ServerId, ServiceId, ZoneId
from wagtailpaddle_routing import (
    AttemptOutcome,
    AttemptResult,
    Dispatcher,
    Job,
    ServerView,
)

from wagtailpaddle_standins.measure.registry import MEASURES

SERVICE = ServiceId("service")
N_REQUESTS = 20_000
N_IN_FLIGHT = 5
N_ACCOUNTS = 8


@MEASURES.register("dispatch-cost")
def dispatch_cost(seed: int) -> Iterator[str]:
    """Yield the time to process an arrival and an attempt's end, with free servers."""
    yield f"{'servers':>7} {'event':7} {'p50 us':>7} {'p99 us':>7}"
    for n_servers in (12, 24):
        for event, times_s in zip(
            ("arrive", "finish"), _time(n_servers, seed), strict=True
        ):
            times_s.sort()
            p50_us = times_s[len(times_s) // 2] * 1e6
            p99_us = times_s[len(times_s) * 99 // 100] * 1e6
            yield f"{n_servers:7} {event:7} {p50_us:7.1f} {p99_us:7.1f}"


def _time(n_servers: int, seed: int) -> tuple[list[float], list[float]]:
    zones = [ZoneId(name) for name in "abc"]
    views = tuple(
        ServerView(ServerId(f"server-{i}"), zones[i % 3], 4, 300)
        for i in range(n_servers)
    )
    dispatcher = Dispatcher(zone=zones[0], seed=seed)
    dispatcher.set_servers(0.0, SERVICE, views, n_sharing_vms=36)
    result = AttemptResult(AttemptOutcome.ANSWERED, 0.02, 200, load=0.3)
    arrivals_s: list[float] = []
    ends_s: list[float] = []
    for index in range(N_REQUESTS):
        now = index / 1000
        account = AccountId(f"account-{index % N_ACCOUNTS}")
        job = Job(RequestId(str(index)), account, SERVICE, True, now, now + 10)
        started_at = perf_counter()
        dispatcher.arrive(now, job)
        arrivals_s.append(perf_counter() - started_at)
        if index < N_IN_FLIGHT:
            continue
        ended = RequestId(str(index - N_IN_FLIGHT))
        started_at = perf_counter()
        dispatcher.finish(now, ended, result)
        ends_s.append(perf_counter() - started_at)
    return arrivals_s, ends_s
