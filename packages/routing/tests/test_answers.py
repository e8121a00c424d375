import pytest
from wagtailpaddle_routing import (
    LIMIT_PARSERS,
    AttemptOutcome,
    interpret,
    is_leaving,
    parse_load,
)


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (503, {"x-outcome": "not-run"}),
        (429, {"retry-after": "1"}),
        (425, {}),
        (421, {}),
    ],
)
def test_answers_that_mean_not_run(status, headers):
    assert interpret(status, headers) is AttemptOutcome.SHED


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (500, {}),
        (503, {}),
        (503, {"retry-after": "1"}),
        (503, {"x-outcome": "unknown"}),
        (503, {"x-outcome": "not-run" + " " * 5000}),
        (429, {}),
        (422, {"x-outcome": "not-run"}),
        (200, {"x-outcome": "not-run"}),
        (0, {}),
    ],
)
def test_answers_that_may_mean_run(status, headers):
    assert interpret(status, headers) is AttemptOutcome.ANSWERED


@pytest.mark.parametrize(
    "value", ["", "x", "nan", "inf", "-0.1", "1.1", "1e999", "0." + "1" * 5000]
)
def test_load_that_cannot_be_parsed_is_ignored(value):
    assert parse_load({"x-load": value}) is None


def test_leaving_header():
    assert is_leaving({"x-server-state": " Draining "})
    assert not is_leaving({"x-server-state": "ready"})
    assert not is_leaving({})


@pytest.mark.parametrize(
    "value", ["", "x", "nan", "inf", "-0.1", "1e7", "1e999", "1" * 5000]
)
def test_limit_that_cannot_be_parsed_is_ignored(value):
    assert LIMIT_PARSERS["own"]({"x-request-limit": value}) is None
