"""Commands that show the state of the fleet and of changes."""

from argparse import Namespace
from typing import Any

from wagtailpaddle_cli.commands import arg, command
from wagtailpaddle_cli.exitstatus import ExitStatus
from wagtailpaddle_cli.session import Session
from wagtailpaddle_cli.tables import render_ms, render_table

METRIC_PARTS = ("accounts", "routes", "servers")
QUANTILES = ("p50", "p90", "p99", "max")
NO_LATENCY: dict[str, Any] = {"n": 0}
SERIES_COLUMNS = (
    "name",
    "answered",
    "refused",
    *(f"{name} ms" for name in QUANTILES),
    "wait p99 ms",
)
SERVER_COLUMNS = (
    "service",
    "server",
    "zone",
    "state",
    "weight",
    "leaving",
    "attempts",
    "p50 ms",
    "p99 ms",
    "reason",
)


@command(
    "status",
    "show the fleet, services, servers and client accounts as one daemon sees them",
    arg(
        "part",
        nargs="?",
        choices=("fleet", "services", *METRIC_PARTS),
        help="show only this part",
    ),
)
async def show_status(session: Session, args: Namespace) -> ExitStatus:
    """Print the state of a daemon, and of the fleet as this daemon sees it."""
    value: dict[str, Any] = {"status": await session.get("status")}
    parts = (args.part,) if args.part else ("fleet", "services", "accounts")
    texts = [] if args.part else [_summary(value["status"])]
    for part in parts:
        value[part], text = await _fetch_part(session, part)
        texts.append(f"{part}\n{text}")
    session.show(value, "\n\n".join(texts))
    return ExitStatus.OK


@command(
    "record show",
    "show the state of a change",
    arg("record", help="id of the change's record"),
)
async def show_record(session: Session, args: Namespace) -> ExitStatus:
    """Print the state of a change by its record id."""
    result = await session.get("records", args.record)
    return session.report_change(f"record {args.record}", result, wait_s=0.0)


async def _fetch_part(session: Session, part: str) -> tuple[Any, str]:
    if part == "fleet":
        vms = (await session.get("fleet"))["vms"]
        columns = ("id", "zone", "caller_address", "state", "revision")
        rows = [[vm[column] for column in columns] for vm in vms]
        return vms, render_table(columns, rows)
    if part == "services":
        return await _fetch_services(session)
    metrics = await session.get("metrics", part)
    if part == "servers":
        return metrics, _series_table(metrics[part], with_queue_wait=False)
    return metrics, _series_table(metrics[part], with_queue_wait=True)


async def _fetch_services(session: Session) -> tuple[Any, str]:
    services = await session.get_all("services")
    metrics = await session.get("metrics", "servers")
    latency: dict[str, dict[str, Any]] = {
        item["name"]: item["latency"] for item in metrics["servers"]
    }
    rows = []
    for service in services:
        for server in service["servers"]:
            summary = latency.get(f"{service['id']}/{server['id']}", NO_LATENCY)
            rows.append(
                [
                    service["id"],
                    server["id"],
                    server["zone"],
                    server["state"],
                    None if server["weight"] is None else round(server["weight"], 2),
                    server["leaving"],
                    summary["n"],
                    *_quantiles(summary, ("p50", "p99")),
                    server["reason"],
                ]
            )
    return services, render_table(SERVER_COLUMNS, rows)


def _series_table(series: list[dict[str, Any]], *, with_queue_wait: bool) -> str:
    rows = []
    for item in series:
        n_requests = sum(item["outcomes"].values())
        n_answered = item["outcomes"].get("answered", 0)
        row = [item["name"], n_answered, n_requests - n_answered]
        row += _quantiles(item["latency"], QUANTILES)
        row += _quantiles(item["queue_wait"], ("p99",)) if with_queue_wait else []
        rows.append(row)
    return render_table(
        SERIES_COLUMNS if with_queue_wait else SERIES_COLUMNS[:-1], rows
    )


def _quantiles(summary: dict[str, Any], names: tuple[str, ...]) -> list[str | None]:
    if not summary["n"]:
        return [None] * len(names)
    return [render_ms(summary[name]) for name in names]


def _summary(status: dict[str, Any]) -> str:
    fresh = "fresh" if status["fresh"] else "not fresh"
    draining = ", draining" if status["draining"] else ""
    location = f"{status['vm']} at {status['site']} in zone {status['zone']}"
    return (
        f"{location}: {fresh}{draining}, "
        f"revision {status['revision']}, {status['in_flight']} requests in flight\n"
        f"{status['n_accounts']} client accounts, {status['n_routes']} routes, "
        f"{status['n_services']} services, {status['n_keys']} keys"
    )
