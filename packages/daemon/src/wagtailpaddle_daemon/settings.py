"""Settings of the daemon: flags, environment variables, defaults, checks."""

import argparse
import os
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

ENVIRONMENT_PREFIX = "WAGTAILPADDLE_"


class SettingError(ValueError):
    """A setting with a value that is not allowed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Everything that a daemon is told at its start."""

    site: str
    zone: str
    caller_address: str
    peer_address: str
    admin_address: str
    log_url: str
    vm_list_url: str
    log_adapter: str
    operators: Mapping[str, str]
    fleet_secret: str
    n_vms: int
    max_body_bytes: int
    drain_s: float
    log_format: str
    log_level: str


@dataclass(frozen=True, slots=True)
class Option:
    """One setting: its name, reader, default (None if required) and help."""

    name: str
    read: Callable[[str], Any]
    default: str | None
    help: str

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def _text(value: str) -> str:
    if not value:
        raise SettingError("a non-empty text")
    return value


def _any_text(value: str) -> str:
    return value


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingError("host:port with a port from 1 to 65535")
    return value


def _url(value: str) -> str:
    if not re.fullmatch(r"https?://[^/\s]+(/\S*)?", value):
        raise SettingError("an http or https URL")
    return value.rstrip("/")


def _count(value: str) -> int:
    if not value.isdigit() or int(value) < 1:
        raise SettingError("a whole number from 1")
    return int(value)


def _seconds(value: str) -> float:
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 < number < 86400:
        raise SettingError("seconds above 0 and below 86400")
    return number


def _one_of(*names: str) -> Callable[[str], str]:
    def read(value: str) -> str:
        if value not in names:
            raise SettingError("one of " + ", ".join(names))
        return value

    return read


def _operators(value: str) -> dict[str, str]:
    operators = {}
    for entry in filter(None, value.split(",")):
        name, _, digest = entry.partition("=")
        if not name or not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise SettingError("name=SHA-256 of the operator's token, by commas")
        operators[name] = digest
    return operators


OPTIONS = (
    Option("site", _text, "default", "site whose overlay is in force"),
    Option("zone", _text, None, "availability zone of this VM"),
    Option("caller_address", _address, None, "host:port that callers connect to"),
    Option("peer_address", _address, None, "host:port that other daemons connect to"),
    Option("admin_address", _address, None, "host:port of the administration API"),
    Option("log_url", _url, None, "base URL of the log service"),
    Option("vm_list_url", _url, None, "URL of the platform's list of VMs"),
    Option("log_adapter", _one_of("http"), "http", "protocol of the log service"),
    Option("operators", _operators, "", "operators as name=SHA-256 of the token, ..."),
    Option("fleet_secret", _any_text, "", "secret that daemons show to each other"),
    Option("n_vms", _count, "1", "number of VMs among which rates are shared"),
    Option("max_body_bytes", _count, "1048576", "largest request body, in bytes"),
    Option("drain_s", _seconds, "30", "longest graceful stop, in seconds"),
    Option("log_format", _one_of("console", "json"), "console", "console or json"),
    Option(
        "log_level",
        _one_of("debug", "info", "warning", "error"),
        "info",
        "debug, info, warning or error",
    ),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="wagtailpaddled", description="The wagtailpaddle proxy daemon."
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    for option in OPTIONS:
        default = "required" if option.default is None else option.default or "empty"
        parser.add_argument(
            option.flag,
            metavar="VALUE",
            help=f"{option.help} [{option.variable}; default: {default}]",
        )
    return parser


def read_settings(
    args: argparse.Namespace, environment: Mapping[str, str] = os.environ
) -> Settings:
    """Return checked settings; a flag goes before its environment variable.

    Raises ``SettingError`` that names every wrong setting, its value and what
    is allowed.
    """
    values: dict[str, Any] = {}
    faults = []
    for option in OPTIONS:
        raw = getattr(args, option.name)
        if raw is None:
            raw = environment.get(option.variable, option.default)
        if raw is None:
            faults.append(f"{option.flag} ({option.variable}) is required")
            continue
        try:
            values[option.name] = option.read(raw)
        except SettingError as exc:
            shown = "(hidden)" if option.name == "operators" else repr(raw)
            faults.append(f"{option.flag} is {shown}; allowed: {exc}")
    if faults:
        raise SettingError("\n".join(faults))
    return Settings(**values)


def parse(argv: Sequence[str] | None = None) -> tuple[Settings, bool]:
    """Return the settings and whether only a check was asked for."""
    parser = build_parser()
    args = parser.parse_args(argv)
    try:
        settings = read_settings(args)
    except SettingError as exc:
        parser.exit(
            2, "".join(f"wagtailpaddled: {line}\n" for line in str(exc).split("\n"))
        )
    return settings, args.check
