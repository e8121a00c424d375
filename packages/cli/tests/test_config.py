from pathlib import Path

import pytest
from wagtailpaddle_cli import parser  # noqa: F401
from wagtailpaddle_cli.config import differences
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.files import read_document
from wagtailpaddle_cli.main import main
from wagtailpaddle_cli.page import render_page
from wagtailpaddle_cli.tomltext import render_toml

ROOT = Path(__file__).parents[3]
BASE = str(ROOT / "examples" / "base.toml")
NAMUR = str(ROOT / "examples" / "overlays" / "namur.toml")
RETURHUSET = str(ROOT / "examples" / "overlays" / "returhuset.toml")
NON_IDEMPOTENT_ROUTES = {
    "delivery-book",
    "damage-claim",
    "return-credit",
    "pickup-book",
}


@pytest.fixture
def write(tmp_path):
    def write_file(name, text):
        path = tmp_path / name
        path.write_text(text)
        return str(path)

    return write_file


@pytest.fixture
def in_force(client):
    """Set the configuration in force.

    Successive reads of the accounts are at the given ``revisions``.
    """

    def set_accounts(accounts, origins=None, revisions=(4,)):
        objects = [{"name": name, "table": accounts[name]} for name in accounts]
        page = {"origins": origins or {}, "next": None}
        query = "limit=1000&site=namur"
        client.pages[f"/v1/configuration/accounts?{query}"] = [
            {**page, "objects": objects, "revision": number} for number in revisions
        ]
        for section in ("routes", "services"):
            client.pages[f"/v1/configuration/{section}?{query}"] = {
                **page,
                "objects": [],
                "revision": 4,
            }

    return set_accounts


def test_examples_are_valid(capsys):
    assert main(["config", "check", BASE, NAMUR, RETURHUSET]) == ExitStatus.OK
    assert "namur, returhuset: valid" in capsys.readouterr().out


def test_examples_have_the_server_counts_of_the_sites():
    sizes = {}
    for name in (NAMUR, RETURHUSET):
        overlay = read_document(name)
        assert len(overlay["accounts"]) == 8
        for service, table in overlay["services"].items():
            sizes[service] = len(table["servers"])
            assert {server["zone"] for server in table["servers"].values()} == {*"abc"}
    assert sizes == {"booking": 12, "inventory": 10, "remissions": 15, "pickups": 10}


def test_action_routes_of_the_examples_are_not_idempotent():
    routes = read_document(BASE)["routes"]
    non_idempotent = {
        name for name, route in routes.items() if not route.get("idempotent")
    }
    assert non_idempotent == NON_IDEMPOTENT_ROUTES
    assert all(routes[name]["methods"] == ["POST"] for name in non_idempotent)


def test_overlays_of_the_examples_contain_only_differences():
    base = read_document(BASE)
    for name in (NAMUR, RETURHUSET):
        overlay = read_document(name)
        assert set(overlay) == {"accounts", "services"}
        for service, table in overlay["services"].items():
            base_service = base["services"][service]
            assert all(base_service.get(key) != value for key, value in table.items())


def test_check_reports_every_problem(write, capsys):
    base = write("base.toml", "[accounts.x]\nrate = -1.0\nburst = 0.0\n[rutes]\n")
    assert main(["config", "check", base, "--json"]) == ExitStatus.REFUSED
    assert "rutes" in capsys.readouterr().err
    base = write("base.toml", "[accounts.x]\nrate = -1.0\nburst = 0.0\n")
    assert main(["config", "check", base]) == ExitStatus.REFUSED
    err = capsys.readouterr().err
    assert "accounts.x.rate: -1.0" in err
    assert "accounts.x.burst: 0.0" in err


def test_error_names_a_file_that_is_missing_or_not_toml(write, capsys):
    assert main(["config", "check", "/nowhere/base.toml"]) == ExitStatus.USAGE
    assert main(["config", "check", write("base.toml", "x = ")]) == ExitStatus.REFUSED
    assert "base.toml: not TOML" in capsys.readouterr().err


def test_show_names_the_layer_of_each_value(capsys):
    assert (
        main(["config", "show", BASE, NAMUR, "--section", "services"]) == ExitStatus.OK
    )
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert ["services.booking.floor", "0.5", "base"] in lines
    assert ["services.booking.sensitivity", "0.4", "overlay:namur"] in lines


def test_diff_of_two_overlays_shows_what_differs(capsys):
    assert main(["config", "diff", BASE, NAMUR, RETURHUSET]) == ExitStatus.OK
    out = capsys.readouterr().out
    assert "services.booking.sensitivity" in out
    assert "services.booking.floor" not in out


def test_diff_with_what_is_in_force(run, in_force, write):
    base = write("base.toml", "[accounts.x]\nrate = 5.0\nburst = 9.0\n")
    in_force({"x": {"rate": 5.0, "burst": 7.0}})
    found = run("config", "diff", base, "--site=namur", "--json").json()
    assert found == [{"path": "accounts.x.burst", "left": "9.0", "right": "7.0"}]


def test_show_of_a_site_reads_from_the_daemon(run, in_force):
    in_force({"x": {"rate": 5.0}}, {"accounts.x.rate": "operator@4"})
    assert "operator@4" in run("config", "show", "--site=namur").text


def test_configuration_that_changes_during_a_read_is_read_again(run, client, in_force):
    in_force({"x": {"rate": 5.0}}, revisions=(3, 4))
    shown = run("config", "show", "--site=namur", "--json").json()
    assert shown["document"] == {"accounts": {"x": {"rate": 5.0}}}
    in_force({"x": {"rate": 5.0}}, revisions=(5, 6, 7))
    with pytest.raises(CommandError, match="changed while"):
        run("config", "show", "--site=namur")


@pytest.mark.parametrize("argv", [["diff"], ["diff", "a"], ["show"], ["show", *"abc"]])
def test_wrong_number_of_files_and_sites_is_refused(run, argv):
    with pytest.raises(CommandError) as raised:
        run("config", *argv)
    assert raised.value.status == ExitStatus.USAGE


def test_toml_text_round_trips(tmp_path):
    document = read_document(BASE)
    document["accounts"] = {'a "b".c': {"rate": 1.5, "active": True, "tags": ["x"]}}
    path = tmp_path / "again.toml"
    path.write_text(render_toml(document))
    assert differences(read_document(str(path)), document) == []


def test_cli_page_matches_the_commands():
    assert (ROOT / "docs" / "cli.md").read_text() == render_page()
