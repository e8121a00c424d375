"""The parser of the command line, built from the registered commands."""

import argparse
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wagtailpaddle_cli import (  # noqa: F401
    accounts,
    config,
    documents,
    explain,
    keys,
    routes,
    status,
    tokens,
    vms,
)
from wagtailpaddle_cli.commands import COMMANDS, Command
from wagtailpaddle_cli.exitstatus import EXIT_STATUS_MEANINGS, CommandError, ExitStatus

ADDRESSES_VARIABLE = "WAGTAILPADDLE_ADMIN_ADDRESSES"
ADDRESS_VARIABLE = "WAGTAILPADDLE_ADMIN_ADDRESS"
TOKEN_VARIABLE = "WAGTAILPADDLE_TOKEN"
DEFAULT_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Access:
    """Access to the administration API.

    Addresses are ``host:port`` and are tried in turn.
    """

    addresses: tuple[str, ...]
    token: str
    timeout_s: float


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all registered commands."""
    parser = argparse.ArgumentParser(
        prog="wagtailpaddle",
        description="Operate a wagtailpaddle fleet.",
        epilog="exit status: "
        + "; ".join(
            f"{int(code)} {text}" for code, text in EXIT_STATUS_MEANINGS.items()
        ),
    )
    subcommands = parser.add_subparsers(metavar="COMMAND", required=True)
    groups: dict[str, Any] = {}
    for name in COMMANDS.names():
        group, _, subcommand = name.partition(" ")
        if not subcommand:
            _add_command(subcommands, group, COMMANDS[name])
            continue
        if group not in groups:
            group_parser = subcommands.add_parser(group, help=f"{group} commands")
            groups[group] = group_parser.add_subparsers(
                metavar="COMMAND", required=True
            )
        _add_command(groups[group], subcommand, COMMANDS[name])
    return parser


def read_access(
    args: argparse.Namespace, environment: Mapping[str, str] = os.environ
) -> Access:
    """Return the access settings; flags take precedence over variables.

    Raises ``CommandError`` with everything that is missing or invalid.
    """
    address_list = (
        args.admin_address
        or environment.get(ADDRESSES_VARIABLE)
        or environment.get(ADDRESS_VARIABLE)
        or ""
    )
    addresses = tuple(part.strip() for part in address_list.split(",") if part.strip())
    token = args.token or environment.get(TOKEN_VARIABLE, "")
    problems = [
        f"{address!r} is not host:port"
        for address in addresses
        if not address.rpartition(":")[2].isdecimal()
    ]
    if not addresses:
        problems.append(f"--admin-address or {ADDRESSES_VARIABLE} is required")
    if not token:
        problems.append(f"--token or {TOKEN_VARIABLE} is required")
    if not 0 < args.timeout < float("inf"):
        problems.append(f"--timeout is {args.timeout!r}; allowed: seconds above 0")
    if problems:
        raise CommandError(ExitStatus.USAGE, "; ".join(problems))
    return Access(addresses, token, args.timeout)


def _add_command(parent: Any, subcommand: str, entry: Command) -> None:
    parser = parent.add_parser(subcommand, help=entry.help, description=entry.help)
    for argument in entry.arguments:
        parser.add_argument(*argument.flags, **argument.options)
    common_options = parser.add_argument_group("options of every command")
    common_options.add_argument("--json", action="store_true", help="print JSON")
    common_options.add_argument(
        "--admin-address",
        metavar="HOST:PORT,...",
        help=f"administration addresses, tried in turn [{ADDRESSES_VARIABLE}]",
    )
    common_options.add_argument(
        "--token",
        help=f"operator's token; flags show in process lists [{TOKEN_VARIABLE}]",
    )
    parser.set_defaults(command=entry, timeout=DEFAULT_TIMEOUT_S)
    if any("--timeout" in argument.flags for argument in entry.arguments):
        # The command gives the flag a meaning of its own.
        return
    common_options.add_argument(
        "--timeout",
        type=float,
        metavar="SECONDS",
        help=f"longest wait for one response [default: {DEFAULT_TIMEOUT_S:g}]",
    )
