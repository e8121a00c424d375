"""Failures induced on real processes, judged from outside.

Each test leaves the system whole for the next one.
"""

import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

import pytest
from wagtailpaddle_standins.client import Client, wait_for
from wagtailpaddle_standins.load import WRONG_ANSWER, CallerPlan
from wagtailpaddle_standins.runs import CATALOGUE, DELIVERIES, count_runs, start_load
from wagtailpaddle_standins.system import System

LONGER_THAN_FRESHNESS_S = 5.0
LONGER_THAN_ANY_TIMEOUT_S = 12.0
KEY_CHANGE_S = 5.0
NO_NEW_WORK_AFTER_S = 3.0
ANSWER_AFTER_S = 0.5
INVENTORY = "GET /inventory"
CLAIMS = "POST /claims"
NO_ANSWER = {"ResponseNeverReceived", "ConnectionLost", "ResponseFailed"}


@pytest.fixture(scope="module")
def system():
    with System(relayed=True) as running:
        running.deploy()
        yield running
        assert running.internal_errors() == []


@pytest.fixture(scope="module")
def secrets(system):
    return {name: system.issue(name)["secret"] for name in ("account-0", "account-1")}


@pytest.fixture
def load(system, secrets):
    def start(duration_s, *, rate=25.0, keyed=False, paths=(CATALOGUE, DELIVERIES)):
        callers = [
            CallerPlan(account, secret, rate, paths, keyed=keyed)
            for account, secret in secrets.items()
        ]
        return start_load(system, callers, duration_s=duration_s)

    return start


def problems(done):
    return Counter((item.method, item.kind) for item in done if item.status != 200)


def assert_ran_at_most_once(system):
    doubled = {uri: n for uri, n in count_runs(system).items() if n > 1}
    assert doubled == {}


def not_run(done):
    return [item for item in done if item.status >= 400 and not item.may_have_run]


def assert_refusals_are_true(system, done):
    runs = count_runs(system)
    assert [item for item in not_run(done) if runs[item.path]] == []


def assert_every_answer_is_right(done):
    assert [item for item in done if item.kind == WRONG_ANSWER] == []


def assert_promises_hold(system, done):
    assert_ran_at_most_once(system)
    assert_refusals_are_true(system, done)
    assert_every_answer_is_right(done)
    assert [item for item in system.received_requests() if "wp_" in str(item)] == []


def test_graceful_stop_cuts_no_request(system, secrets, load):
    run = load(4.0)
    slow = [system.caller(2, secrets["account-0"]) for _ in range(4)]
    for index, caller in enumerate(slow):
        caller.begin("POST", f"/deliveries/{index}/fault/slow/2.5", b"x")
    time.sleep(0.5)
    assert system.stop(2) == 0
    assert [caller.end().status for caller in slow] == [200] * 4
    done = run.finish()
    system.start(2)
    system.wait_until_ready()
    assert problems(done) == {}
    assert_ran_at_most_once(system)


def test_repeated_sigterm_cuts_no_request(system, secrets):
    path = "/deliveries/repeated-sigterm/fault/slow/2"
    caller = system.caller(2, secrets["account-0"])
    caller.begin("POST", path, b"x", timeout_s=30.0)
    assert wait_for(lambda: count_runs(system)[path] == 1)
    for _ in range(3):
        system.processes.signal("daemon-2", signal.SIGTERM)
        time.sleep(0.3)
    assert caller.end().status == 200
    system.processes.wait("daemon-2", timeout_s=20.0)
    system.start(2)
    system.wait_until_ready()


def test_stop_answers_requests_that_servers_do_not(system, secrets):
    """Guards against a caller left without an answer once its request is passed on."""
    system.stop(2)
    system.start(2, "--drain-s=0.5")
    system.wait_until_ready()
    paths = [f"/deliveries/hangs-at-stop-{number}/fault/slow/30" for number in (1, 2)]
    callers = [system.caller(2, secrets["account-0"]) for _ in paths]
    callers[0].begin("POST", paths[0], b"x", timeout_s=40.0)
    keyed = {"Idempotency-Key": "hangs-at-stop"}
    callers[1].begin("POST", paths[1], b"x", headers=keyed, timeout_s=40.0)
    assert wait_for(lambda: all(count_runs(system)[path] == 1 for path in paths))
    system.processes.signal("daemon-2", signal.SIGTERM)
    replies = [caller.end() for caller in callers]
    assert [reply.status for reply in replies] == [502, 502]
    assert {reply.headers["x-outcome"] for reply in replies} == {"unknown"}
    assert system.processes.wait("daemon-2", timeout_s=20.0) == 0
    system.start(2)
    system.wait_until_ready()


