import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus, error_from_problem
from wagtailpaddle_cli.main import main
from wagtailpaddle_cli.parser import build_parser, read_access
from wagtailpaddle_config import hash_secret

ACCOUNT = {"id": "x", "rate": 5.0, "burst": 9.0, "active": True, "revision": 3}


def test_create_requires_that_the_object_does_not_exist(run, client):
    result = run("account", "create", "x", "--rate=5", "--burst=9")
    assert result.status == ExitStatus.OK
    assert result.text == (
        "client account x: in force (2 of 2 VMs confirmed), revision 7\n"
    )
    change = ("PUT", "/v1/accounts/x", {"rate": 5.0, "burst": 9.0})
    assert client.changes == [(*change, {"If-None-Match": "*"})]


def test_set_sends_the_given_fields_and_the_expected_revision(run, client):
    client.pages["/v1/accounts/x"] = ACCOUNT
    run("account", "set", "x", "--rate=6", "--expected=3")
    change = ("PUT", "/v1/accounts/x", {"rate": 6.0}, {"If-Match": '"3"'})
    assert client.changes == [change]
    with pytest.raises(CommandError) as raised:
        run("account", "set", "x")
    assert raised.value.status == ExitStatus.USAGE


@pytest.mark.parametrize("name", ["cancel", "restore"])
def test_cancel_and_restore_send_escaped_names(run, client, name):
    run("account", name, "a b/c")
    assert client.changes == [("POST", f"/v1/accounts/a%20b%2Fc/{name}", None, {})]


def test_lists_read_every_page(run, client):
    client.pages = {
        "/v1/accounts?limit=1000": {"accounts": [ACCOUNT], "next": "x"},
        "/v1/accounts?limit=1000&after=x": {
            "accounts": [{**ACCOUNT, "id": "y", "active": False}],
            "next": None,
        },
    }
    assert run("account", "list").text.splitlines() == [
        "id  rate  burst  active  revision",
        "x      5      9  yes            3",
        "y      5      9  no             3",
    ]
    assert len(run("account", "list", "--json").json()) == 2


def test_route_put_sends_given_fields(run, client):
    run("route", "put", "book", "--method=POST", "--no-idempotent", "--timeout-s=3")
    body = {"methods": ["POST"], "idempotent": False, "timeout_s": 3.0}
    assert client.changes == [("PUT", "/v1/routes/book", body, {})]


def test_key_issue_sends_the_hash_and_prints_the_secret(run, client):
    done = run("key", "issue", "x", "--json").json()
    body = client.changes[0][2]
    assert body == {"secret_hash": hash_secret(done["secret"])}


def test_wait_ends_when_the_change_is_in_force(run, client):
    client.states = ["recorded", "recorded", "in-force"]
    assert run("key", "withdraw", "k1", "--wait=5").status == ExitStatus.OK


def test_wait_that_times_out_has_its_own_exit_status(run, client):
    client.states = ["recorded"] * 3
    assert run("key", "withdraw", "k1", "--wait=0.5").status == ExitStatus.NOT_IN_FORCE
    client.states = ["recorded"]
    assert run("key", "withdraw", "k1").status == ExitStatus.OK


def test_issue_with_unknown_outcome_names_the_key_to_withdraw(run, client):
    client.failure = CommandError(ExitStatus.UNKNOWN, "record r1 may take effect")
    with pytest.raises(CommandError, match="withdraw key k") as raised:
        run("key", "issue", "x")
    assert raised.value.problem["key"].startswith("k")


