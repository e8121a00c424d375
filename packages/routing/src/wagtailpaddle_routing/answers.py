"""Interpretation of backend servers' answers: shed, load, leaving.

Headers come from servers that may be broken or send wrong values. A value that
cannot be parsed counts as absent and never raises.
"""

import sys
from collections.abc import Callable, Mapping, Sequence
from email.utils import parsedate_to_datetime

from wagtailpaddle_core import Registry

from wagtailpaddle_routing.messages import AttemptOutcome

MAX_VALUE_CHARS = 64

MAX_STATED_LIMIT_PER_S = 1e6
"""A larger limit is no limit, or is wrong."""

MAX_REST_S = 60.0
"""Longest time for which a server is left alone because it asked for it."""

SERVICE_UNAVAILABLE = 503
RETRY_AFTER_HEADER = "retry-after"
LOAD_HEADER = "x-load"
LIMIT_HEADER = "x-request-limit"
OUTCOME_HEADER = "x-outcome"
LEAVING_HEADER = "x-server-state"
LEAVING_STATES = frozenset({"draining", "leaving"})

ShedAnswer = Callable[[int, Mapping[str, str]], bool]
SHED_ANSWERS: Registry[ShedAnswer] = Registry("shed answer")


@SHED_ANSWERS.register("declared-not-run")
def declared_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """A server error in which the server states that the request did not run.

    Client errors do not count: they are returned to the caller.
    """
    return status >= 500 and _header_value(headers, OUTCOME_HEADER) == "not-run"


@SHED_ANSWERS.register("too-many-requests")
def too_many_requests(status: int, headers: Mapping[str, str]) -> bool:
    """429 (RFC 6585): the request was not accepted; requires Retry-After."""
    return status == 429 and "retry-after" in headers


@SHED_ANSWERS.register("too-early")
def too_early(status: int, headers: Mapping[str, str]) -> bool:
    """425 (RFC 8470): the server is unwilling to process the request yet."""
    return status == 425


@SHED_ANSWERS.register("misdirected")
def misdirected(status: int, headers: Mapping[str, str]) -> bool:
    """421 (RFC 9110): the request was sent to a server that cannot answer it."""
    return status == 421


OWN_SHED_ANSWERS = (
    "declared-not-run",
    "too-many-requests",
    "too-early",
    "misdirected",
)
"""The shed answers of servers that use this project's own headers."""


def interpret(
    status: int,
    headers: Mapping[str, str],
    shed_answers: Sequence[str] = OWN_SHED_ANSWERS,
) -> AttemptOutcome:
    """Return the outcome of a complete answer; ``headers`` have lower-case names.

    ``shed_answers`` names the entries of ``SHED_ANSWERS`` that count.

    >>> interpret(503, {"x-outcome": "not-run"})
    <AttemptOutcome.SHED: 'shed'>
    >>> interpret(503, {"retry-after": "1"})
    <AttemptOutcome.ANSWERED: 'answered'>
    """
    if status < 400:
        return AttemptOutcome.ANSWERED
    for name in shed_answers:
        if SHED_ANSWERS[name](status, headers):
            return AttemptOutcome.SHED
    return AttemptOutcome.ANSWERED


LoadParser = Callable[[Mapping[str, str]], float | None]
LOAD_PARSERS: Registry[LoadParser] = Registry("load parser")


@LOAD_PARSERS.register("fraction")
def parse_load(headers: Mapping[str, str]) -> float | None:
    """Return the load in [0, 1] that an answer reports, or None.

    >>> parse_load({"x-load": "0.25"})
    0.25
    >>> parse_load({"x-load": "nan"}) is None
    True
    """
    return _number_up_to(headers, LOAD_HEADER, 1.0)


LimitParser = Callable[[Mapping[str, str]], float | None]
LIMIT_PARSERS: Registry[LimitParser] = Registry("limit parser")


@LIMIT_PARSERS.register("own")
def parse_own_limit(headers: Mapping[str, str]) -> float | None:
    """Return the requests per second that a server takes in total, or None.

    >>> parse_own_limit({"x-request-limit": "7.5"})
    7.5
    """
    return parse_limit(headers, LIMIT_HEADER)


def parse_limit(headers: Mapping[str, str], name: str) -> float | None:
    """Return the limit in the header ``name``, None if it is missing or unreadable.

    >>> parse_limit({"x-request-limit": "-1"}, "x-request-limit") is None
    True
    """
    return _number_up_to(headers, name, MAX_STATED_LIMIT_PER_S)


RestParser = Callable[[int, Mapping[str, str], float], float | None]
REST_PARSERS: Registry[RestParser] = Registry("rest parser")


@REST_PARSERS.register("seconds")
def parse_rest_seconds(
    status: int, headers: Mapping[str, str], wall_s: float
) -> float | None:
    """Return for how many seconds a 503 asks to send nothing, None if it does not.

    >>> parse_rest_seconds(503, {"retry-after": "1.5"}, 0.0)
    1.5
    """
    if status != SERVICE_UNAVAILABLE:
        return None
    seconds = _number_up_to(headers, RETRY_AFTER_HEADER, sys.float_info.max)
    return None if seconds is None else min(MAX_REST_S, seconds)


@REST_PARSERS.register("seconds-or-date")
def parse_rest(status: int, headers: Mapping[str, str], wall_s: float) -> float | None:
    """Return for how many seconds a 503 asks to send nothing, None if it does not.

    The header holds seconds or a date (RFC 9110). ``wall_s`` is the time of day, in
    seconds since 1970.
    """
    seconds = parse_rest_seconds(status, headers, wall_s)
    if seconds is not None or status != SERVICE_UNAVAILABLE:
        return seconds
    try:
        date = parsedate_to_datetime(_header_value(headers, RETRY_AFTER_HEADER))
    except ValueError:
        return None
    seconds = date.timestamp() - wall_s
    return min(MAX_REST_S, seconds) if seconds > 0.0 else None


LeavingParser = Callable[[Mapping[str, str]], bool]
LEAVING_PARSERS: Registry[LeavingParser] = Registry("leaving parser")


@LEAVING_PARSERS.register("own")
def is_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether the answer states that the server is draining or leaving.

    >>> is_leaving({"x-server-state": "draining"})
    True
    """
    return _header_value(headers, LEAVING_HEADER) in LEAVING_STATES


def _header_value(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name, "")
    if len(value) > MAX_VALUE_CHARS:
        return ""
    return value.strip().lower()


def _number_up_to(
    headers: Mapping[str, str], name: str, highest: float
) -> float | None:
    """Return the number in [0, ``highest``] in the header ``name``, or None."""
    try:
        number = float(_header_value(headers, name))
    except ValueError:
        return None
    return number if 0.0 <= number <= highest else None
