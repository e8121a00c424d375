from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_daemon.main import main
from wagtailpaddle_daemon.settings import (
    OPTIONS,
    SettingError,
    build_parser,
    parse,
    read_settings,
)
from wagtailpaddle_daemon.settings_page import render_settings_page

SETTINGS_PAGE = Path(__file__).parents[3] / "docs" / "settings.md"
REQUIRED = {
    "WAGTAILPADDLE_ZONE": "a",
    "WAGTAILPADDLE_CALLER_ADDRESS": "127.0.0.1:8080",
    "WAGTAILPADDLE_PEER_ADDRESS": "127.0.0.1:8081",
    "WAGTAILPADDLE_ADMIN_ADDRESS": "127.0.0.1:8082",
    "WAGTAILPADDLE_LOG_URL": "http://127.0.0.1:9000",
    "WAGTAILPADDLE_VM_LIST_URL": "http://127.0.0.1:9000/vms",
    "WAGTAILPADDLE_FLEET_SECRET": "secret of the fleet",
}


@pytest.fixture
def read():
    def run(*flags, **variables):
        args = build_parser().parse_args(flags)
        extra = {f"WAGTAILPADDLE_{name}": value for name, value in variables.items()}
        return read_settings(args, {**REQUIRED, **extra})

    return run


def test_flag_overrides_variable_and_variable_overrides_default(read):
    assert read().drain_s == 30.0
    assert read(DRAIN_S="5").drain_s == 5.0
    assert read("--drain-s=7", DRAIN_S="5").drain_s == 7.0


def test_all_invalid_settings_are_reported_together(read):
    with pytest.raises(SettingError) as caught:
        read(
            "--drain-s=-1",
            "--caller-address=here",
            LOG_LEVEL="loud",
            MAX_BODY_BYTES="²",
        )
    lines = str(caught.value).split("\n")
    assert len(lines) == 4
    assert any("--drain-s" in line and "'-1'" in line for line in lines)
    assert any("WAGTAILPADDLE_LOG_LEVEL" in line for line in lines)


def test_required_settings_are_named():
    with pytest.raises(SettingError) as caught:
        read_settings(build_parser().parse_args([]), {})
    assert str(caught.value).count("is required") == len(REQUIRED)


def test_invalid_secret_is_not_shown(read):
    with pytest.raises(SettingError) as caught:
        read(OPERATORS="anna=plain-token")
    assert "plain-token" not in str(caught.value)


def test_addresses_must_differ(read):
    with pytest.raises(SettingError, match="does not use"):
        read(PEER_ADDRESS="127.0.0.1:8080")


@pytest.mark.parametrize(
    "value", ["", "host:80", "127.0.0.1:0", "127.0.0.1:65536", "0.0.0.0:80", "[::1]:80"]
)
def test_address_outside_the_rule_is_refused(read, value):
    with pytest.raises(SettingError, match="IPv4"):
        read(f"--caller-address={value}")


def test_invalid_setting_exits_with_status_2(capsys, monkeypatch):
    for name, value in REQUIRED.items():
        monkeypatch.setenv(name, value)
    with pytest.raises(SystemExit) as caught:
        parse(["--check", "--max-body-bytes=0"])
    assert caught.value.code == 2
    assert "--max-body-bytes" in capsys.readouterr().err


@settings(derandomize=True, deadline=None, max_examples=300)
@given(item=st.sampled_from(OPTIONS), value=st.text(max_size=30))
def test_any_text_is_parsed_or_rejected(item, value):
    try:
        item.read(value)
    except SettingError as exc:
        assert str(exc)


def test_check_says_that_the_settings_are_valid(capsys, monkeypatch):
    for name, value in REQUIRED.items():
        monkeypatch.setenv(name, value)
    assert main(["--check"]) == 0
    assert "valid" in capsys.readouterr().out


def test_page_and_help_agree_with_the_options():
    assert SETTINGS_PAGE.read_text() == render_settings_page()
    help_text = " ".join(build_parser().format_help().split())
    for item in OPTIONS:
        assert item.flag in help_text
        assert f"{item.variable}; default: {item.shown_default}" in help_text