def test_status_shows_servers_and_accounts(run, client):
    summary = {"n": 4, "mean": 0.02, "p50": 0.02, "p90": 0.03, "p99": 0.04, "max": 0.05}
    state = dict.fromkeys(["vm", "site", "zone"], "a")
    counts = ("revision", "in_flight", "n_accounts", "n_routes", "n_services", "n_keys")
    state |= dict.fromkeys(counts, 1) | {"fresh": True, "draining": False}
    vm = dict.fromkeys(("id", "zone", "caller_address", "state", "revision"))
    server = {"id": "b1", "zone": "a", "reason": "slow"}
    server |= {"state": "ejected", "weight": 0.0, "leaving": False}
    account = {"name": "dumont", "outcomes": {"answered": 4, "rate-exceeded": 2}}
    account |= dict.fromkeys(("latency", "queue_wait", "attempts"), summary)
    client.pages = {
        "/v1/status": state,
        "/v1/fleet": {"vms": [vm]},
        "/v1/services?limit=1000": {
            "services": [{"id": "booking", "servers": [server]}],
            "next": None,
        },
        "/v1/metrics/servers": {
            "servers": [{"name": "booking/b1", "latency": summary}]
        },
        "/v1/metrics/accounts": {"accounts": [account]},
    }
    text = run("status").text
    assert "a at a in zone a: fresh, revision 1, 1 requests in flight" in text
    rows = {line.split()[0]: line.split() for line in text.splitlines() if line}
    assert rows["dumont"] == ["dumont", "4", "2", "20", "30", "40", "50", "40"]
    assert " ".join(rows["booking"]) == "booking b1 a ejected 0 no 4 20 40 slow"


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        ("bad-request", ExitStatus.REFUSED),
        ("conflict", ExitStatus.CONFLICT),
        ("not-found", ExitStatus.NOT_FOUND),
        ("key-unknown", ExitStatus.NOT_ALLOWED),
        ("log-unavailable", ExitStatus.UNREACHABLE),
        ("outcome-unknown", ExitStatus.UNKNOWN),
    ],
)
def test_problem_has_an_exit_status(kind, status):
    problem = {"type": f"urn:wagtailpaddle:error:{kind}", "detail": "why"}
    assert error_from_problem(problem).status == status


def test_access_error_names_all_missing_and_invalid_settings():
    args = build_parser().parse_args(["account", "list", "--timeout=-1"])
    with pytest.raises(CommandError) as raised:
        read_access(args, {"WAGTAILPADDLE_ADMIN_ADDRESSES": "here"})
    for expected in ("'here'", "WAGTAILPADDLE_TOKEN", "--timeout"):
        assert expected in str(raised.value)
    assert raised.value.status == ExitStatus.USAGE


def test_flag_takes_precedence_over_variable():
    args = build_parser().parse_args(["status", "--admin-address=a:1,b:2"])
    environment = {"WAGTAILPADDLE_ADMIN_ADDRESS": "c:3", "WAGTAILPADDLE_TOKEN": "t"}
    assert read_access(args, environment).addresses == ("a:1", "b:2")


def test_hash_token_reads_standard_input(capsys, monkeypatch):
    monkeypatch.setattr("sys.stdin.readline", lambda: "token\n", raising=False)
    assert main(["hash-token"]) == 0
    assert capsys.readouterr().out.strip() == hash_secret("token")


@pytest.mark.parametrize("flag", ["--rate=nan", "--rate=inf", "--wait=nan"])
def test_numbers_that_are_not_finite_are_rejected(flag, capsys):
    with pytest.raises(SystemExit) as raised:
        main(["account", "create", "x", "--rate=1", "--burst=1", flag])
    assert raised.value.code == ExitStatus.USAGE
    assert "invalid finite value" in capsys.readouterr().err


def test_conflict_names_who_changed_the_object_once():
    detail = "account/x is at revision 4, not 1; 'anna' changed it"
    table = {"type": "a:conflict", "detail": detail, "changed_by": "anna", "current": 4}
    assert str(error_from_problem(table)).count("anna") == 1
    assert "'anna' made revision 4" in str(
        error_from_problem({**table, "detail": "stale"})
    )


VM_STATUS = {
    "vm": "10.0.0.1:81/1",
    "state": "serving",
    "ready": True,
    "configuration": 17,
    "age_s": {"config": 0.3, "servers": 0.2},
    "servers": {"booking": [{"id": "s1", "leaving": True}]},
    "alive": ["10.0.0.1:81/1"],
    "carriers": ["10.0.0.1:81/1"],
    "follows": [],
    "keepers": [],
}


@pytest.fixture
def vm_address():
    """Serve the status page of one VM and yield its address."""

    class StatusPage(BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            body = json.dumps(VM_STATUS).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_):
            """Log nothing."""

    server = HTTPServer(("127.0.0.1", 0), StatusPage)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def test_vm_show_prints_states_and_connection_errors(run, vm_address):
    result = run("vm", "show", vm_address, "127.0.0.1:1")
    assert result.status == 0
    assert "1 (1 leave)" in result.text
    assert "the store" in result.text
    assert "refused" in result.text


def test_vm_show_without_any_response_has_its_own_exit_status(run):
    assert run("vm", "show", "127.0.0.1:1").status == 3


def test_vm_show_names_an_invalid_address(run):
    with pytest.raises(CommandError, match="'nowhere' is not HOST:PORT"):
        run("vm", "show", "nowhere")