def test_interrupt_ends_a_stopping_daemon_at_once(system, secrets):
    path = "/deliveries/second-signal/fault/slow/20"
    caller = system.caller(2, secrets["account-0"])
    caller.begin("POST", path, b"x", timeout_s=30.0)
    assert wait_for(lambda: count_runs(system)[path] == 1)
    system.processes.signal("daemon-2", signal.SIGTERM)
    time.sleep(0.3)
    system.processes.signal("daemon-2", signal.SIGINT)
    system.processes.wait("daemon-2", timeout_s=10.0)
    with pytest.raises((OSError, HTTPException)):
        caller.end()
    system.start(2)
    system.wait_until_ready()


def test_killed_daemon_loses_no_promise(system, secrets, load):
    run = load(5.0)
    keyed = {"Idempotency-Key": "killed"}
    paths = [f"/deliveries/killed-{index}/fault/slow/1.5" for index in range(3)]
    midway = [system.caller(1, secrets["account-0"]) for _ in paths]
    time.sleep(1.0)
    for caller, path, headers in zip(midway, paths, (keyed, {}, {}), strict=True):
        caller.begin("POST", path, b"bed", headers)
    time.sleep(0.5)
    system.kill(1)
    for caller in midway:
        with pytest.raises((OSError, HTTPException)):
            caller.end()
    other = system.caller(0, secrets["account-0"])
    repeat = other.request("POST", paths[0], b"bed", keyed)
    assert repeat.status in (200, 409, 502, 503)
    time.sleep(0.5)
    system.start(1)
    done = run.finish()
    system.wait_until_ready()
    assert {kind for _, kind in problems(done)} <= NO_ANSWER
    assert sum(problems(done).values()) <= 5
    assert [count_runs(system)[path] for path in paths] == [1, 1, 1]
    assert_promises_hold(system, done)


def test_daemon_paused_longer_than_any_timeout_keeps_its_promises(
    system, secrets, load
):
    run = load(LONGER_THAN_ANY_TIMEOUT_S + 3.0, rate=10.0, keyed=True)
    held = system.caller(2, secrets["account-1"])
    path = "/deliveries/paused/fault/slow/2"
    held.begin("POST", path, b"bed", {"Idempotency-Key": "paused"}, timeout_s=60.0)
    time.sleep(0.5)
    system.processes.signal("daemon-2", signal.SIGSTOP)
    try:
        time.sleep(LONGER_THAN_ANY_TIMEOUT_S)
    finally:
        system.processes.signal("daemon-2", signal.SIGCONT)
    answer = held.end()
    assert answer.status == 200 or answer.headers["x-outcome"] == "unknown"
    done = run.finish()
    system.wait_until_ready()
    paused = system.daemons[2].caller
    failed = [item for item in done if item.status != 200]
    assert [item for item in failed if item.address != paused] == []
    assert count_runs(system)[path] == 1
    assert_promises_hold(system, done)


def test_paused_daemon_serves_no_withdrawn_key(system):
    key = system.issue("account-2")
    kept = system.caller(0, key["secret"])
    assert kept.request("GET", "/catalogue").status == 200
    system.processes.signal("daemon-0", signal.SIGSTOP)
    try:
        withdrawn = system.operator(1).request("DELETE", f"/v1/keys/{key['key']}")
        assert withdrawn.status == 200
        time.sleep(LONGER_THAN_FRESHNESS_S)
    finally:
        system.processes.signal("daemon-0", signal.SIGCONT)
    assert kept.request("GET", "/catalogue").status in (401, 503)
    assert wait_for(lambda: kept.request("GET", "/catalogue").status == 401)
    system.wait_until_ready()


