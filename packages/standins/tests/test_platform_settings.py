"""Decoding and reloading of the platform's settings file."""

import pytest
from wagtailpaddle_platform.settings import (
    PlatformSettingsError,
    SettingsWatcher,
    decode_settings,
    read_settings_file,
)
from wagtailpaddle_platform.wiring import daemon_settings

LINES = {
    "zone": "namur-a",
    "listen.front": "10.1.0.5:8405",
    "listen.ready": "10.1.0.5:8406",
    "listen.control": "10.1.0.5:8407",
    "listen.directory": "10.1.0.5:8404",
    "portRange": "7660,7675",
    "seeds": "10.1.0.5:8407,10.2.0.3:8407",
    "heartbeatS": "1.5",
    "bounds.graceS": "6",
    "bounds.revokeS": "5",
    "bounds.configApplyS": "7",
    "bounds.ttl_max_s": "5",
    "bounds.floorShare": "0.7",
    "bounds.retryRatio": "0.2",
    "bounds.retrySlack": "56",
    "bounds.quotaWindowS": "5",
    "platform.address": "10.200.1.7:8408",
    "something.new": "passed over",
}


@pytest.fixture
def text():
    def make(**changes):
        fields = {**LINES, **{key.replace("__", "."): v for key, v in changes.items()}}
        return "\n".join(f"{key}={value}" for key, value in fields.items() if value)

    return make


def test_fields_become_settings(text):
    cfg = decode_settings(text())
    assert cfg.peer_address == "10.1.0.5:8407"
    assert cfg.apply_s == 7.0
    assert cfg.seeds == ("10.1.0.5:8407", "10.2.0.3:8407")
    assert (cfg.grace_s, cfg.floor) == (6.0, 0.7)
    assert cfg.monitoring_address == "10.1.0.5:7660"
    assert cfg.cores == 1.0
    assert decode_settings(text(limits__cpuShare="0.5", limits__cores="3")).cores == 1.5
    other = decode_settings(text(), monitoring_port="9464")
    assert other.monitoring_address == "10.1.0.5:9464"


@pytest.mark.parametrize(("evac_s", "apply_s"), [("5", 5.0), ("9", 7.0), ("", 7.0)])
def test_records_are_known_in_time_for_an_evacuation(text, evac_s, apply_s):
    """Guards against an evacuation as slow as a configuration may be."""
    cfg = daemon_settings(decode_settings(text(bounds__evacS=evac_s)))
    assert cfg.control.apply_s == apply_s


@pytest.mark.parametrize(("drain_s", "apply_s"), [("2.5", 2.5), ("9", 7.0), ("", 7.0)])
def test_records_are_known_in_time_for_a_leaving_server(text, drain_s, apply_s):
    """Guards against requests to a leaving server while configurations may be late."""
    cfg = daemon_settings(decode_settings(text(bounds__drainS=drain_s)))
    assert cfg.control.apply_s == apply_s


def test_bound_of_cold_servers_is_in_the_settings(text):
    control = daemon_settings(decode_settings(text())).control
    assert (control.warmup_excess, control.warmup_slack) == (1.5, 8.0)
    changed = text(bounds__warmupExcess="2", bounds__warmupSlack="3")
    control = daemon_settings(decode_settings(changed)).control
    assert (control.warmup_excess, control.warmup_slack) == (2.0, 3.0)


@pytest.mark.parametrize(("grace_s", "linger_s"), [(4, 2.0), (6, 3.0), (30, 3.0)])
def test_most_of_a_long_grace_period_is_for_requests_in_flight(text, grace_s, linger_s):
    cfg = daemon_settings(decode_settings(text(bounds__graceS=str(grace_s))))
    assert (cfg.grace_s, cfg.linger_s) == (grace_s, linger_s)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"zone": ""}, "zone is missing"),
        ({"listen__front": "8405"}, "listen.front is '8405', not host:port"),
        ({"bounds__graceS": "soon"}, "bounds.graceS is 'soon', not a number"),
        ({"limits__cores": "many"}, "limits.cores is 'many', not a number"),
        ({"bounds__warmupSlack": "nan"}, "bounds.warmupSlack is nan, not an amount"),
        ({"portRange": ""}, "portRange is missing"),
        ({"portRange": "x,y"}, "portRange is 'x,y'"),
    ],
)
def test_invalid_field_is_named_in_the_error(text, changes, message):
    with pytest.raises(PlatformSettingsError, match=message):
        decode_settings(text(**changes))


def test_invalid_line_is_named_in_the_error():
    with pytest.raises(PlatformSettingsError, match="line 1 is 'nonsense'"):
        decode_settings("nonsense")


def test_invalid_monitoring_port_is_named_in_the_error(text):
    with pytest.raises(PlatformSettingsError, match="'high', not a port"):
        decode_settings(text(), monitoring_port="high")


def test_changed_file_is_applied_and_an_invalid_one_is_not(text, tmp_path):
    path = tmp_path / "boot.conf"
    environment = {"WAGTAILPADDLE_SETTINGS": str(path)}
    path.write_text(text())
    watcher = SettingsWatcher(read_settings_file(environment))
    assert not watcher.reload(environment)
    path.write_text(text(bounds__graceS="9"))
    assert watcher.reload(environment)
    assert watcher.cfg.grace_s == 9.0
    path.write_text("nonsense")
    with pytest.raises(PlatformSettingsError):
        watcher.reload(environment)
    assert watcher.cfg.grace_s == 9.0


def test_missing_settings_file_is_named_in_the_error(tmp_path):
    with pytest.raises(PlatformSettingsError, match="is not set"):
        read_settings_file({})
    missing = str(tmp_path / "boot.conf")
    with pytest.raises(PlatformSettingsError, match="cannot be read"):
        read_settings_file({"WAGTAILPADDLE_SETTINGS": missing})


def test_price_of_a_byte_between_zones_reaches_routing(text):
    """A deployment with a bill; guards against a price that is read and not used."""
    for value, price_s in (("", 0.0), ("1e-6", 1e-6)):
        routing = daemon_settings(decode_settings(text(), crossing_byte=value)).routing
        assert (routing.picker, routing.crossing_byte_s) == ("zone-shares", price_s)


@pytest.mark.parametrize("value", ("dear", "-1", "nan", "inf"))
def test_wrong_price_of_a_byte_is_refused(text, value):
    """A typing error in the price; guards against a daemon that never crosses."""
    with pytest.raises(PlatformSettingsError, match="CROSSING_BYTE_S"):
        decode_settings(text(), crossing_byte=value)
