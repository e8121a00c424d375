import pytest
from wagtailpaddle_cli.client import HttpClient, NoResponse, NotSent
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.main import run_local
from wagtailpaddle_cli.session import Response
from wagtailpaddle_standins.readyclock import ReadyClock

DONE = Response(200, {"record": "r1", "revision": 7})
UNKNOWN = Response(502, {"type": "urn:wagtailpaddle:error:outcome-unknown"})
ABSENT = Response(404, {"type": "urn:wagtailpaddle:error:not-found"})
NO_LOG = Response(503, {"type": "urn:wagtailpaddle:error:log-unavailable"})
CONFLICT = Response(409, {"type": "urn:wagtailpaddle:error:conflict"})


class ScriptedClient(HttpClient):
    """Returns the scripted responses of each address and records the requests."""

    def __init__(self, script):
        super().__init__(ReadyClock(), [*script], "token", timeout_s=1.0)
        self.script = script
        self.sent = []

    async def _send(self, address, method, path, body=None, headers=None):
        self.sent.append((address, method, (headers or {}).get("Idempotency-Key")))
        steps = self.script[address]
        step = steps.pop(0) if len(steps) > 1 else steps[0]
        if isinstance(step, Exception):
            raise step
        return step


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


def test_change_goes_on_to_the_next_address_only_if_it_was_not_sent(change):
    client, result = change({"a": [NotSent("refused")], "b": [DONE]})
    assert result is DONE
    assert n_puts(client) == 2


def test_change_goes_on_if_the_daemon_can_not_reach_its_log(change):
    client, result = change({"a": [NO_LOG], "b": [DONE]})
    assert result is DONE
    assert n_puts(client) == 2
    assert change({"a": [NO_LOG], "b": [NO_LOG]})[1] == ExitStatus.UNREACHABLE


def test_lost_answer_is_looked_up_and_not_sent_again(change):
    client, result = change({"a": [NoResponse("lost")], "b": [DONE]})
    assert result is DONE
    assert n_puts(client) == 1


def test_unknown_outcome_is_looked_up(change):
    client, result = change({"a": [UNKNOWN, DONE]})
    assert result is DONE
    assert n_puts(client) == 1


def test_record_that_the_log_lacks_is_sent_once_more_with_its_id(change):
    client, result = change({"a": [NoResponse("lost"), ABSENT, DONE]})
    assert result is DONE
    assert [key for _, method, key in client.sent if method == "PUT"] == ["r1", "r1"]


def test_record_that_nobody_can_look_up_stays_unknown(change):
    client, result = change({"a": [NoResponse("lost"), NO_LOG]})
    assert result == ExitStatus.UNKNOWN
    assert n_puts(client) == 1


def test_second_loss_is_not_sent_a_third_time(change):
    script = {"a": [NoResponse("lost"), ABSENT, NoResponse("lost"), ABSENT]}
    client, result = change(script)
    assert result == ExitStatus.UNKNOWN
    assert n_puts(client) == 2


def test_lookup_tells_that_the_change_was_refused(change):
    assert change({"a": [NoResponse("lost"), CONFLICT]})[1] == ExitStatus.CONFLICT


def test_nobody_there_means_nothing_changed(change):
    assert (
        change({"a": [NotSent("x")], "b": [NotSent("x")]})[1] == ExitStatus.UNREACHABLE
    )


def test_reads_go_on_after_any_loss():
    client = ScriptedClient({"a": [NoResponse("lost")], "b": [DONE]})
    assert run_local(client.get("/v1/status")) is DONE