def test_log_outage_leaves_traffic_running(system, load):
    run = load(LONGER_THAN_FRESHNESS_S + 4.0)
    time.sleep(1.0)
    system.set_log(away=True)
    try:
        time.sleep(LONGER_THAN_FRESHNESS_S + 1.0)
        refused = system.operator(0).send("PUT", "/v1/accounts/new", {"rate": 1.0})
        assert refused.status in (502, 503)
    finally:
        system.set_log()
    done = run.finish()
    system.wait_until_ready()
    assert problems(done) == {}
    assert_ran_at_most_once(system)


def test_lost_answers_of_the_log_double_nothing(system):
    system.set_log(lost=0.7, slow_s=0.1)
    try:
        account = {"rate": 5.0, "burst": 10.0}
        reply = system.operator(0).send("PUT", "/v1/accounts/lossy", account)
        issued = system.operator(0).send("POST", "/v1/accounts/lossy/keys", {})
    finally:
        system.set_log()
    assert (reply.status, issued.status // 100) == (200, 2)
    system.wait_for_revision(1, issued.json()["revision"] + 1)
    listed = system.operator(1).request("GET", "/v1/accounts/lossy/keys").json()
    assert len(listed["keys"]) == 1
    assert wait_for(
        lambda: (
            system.caller(2, issued.json()["secret"])
            .request("GET", "/catalogue")
            .status
            == 200
        )
    )


def test_slow_log_that_loses_answers_stops_neither_traffic_nor_changes(system, load):
    run = load(8.0, rate=15.0)
    system.set_log(slow_s=0.8, lost=0.5)
    try:
        account = {"rate": 5.0, "burst": 10.0}
        reply = system.operator(2).send("PUT", "/v1/accounts/slow", account)
        time.sleep(LONGER_THAN_FRESHNESS_S)
    finally:
        system.set_log()
    done = run.finish()
    assert reply.status == 200
    assert problems(done) == {}
    assert_promises_hold(system, done)


def test_one_way_cuts_break_no_promise(system, secrets, load):
    key = system.issue("account-2")
    kept = [system.caller(index, key["secret"]) for index in range(3)]
    run = load(10.0, rate=15.0, keyed=True)
    system.cut(0, 1)
    system.cut(0, 2)
    system.cut_log(1)
    try:
        time.sleep(2.0)
        deaf = system.caller(0, secrets["account-0"])
        claim = deaf.request("POST", "/deliveries/cut", b"", {"Idempotency-Key": "cut"})
        assert (claim.status, claim.headers["x-outcome"]) == (503, "not-run")
        gone = system.operator(2).request("DELETE", f"/v1/keys/{key['key']}")
        assert gone.status == 200
        assert wait_for(lambda: is_refused(kept), timeout_s=KEY_CHANGE_S)
        time.sleep(LONGER_THAN_FRESHNESS_S - 2.0)
    finally:
        system.heal()
    done = run.finish()
    system.wait_until_ready()
    failed = [item for item in done if item.status != 200]
    assert [item for item in failed if item.method == "GET"] == []
    assert [item for item in failed if item.status < 400] == []
    assert_promises_hold(system, done)


def test_conflicting_operators_are_told(system):
    created = {"rate": 5.0, "burst": 10.0}
    tag = system.operator(0).send("PUT", "/v1/accounts/shared", created).headers["etag"]

    def change(rate):
        body = b'{"rate": %d.0}' % rate
        operator = system.operator(rate % 3)
        return operator.request("PUT", "/v1/accounts/shared", body, {"If-Match": tag})

    rates = range(6, 12)
    with ThreadPoolExecutor(len(rates)) as operators:
        outcomes = dict(zip(rates, operators.map(change, rates), strict=True))
    won = [rate for rate, reply in outcomes.items() if reply.status == 200]
    lost = [reply for reply in outcomes.values() if reply.status == 409]
    assert (len(won), len(lost)) == (1, 5)
    assert all("demo" in reply.body.decode() for reply in lost)
    for index in range(3):
        system.wait_for_revision(index, outcomes[won[0]].json()["revision"] + 1)
        shown = system.operator(index).request("GET", "/v1/accounts/shared").json()
        assert shown["rate"] == won[0]


def is_refused(callers, status=401):
    replies = [caller.request("GET", "/catalogue/kept") for caller in callers]
    return [reply.status for reply in replies] == [status] * len(callers)


def test_keys_change_under_load_also_for_waiting_requests(system, load):
    run = load(9.0, rate=15.0)
    for _ in range(3):
        key = system.operator(0).send("POST", "/v1/accounts/account-3/keys", {}).json()
        kept = [system.caller(index, key["secret"]) for index in range(3)]
        assert wait_for(lambda kept=kept: is_refused(kept, 200), timeout_s=KEY_CHANGE_S)
        system.operator(1).request("DELETE", f"/v1/keys/{key['key']}")
        assert wait_for(lambda kept=kept: is_refused(kept), timeout_s=KEY_CHANGE_S)
    system.operator(2).send("POST", "/v1/accounts/account-3/cancel", {})
    system.operator(2).send("POST", "/v1/accounts/account-3/restore", {})
    done = run.finish()
    assert problems(done) == {}
    assert_promises_hold(system, done)


def test_withdrawn_key_runs_no_waiting_request(system):
    busy, key = system.issue("account-3"), system.issue("account-4")
    slow = [system.caller(0, busy["secret"]) for _ in range(120)]
    for index, caller in enumerate(slow):
        caller.begin("POST", f"/claims/busy-{index}/fault/slow/4", b"x")
    time.sleep(0.5)
    waiting = system.caller(0, key["secret"])
    waiting.begin("POST", "/claims/waiting", b"x")
    time.sleep(0.2)
    assert count_runs(system)["/claims/waiting"] == 0
    system.operator(1).request("DELETE", f"/v1/keys/{key['key']}")
    answer = waiting.end()
    for caller in slow:
        caller.end()
    assert (answer.status, answer.headers["x-outcome"]) == (401, "not-run")
    assert count_runs(system)["/claims/waiting"] == 0
    assert_ran_at_most_once(system)


def test_gray_servers_lose_their_work_and_no_caller_notices(system, load):
    before = Counter(item["server"] for item in system.received_requests())
    system.set_fault("booking-03", "error", fraction=0.5)
    system.set_fault("booking-07", "hang")
    try:
        done = load(8.0, rate=40.0, paths=(CATALOGUE,)).finish()
    finally:
        system.set_fault("booking-03", "")
        system.set_fault("booking-07", "")
    work = Counter(item["server"] for item in system.received_requests()) - before
    fair = len(done) / 12
    assert problems(done) == {}
    assert work["booking-03"] < fair / 2
    assert work["booking-07"] < fair / 2


def test_repeat_with_an_idempotency_key_runs_once(system, secrets):
    headers = {"Idempotency-Key": "booking-1"}
    first = system.caller(0, secrets["account-1"])
    first.begin("POST", "/deliveries/once/fault/slow/0.7", b"bed", headers)
    time.sleep(0.3)
    other = system.caller(1, secrets["account-1"])
    path = "/deliveries/once/fault/slow/0.7"
    during = other.request("POST", path, b"bed", headers)
    answer = first.end()
    after = other.request("POST", path, b"bed", headers)
    changed = other.request("POST", path, b"two beds", headers)
    assert (during.status, during.headers["x-outcome"]) == (409, "in-progress")
    assert (answer.status, after.status, changed.status) == (200, 200, 422)
    assert after.body == answer.body
    assert count_runs(system)[path] == 1


def test_account_over_its_rate_hurts_nobody_else(system, secrets):
    system.operator(0).send("PUT", "/v1/accounts/greedy", {"rate": 10.0, "burst": 10.0})
    greedy = system.issue("greedy")["secret"]
    callers = [
        CallerPlan("greedy", greedy, 100.0, (CATALOGUE,), timeout_s=1.0),
        CallerPlan("account-0", secrets["account-0"], 10.0, (CATALOGUE,)),
    ]
    done = start_load(system, callers, duration_s=5.0).finish()
    served = Counter(item.account for item in done if item.status == 200)
    first = min(item.at for item in done)
    last = max(item.at + item.latency_s for item in done)
    assert served["greedy"] <= 10.0 + 10.0 * (last - first) + 1
    assert served["account-0"] == sum(item.account == "account-0" for item in done)


def test_all_daemons_are_replaced_one_by_one_under_load(system, load):
    run = load(24.0, rate=15.0)
    for index in range(len(system.daemons)):
        assert system.stop(index) == 0
        system.start(index)
        system.wait_until_ready()
    done = run.finish()
    assert problems(done) == {}
    assert_ran_at_most_once(system)


def test_killed_daemon_within_a_log_outage(system, load):
    run = load(8.0, rate=15.0)
    system.set_log(away=True)
    try:
        time.sleep(1.0)
        system.kill(2)
        time.sleep(LONGER_THAN_FRESHNESS_S)
    finally:
        system.set_log()
    system.start(2)
    done = run.finish()
    system.wait_until_ready()
    assert sum(problems(done).values()) <= len(done) // 10
    assert_ran_at_most_once(system)
    assert_refusals_are_true(system, done)


def test_keys_of_callers_open_nothing_for_operators(system, secrets):
    operator = Client(system.daemons[0].admin, token=secrets["account-0"])
    assert operator.request("GET", "/v1/status").status == 401


def test_servers_fail_in_many_ways_while_a_daemon_dies(system, load):
    faults = {
        "inventory-00": ("hang", 1.0),
        "inventory-01": ("cut", 0.5),
        "inventory-02": ("slow", 3.0),
        "inventory-03": ("crossed", 0.0),
    }
    run = load(12.0, rate=20.0, paths=(INVENTORY, CLAIMS))
    for name, (fault, parameter) in faults.items():
        system.set_fault(name, fault, fraction=0.5, parameter=parameter)
    try:
        for step in range(8):
            system.set_fault("inventory-04", "" if step % 2 else "error")
            time.sleep(1.0)
            if step == 4:
                system.kill(0)
                system.start(0)
    finally:
        for name in (*faults, "inventory-04"):
            system.set_fault(name, "")
    done = run.finish()
    system.wait_until_ready()
    assert [item for item in not_run(done) if item.method == "GET"] == []
    assert_promises_hold(system, done)


def work_of(system, *servers):
    work = Counter(item["server"] for item in system.received_requests())
    return [work[server] for server in servers]


def wait_for_work(system, before):
    """Wait until the servers get requests that they had not got ``before``."""
    assert wait_for(lambda: works(system) != before)


def used_server(system, before):
    """Return the server that got most work since ``before``.

    Callers reach the daemons near their keys' homes, which use the servers near them,
    so not every server has work.
    """
    ((server, _),) = (works(system) - before).most_common(1)
    return server


def works(system):
    return Counter(item["server"] for item in system.received_requests())


def test_server_taken_from_the_configuration_gets_no_new_work(system, load):
    idle = works(system)
    run = load(12.0, rate=25.0)
    wait_for_work(system, idle)
    time.sleep(1.5)
    taken = used_server(system, idle)
    system.set_fault(taken, "slow", parameter=1.0)
    time.sleep(1.5)
    document = system.base_document()
    del document["services"]["booking"]["servers"][taken]
    system.publish(document)
    time.sleep(NO_NEW_WORK_AFTER_S)
    before = work_of(system, taken)
    done = run.finish()
    after = work_of(system, taken)
    system.set_fault(taken, "")
    system.publish(system.base_document())
    assert min(before) > 0
    assert after == before
    assert problems(done) == {}
    assert_promises_hold(system, done)


def test_server_that_answers_that_it_leaves_gets_no_new_work(system, load):
    idle = works(system)
    run = load(13.0, rate=25.0)
    wait_for_work(system, idle)
    time.sleep(1.5)
    leaving = used_server(system, idle)
    untold = work_of(system, leaving)
    system.set_fault(leaving, "leaving", parameter=ANSWER_AFTER_S)
    assert wait_for(lambda: work_of(system, leaving) > untold)
    time.sleep(ANSWER_AFTER_S + NO_NEW_WORK_AFTER_S)
    before = work_of(system, leaving)
    done = run.finish()
    assert work_of(system, leaving) == before
    assert min(before) > 0
    assert problems(done) == {}
    assert_promises_hold(system, done)
