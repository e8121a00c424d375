import json
import os
import subprocess
import sys

import pytest
from wagtailpaddle_cli.exits import Exit
from wagtailpaddle_standins.client import wait_for
from wagtailpaddle_standins.processes import OPERATOR_TOKEN, ReservedPorts
from wagtailpaddle_standins.system import System

KEY_CHANGE_S = 5.0


@pytest.fixture(scope="module")
def system():
    with System(n_daemons=2) as running:
        yield running


@pytest.fixture
def cli(system):
    """Run the command line in a process of its own."""
    addresses = ",".join(daemon.admin for daemon in system.daemons)

    def run(*argv, admin=addresses, token=OPERATOR_TOKEN):
        environment = {
            **os.environ,
            "WAGTAILPADDLE_ADMIN_ADDRESSES": admin,
            "WAGTAILPADDLE_TOKEN": token,
        }
        return subprocess.run(
            [sys.executable, "-m", "wagtailpaddle_cli.main", *argv],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    return run


@pytest.fixture
def published(system, cli, tmp_path):
    base = tmp_path / "base.toml"
    lines = ['[routes.catalogue]\npath = "/catalogue"\nservice = "booking"\n']
    lines.append("idempotent = true\n[services.booking.servers]\n")
    for name, port in system.servers.items():
        if name.startswith("booking"):
            where = f'address = "127.0.0.1", port = {port}, zone = "a"'
            lines.append(f"{name} = {{ {where} }}\n")
    base.write_text("".join(lines))
    assert cli("base", "publish", str(base)).returncode == Exit.OK
    return base


@pytest.fixture
def nobody():
    """Return an address on which nobody listens as long as the test runs."""
    ports = ReservedPorts(1)
    yield f"127.0.0.1:{ports.acquire()}"
    ports.close()


def statuses(callers):
    return [caller.request("GET", "/catalogue/1").status for caller in callers]


def test_key_issued_by_the_command_line_serves_and_withdrawn_does_not(
    system, cli, published
):
    assert cli("account", "create", "x", "--rate=50", "--burst=50").returncode == 0
    issued = json.loads(cli("key", "issue", "x", "--json").stdout)
    kept = [system.caller(index, issued["secret"]) for index in range(2)]
    assert wait_for(lambda: statuses(kept) == [200, 200], timeout_s=KEY_CHANGE_S)
    assert issued["key"] in cli("account", "show", "x").stdout
    status = cli("status")
    assert status.returncode == Exit.OK, status.stderr
    assert "booking-00" in status.stdout
    found = json.loads(cli("status", "accounts", "--json").stdout)
    series = {item["name"]: item for item in found["accounts"]["accounts"]}
    assert series["x"]["latency"]["n"] == series["x"]["outcomes"]["answered"] > 0
    withdrawn = cli("key", "withdraw", issued["key"], "--json")
    assert withdrawn.returncode == Exit.OK, withdrawn.stderr
    assert wait_for(lambda: statuses(kept) == [401, 401], timeout_s=KEY_CHANGE_S)
    record = json.loads(withdrawn.stdout)["record"]
    shown = cli("key", "withdraw", issued["key"], "--wait=20", "--json")
    assert json.loads(shown.stdout)["state"] == "in-force"
    assert "in force" in cli("record", "show", record).stdout


def test_exit_statuses_of_refusals(cli, published):
    assert cli("account", "create", "y", "--rate=50", "--burst=50").returncode == 0
    again = cli("account", "create", "y", "--rate=50", "--burst=50")
    assert again.returncode == Exit.CONFLICT
    assert "exists already" in again.stderr
    assert cli("account", "set", "y", "--rate=-1").returncode == Exit.REFUSED
    late = cli("account", "set", "y", "--rate=9", "--expected=0")
    assert late.returncode == Exit.CONFLICT
    assert cli("account", "show", "nobody").returncode == Exit.NOT_FOUND
    assert cli("account", "list", token="wrong").returncode == Exit.NOT_ALLOWED
    assert cli("account", "list", "--bad").returncode == Exit.USAGE


def test_address_where_nobody_listens_is_passed_over(system, cli, published, nobody):
    live = system.daemons[1].admin
    assert cli("route", "list", admin=f"{nobody},{live}").returncode == Exit.OK
    changed = cli(
        "route",
        "put",
        "extra",
        "--path=/extra",
        "--service=booking",
        admin=f"{nobody},{live}",
    )
    assert changed.returncode == Exit.OK, changed.stderr
    assert cli("route", "remove", "extra").returncode == Exit.OK
    assert cli("route", "list", admin=nobody).returncode == Exit.UNREACHABLE


def test_files_are_compared_with_what_is_in_force(cli, published):
    cli("account", "create", "z", "--rate=50", "--burst=50")
    compared = cli("config", "diff", str(published), "--site=default", "--json")
    assert compared.returncode == Exit.OK
    paths = [item["path"] for item in json.loads(compared.stdout)]
    assert "accounts.z.rate" in paths
    assert all(path.startswith("accounts.") for path in paths)
    shown = cli("config", "show", "--site=default", "--section=routes")
    assert "routes.catalogue.path" in shown.stdout
