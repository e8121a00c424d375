import pytest
from wagtailpaddle_cli.client import HttpClient, NoResponse, NotSent
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.main import run_local
from wagtailpaddle_cli.session import Response
from wagtailpaddle_standins.readyclock import ReadyClock

RECORDED = Response(200, {"record": "r1", "revision": 7})
OUTCOME_UNKNOWN = Response(502, {"type": "urn:wagtailpaddle:error:outcome-unknown"})
NOT_FOUND = Response(404, {"type": "urn:wagtailpaddle:error:not-found"})
LOG_UNAVAILABLE = Response(503, {"type": "urn:wagtailpaddle:error:log-unavailable"})
CONFLICT = Response(409, {"type": "urn:wagtailpaddle:error:conflict"})


class ScriptedClient(HttpClient):
    """Returns the scripted responses of each address and records the requests."""

    def __init__(self, script):
        super().__init__(ReadyClock(), [*script], "token", timeout_s=1.0)
        self.script = script
        self.sent = []

    async def _send(self, address, method, path, body=None, headers=None):
        self.sent.append((address, method, (headers or {}).get("Idempotency-Key")))
        responses = self.script[address]
        response = responses.pop(0) if len(responses) > 1 else responses[0]
        if isinstance(response, Exception):
            raise response
        return response


@pytest.fixture
def change():
    def run(script):
        client = ScriptedClient(script)
        coroutine = client.change(
            "PUT", "/v1/accounts/x", {}, record_id="r1", headers={}
        )
        try:
            return client, run_local(coroutine)
        except CommandError as exc:
            return client, exc.status

    return run


def n_puts(client):
    return sum(method == "PUT" for _, method, _ in client.sent)


def test_change_that_was_not_sent_goes_to_the_next_address(change):
    client, result = change({"a": [NotSent("refused")], "b": [RECORDED]})
    assert result is RECORDED
    assert n_puts(client) == 2


def test_change_goes_to_the_next_address_if_the_log_is_unavailable(change):
    client, result = change({"a": [LOG_UNAVAILABLE], "b": [RECORDED]})
    assert result is RECORDED
    assert n_puts(client) == 2
    assert (
        change({"a": [LOG_UNAVAILABLE], "b": [LOG_UNAVAILABLE]})[1]
        == ExitStatus.UNREACHABLE
    )


def test_change_with_a_lost_response_is_looked_up_and_not_resent(change):
    client, result = change({"a": [NoResponse("lost")], "b": [RECORDED]})
    assert result is RECORDED
    assert n_puts(client) == 1


def test_change_with_unknown_outcome_is_looked_up(change):
    client, result = change({"a": [OUTCOME_UNKNOWN, RECORDED]})
    assert result is RECORDED
    assert n_puts(client) == 1


def test_change_missing_from_the_log_is_resent_once_with_its_id(change):
    client, result = change({"a": [NoResponse("lost"), NOT_FOUND, RECORDED]})
    assert result is RECORDED
    assert [key for _, method, key in client.sent if method == "PUT"] == ["r1", "r1"]


def test_outcome_stays_unknown_if_no_daemon_can_look_it_up(change):
    client, result = change({"a": [NoResponse("lost"), LOG_UNAVAILABLE]})
    assert result == ExitStatus.UNKNOWN
    assert n_puts(client) == 1


def test_change_whose_resend_is_lost_is_not_resent_again(change):
    script = {"a": [NoResponse("lost"), NOT_FOUND, NoResponse("lost"), NOT_FOUND]}
    client, result = change(script)
    assert result == ExitStatus.UNKNOWN
    assert n_puts(client) == 2


def test_lookup_reports_that_the_change_was_refused(change):
    assert change({"a": [NoResponse("lost"), CONFLICT]})[1] == ExitStatus.CONFLICT


def test_change_sent_to_no_daemon_is_reported_as_unreachable(change):
    assert (
        change({"a": [NotSent("x")], "b": [NotSent("x")]})[1] == ExitStatus.UNREACHABLE
    )


def test_read_goes_to_the_next_address_after_a_lost_response():
    client = ScriptedClient({"a": [NoResponse("lost")], "b": [RECORDED]})
    assert run_local(client.get("/v1/status")) is RECORDED


@pytest.mark.parametrize("status", [0, 101, 304, 600])
def test_change_answered_without_an_outcome_is_looked_up(change, status):
    """Guards against an odd answer that is reported as success or as refusal."""
    client, result = change({"a": [Response(status, {}), RECORDED]})
    assert result is RECORDED
    assert n_puts(client) == 1
