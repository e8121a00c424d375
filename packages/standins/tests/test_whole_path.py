import signal
import time

from wagtailpaddle_standins.client import wait_for


def served(system, index, secret):
    return system.caller(index, secret).request("GET", "/catalogue/1").status == 200


def test_key_is_served_by_every_daemon_and_reaches_no_server(system, issue):
    secret = issue()["secret"]
    for index in range(len(system.daemons)):
        assert wait_for(lambda index=index: served(system, index, secret))
        caller = system.caller(index, secret)
        reply = caller.request("GET", "/catalogue/1?page=2")
        assert reply.status == 200
        assert secret not in reply.body.decode()
        assert reply.json()["uri"] == "/catalogue/1?page=2"
        shown = f"/catalogue/1?key={secret}&page=2"
        assert caller.request("GET", shown).status == 400
    assert secret not in str(system.received_requests())


def test_withdrawn_key_is_refused_on_a_kept_connection(system, issue):
    key = issue()
    for index in range(len(system.daemons)):
        assert wait_for(lambda index=index: served(system, index, key["secret"]))
    callers = [
        system.caller(index, key["secret"]) for index in range(len(system.daemons))
    ]
    system.operator(1).request("DELETE", f"/v1/keys/{key['key']}")
    for caller in callers:
        assert wait_for(
            lambda caller=caller: caller.request("GET", "/catalogue/1").status == 401
        )


def test_refusals_are_problem_documents(system):
    reply = system.caller(0).request("GET", "/catalogue/1")
    assert reply.status == 401
    assert reply.headers["content-type"] == "application/problem+json"
    assert reply.headers["x-outcome"] == "not-run"
    assert reply.json()["type"].endswith("key-missing")


def test_body_over_the_limit_is_refused(system, issue):
    caller = system.caller(0, issue()["secret"])
    assert caller.request("POST", "/deliveries", b"x" * 2_000_000).status == 413


def test_hangup_does_not_end_a_daemon(system):
    """A terminal or a shell that goes away sends SIGHUP to what it started."""
    system.processes.signal("daemon-1", signal.SIGHUP)
    time.sleep(0.3)
    assert system.processes.running["daemon-1"].poll() is None
    assert system.operator(1).request("GET", "/v1/status").status == 200
