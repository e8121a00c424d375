"""Servers that ask in a 503 to be left alone for some seconds (Retry-After)."""

import pytest
from wagtailpaddle_core import ErrorKind
from wagtailpaddle_routing import (
    MAX_REST_S,
    REST_PARSERS,
    AttemptOutcome,
    AttemptResult,
    Dispatch,
    Refuse,
)
from wagtailpaddle_routing.serverset import REST_SPREAD_S

SERVICE = "booking"
WALL_S = 784_111_777.0
"""1994-11-06 08:49:37 UTC, in seconds since 1970."""


@pytest.fixture
def pair(make_dispatcher, view):
    return make_dispatcher((view("s0"), view("s1")))


def refuse(dispatcher, now, action, rest_s, outcome=AttemptOutcome.ANSWERED):
    result = AttemptResult(outcome, 0.01, 503, rest_s=rest_s)
    return dispatcher.finish(now, action.request, result)


def arrive(dispatcher, job, now, name, **changes):
    """Let a request arrive; return its first action, None if it waits."""
    actions = dispatcher.arrive(now, job(name, at=now, **changes))
    return actions[0] if actions else None


@pytest.mark.parametrize("outcome", [AttemptOutcome.ANSWERED, AttemptOutcome.SHED])
def test_server_that_asks_for_rest_gets_nothing_until_its_end(pair, job, outcome):
    first = arrive(pair, job, 0.0, "r0", idempotent=False)
    retried = refuse(pair, 0.1, first, 2.0, outcome)
    other = {"s0": "s1", "s1": "s0"}[first.server]
    assert first.server not in [getattr(item, "server", other) for item in retried]
    for n in range(1, 20):
        now = 0.1 * (n + 1)
        action = arrive(pair, job, now, f"r{n}")
        assert action.server == other
        pair.finish(now, action.request, AttemptResult(AttemptOutcome.ANSWERED, 0.0))
    later = [arrive(pair, job, 2.5, f"late{n}").server for n in range(4)]
    assert first.server in later


def test_all_at_rest_refuse_at_once_with_a_time_after_the_earliest_end(pair, job):
    for n, rest_s in enumerate((3.0, 5.0)):
        refuse(pair, 0.1, arrive(pair, job, 0.0, f"r{n}", idempotent=False), rest_s)
    refusals = [arrive(pair, job, 0.2, f"s{n}", timeout_s=1.0) for n in range(9)]
    assert all(isinstance(item, Refuse) for item in refusals)
    assert {item.kind for item in refusals} == {ErrorKind.OVERLOADED}
    times = [item.retry_after_s for item in refusals]
    assert min(times) >= 2.9
    assert len(set(times)) == len(times)


def test_request_with_time_left_waits_for_the_end_of_the_rest(pair, job):
    for n in range(2):
        refuse(pair, 0.1, arrive(pair, job, 0.0, f"r{n}", idempotent=False), 1.0)
    assert arrive(pair, job, 0.2, "waits", timeout_s=5.0) is None
    wake_at = pair.next_wake(0.2)
    assert 1.1 <= wake_at <= 1.1 + REST_SPREAD_S
    (action,) = pair.tick(wake_at)
    assert isinstance(action, Dispatch)


@pytest.mark.parametrize("parser", ["seconds", "seconds-or-date"])
@pytest.mark.parametrize(
    ("value", "rest_s"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("31536000", MAX_REST_S),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("", None),
        ("9" * 1024, None),
    ],
)
def test_rest_is_read_capped_or_ignored(parser, value, rest_s):
    headers = {"retry-after": value}
    assert REST_PARSERS[parser](503, headers, WALL_S) == rest_s
    assert REST_PARSERS[parser](429, headers, WALL_S) is None


@pytest.mark.parametrize(
    ("value", "rest_s"),
    [
        ("Sun, 06 Nov 1994 08:49:40 GMT", 3.0),
        ("Sun, 06 Nov 1994 08:49:30 GMT", None),
        ("Sun, 06 Nov 2094 08:49:40 GMT", MAX_REST_S),
        ("Sun, 99 Nov 1994 08:49:40 GMT", None),
    ],
)
def test_date_is_read_in_the_own_dialect_only(value, rest_s):
    headers = {"retry-after": value}
    assert REST_PARSERS["seconds-or-date"](503, headers, WALL_S) == rest_s
    assert REST_PARSERS["seconds"](503, headers, WALL_S) is None
