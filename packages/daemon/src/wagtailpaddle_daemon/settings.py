"""Settings of the daemon: flags, environment variables, defaults and checks."""

import argparse
import os
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, fields
from typing import Any

from wagtailpaddle_daemon.settings_values import (
    SettingError,
    one_of,
    read_address,
    read_any_text,
    read_count,
    read_operators,
    read_seconds,
    read_text,
    read_url,
    read_yes_no,
)

ENVIRONMENT_PREFIX = "WAGTAILPADDLE_"
USAGE_STATUS = 2


@dataclass(frozen=True, slots=True)
class Option:
    """One setting: its name, parser, default (None if required) and help text.

    The value of a ``secret`` setting is never printed.
    """

    name: str
    read: Callable[[str], Any]
    default: str | None
    help: str
    secret: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def shown_default(self) -> str:
        """The default as shown in the help."""
        if self.default is None:
            return "required"
        return self.default or "empty"


def option(
    read: Callable[[str], Any], default: str | None, help: str, *, secret: bool = False
) -> Any:
    """Declare a field of ``Settings`` that is set by a flag or a variable."""
    return field(
        metadata={"read": read, "default": default, "help": help, "secret": secret}
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a daemon, fixed at its start; each field is an option."""

    site: str = option(read_text, "default", "site whose overlay is in force")
    zone: str = option(read_text, None, "availability zone of this VM")
    caller_address: str = option(read_address, None, "IPv4:port for callers")
    peer_address: str = option(read_address, None, "IPv4:port for other daemons")
    admin_address: str = option(
        read_address, None, "IPv4:port of the administration API"
    )
    log_url: str = option(read_url, None, "base URL of the log service")
    vm_list_url: str = option(read_url, None, "URL of the platform's list of VMs")
    log_adapter: str = option(one_of("http"), "http", "protocol of the log service")
    operators: Mapping[str, str] = option(
        read_operators,
        "",
        "operators, comma-separated, as name=SHA-256 of the token in hex",
        secret=True,
    )
    fleet_secret: str = option(
        read_any_text, "", "shared secret that authenticates daemons", secret=True
    )
    peer_tls_cert: str = option(
        read_any_text, "", "PEM file of the certificate presented to other daemons"
    )
    peer_tls_key: str = option(
        read_any_text, "", "PEM file of the certificate's private key"
    )
    peer_tls_ca: str = option(
        read_any_text, "", "PEM file of the CA that signs all daemons' certificates"
    )
    peer_plain: bool = option(
        read_yes_no, "no", "yes: allow daemons without a secret or certificates"
    )
    max_body_bytes: int = option(
        read_count, "1048576", "largest body of a caller's request, in bytes"
    )
    admin_max_body_bytes: int = option(
        read_count, "8388608", "largest body of an operator's request, in bytes"
    )
    memory_mb: int = option(
        read_count, "512", "memory of the VM for this daemon, in megabytes"
    )
    max_descriptors: int = option(
        read_count, "4096", "limit of open descriptors of this daemon"
    )
    metrics_accounts: int = option(
        read_count, "64", "number of client accounts with their own histograms"
    )
    metrics_routes: int = option(
        read_count, "64", "number of routes with their own histograms"
    )
    metrics_servers: int = option(
        read_count, "128", "number of servers with their own histograms"
    )
    linger_s: float = option(
        read_seconds, "1", "seconds for which a leaving daemon still serves requests"
    )
    drain_s: float = option(
        read_seconds, "30", "maximum wait for requests in flight, in seconds"
    )
    log_format: str = option(
        one_of("console", "json"), "console", "format of log lines"
    )
    log_level: str = option(
        one_of("debug", "info", "warning", "error"),
        "info",
        "lowest level that is logged",
    )


OPTIONS = tuple(Option(item.name, **item.metadata) for item in fields(Settings))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="wagtailpaddled",
        description="The wagtailpaddle proxy daemon.",
        epilog="A flag takes precedence over its environment variable. Pass secrets "
        "in variables, because flags are visible in the process list.",
        allow_abbrev=False,
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    for item in OPTIONS:
        help_text = f"{item.help} [{item.variable}; default: {item.shown_default}]"
        parser.add_argument(
            item.flag, metavar="VALUE", help=help_text.replace("%", "%%")
        )
    return parser


def read_settings(
    args: argparse.Namespace, environment: Mapping[str, str] = os.environ
) -> Settings:
    """Return checked settings; a flag overrides its environment variable.

    Raises ``SettingError`` that lists every invalid setting with its value and
    the allowed values.
    """
    values: dict[str, Any] = {}
    errors = []
    for item in OPTIONS:
        raw = getattr(args, item.name)
        if raw is None:
            raw = environment.get(item.variable, item.default)
        if raw is None:
            errors.append(f"{item.flag} ({item.variable}) is required")
            continue
        try:
            values[item.name] = item.read(raw)
        except SettingError as exc:
            shown = "(hidden)" if item.secret else repr(raw)
            errors.append(f"{item.flag} ({item.variable}) is {shown}; allowed: {exc}")
    errors.extend(_check_distinct_addresses(values))
    errors.extend(_check_peer_security(values))
    if errors:
        raise SettingError("\n".join(errors))
    return Settings(**values)


def _check_distinct_addresses(values: Mapping[str, Any]) -> list[str]:
    errors = []
    flag_by_address: dict[str, str] = {}
    for name in ("caller_address", "peer_address", "admin_address"):
        address = values.get(name)
        if address is None:
            continue
        if address in flag_by_address:
            flag = "--" + name.replace("_", "-")
            errors.append(
                f"{flag} is {address!r}; allowed: an address that "
                f"{flag_by_address[address]} does not use"
            )
        flag_by_address.setdefault(address, "--" + name.replace("_", "-"))
    return errors


def _check_peer_security(values: Mapping[str, Any]) -> list[str]:
    tls = ("peer_tls_cert", "peer_tls_key", "peer_tls_ca")
    given = [name for name in tls if values.get(name)]
    if given and len(given) < len(tls):
        missing = sorted(set(tls) - set(given))
        flags = ", ".join("--" + name.replace("_", "-") for name in missing)
        return [f"{flags} is required with the other TLS settings"]
    if given or values.get("fleet_secret") or values.get("peer_plain"):
        return []
    return ["--fleet-secret, TLS settings or --peer-plain=yes is required"]


def parse(argv: Sequence[str] | None = None) -> tuple[Settings, bool]:
    """Return the settings and whether ``--check`` was given.

    Invalid settings exit the program with status 2.
    """
    parser = build_parser()
    args = parser.parse_args(argv)
    try:
        settings = read_settings(args)
    except SettingError as exc:
        lines = str(exc).split("\n")
        parser.exit(
            USAGE_STATUS, "".join(f"wagtailpaddled: {line}\n" for line in lines)
        )
    return settings, args.check
