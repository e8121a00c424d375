"""Commands that read the status page of VMs on the users' platform."""

import json
from argparse import Namespace
from http.client import HTTPConnection, HTTPException
from typing import Any

from wagtailpaddle_cli.commands import arg, command, never
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.session import Session
from wagtailpaddle_cli.tables import render_table

STATUS_TIMEOUT_S = 2.0
COLUMNS = (
    "address",
    "state",
    "ready",
    "configuration",
    "config age s",
    "servers age s",
    "servers",
    "alive",
    "carries",
    "follows",
    "keeper",
)


@command(
    "vm show",
    "show the state of VMs on the users' platform and the age of their data",
    arg("addresses", nargs="+", metavar="HOST:PORT", help="monitoring addresses"),
    is_remote=never,
)
async def show_vms(session: Session, args: Namespace) -> ExitStatus:
    """Print a line for each VM, with the error for a VM that does not respond."""
    found: dict[str, Any] = {
        address: fetch_status(address) for address in args.addresses
    }
    rows = [_row(address, told) for address, told in found.items()]
    session.show(found, render_table(COLUMNS, rows))
    answered = any("error" not in told for told in found.values())
    return ExitStatus.OK if answered else ExitStatus.UNREACHABLE


def fetch_status(address: str) -> dict[str, Any]:
    """Return the status of a VM, or the error of the request.

    Raises ``CommandError`` if ``address`` is not ``HOST:PORT``.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise CommandError(ExitStatus.USAGE, f"{address!r} is not HOST:PORT")
    conn = HTTPConnection(host, int(port), timeout=STATUS_TIMEOUT_S)
    try:
        conn.request("GET", "/status")
        told: dict[str, Any] = json.loads(conn.getresponse().read())
    except (OSError, HTTPException, ValueError) as exc:
        return {"error": str(exc) or type(exc).__name__}
    finally:
        conn.close()
    return told


def _row(address: str, told: dict[str, Any]) -> list[Any]:
    if "error" in told:
        return [address, told["error"], *[""] * (len(COLUMNS) - 2)]
    ages = told["age_s"]
    servers = [item for items in told["servers"].values() for item in items]
    n_leaving = sum(item["leaving"] for item in servers)
    return [
        address,
        told["state"],
        told["ready"],
        told["configuration"],
        ages.get("config", ""),
        ages.get("servers", ""),
        f"{len(servers)} ({n_leaving} leave)",
        len(told["alive"]),
        told["vm"] in told["carriers"],
        next(iter(told["follows"]), "the store"),
        next(iter(told["keepers"]), ""),
    ]
