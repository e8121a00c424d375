"""Commands that read the status page of VMs on the users' platform."""

from argparse import Namespace
from typing import Any

from wagtailpaddle_cli.commands import arg, command, never
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.monitoring import fetch_page
from wagtailpaddle_cli.session import Session
from wagtailpaddle_cli.tables import render_table

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
    statuses: dict[str, Any] = {
        address: fetch_status(address) for address in args.addresses
    }
    rows = [_row(address, status) for address, status in statuses.items()]
    session.show(statuses, render_table(COLUMNS, rows))
    any_responded = any("error" not in status for status in statuses.values())
    return ExitStatus.OK if any_responded else ExitStatus.UNREACHABLE


def fetch_status(address: str) -> dict[str, Any]:
    """Return the status of a VM, or the error of the request.

    Raises ``CommandError`` if ``address`` is not ``HOST:PORT``.
    """
    try:
        status: dict[str, Any] = fetch_page(address, "/status")
    except CommandError as exc:
        if exc.status is ExitStatus.USAGE:
            raise
        return {"error": str(exc)}
    return status


def _row(address: str, status: dict[str, Any]) -> list[Any]:
    if "error" in status:
        return [address, status["error"], *[""] * (len(COLUMNS) - 2)]
    ages = status["age_s"]
    servers = [item for items in status["servers"].values() for item in items]
    n_leaving = sum(item["leaving"] for item in servers)
    return [
        address,
        status["state"],
        status["ready"],
        status["configuration"],
        ages.get("config", ""),
        ages.get("servers", ""),
        f"{len(servers)} ({n_leaving} leave)",
        len(status["alive"]),
        status["vm"] in status["carriers"],
        next(iter(status["follows"]), "the store"),
        next(iter(status["keepers"]), ""),
    ]
