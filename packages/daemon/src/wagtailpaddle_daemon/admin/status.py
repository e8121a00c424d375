"""Commands that show the state of the fleet, services, records and metrics."""

from typing import Any

import msgspec
from wagtailpaddle_config import Applied, Service, Void
from wagtailpaddle_core import ErrorKind, ServiceId

from wagtailpaddle_daemon.admin.context import HANDLERS, Context, list_page
from wagtailpaddle_daemon.admin.errors import AdminError, error_from_void, not_found
from wagtailpaddle_daemon.admin.ports import Command, Reply
from wagtailpaddle_daemon.metrics import VIEWS
from wagtailpaddle_daemon.metrics_page import CONTENT_TYPE, render_chunks


@HANDLERS.register("GET /v1/status")
async def show_status(context: Context, command: Command) -> Reply:
    """Show the state of this daemon."""
    port = context.port
    node = port.node
    cfg = node.configuration
    value = {
        "vm": port.vm,
        "site": port.cfg.site,
        "zone": port.cfg.zone,
        "revision": cfg.revision,
        "fresh": node.is_fresh(context.now()),
        "draining": node.draining,
        "in_flight": port.gateway.n_in_flight,
        "n_accounts": len(cfg.accounts),
        "n_routes": len(cfg.routes),
        "n_services": len(cfg.services),
        "n_keys": len(cfg.keys),
        "ready": node.is_ready(context.now()),
        "rates": msgspec.to_builtins(node.control.quota.status(context.now())),
        "idempotency": msgspec.to_builtins(node.control.claims.status()),
    }
    return Reply(value)


@HANDLERS.register("GET /v1/fleet")
async def show_fleet(context: Context, command: Command) -> Reply:
    """Show the VMs that this daemon knows."""
    return Reply({"vms": msgspec.to_builtins(context.fleet())})


@HANDLERS.register("GET /v1/services")
async def list_services(context: Context, command: Command) -> Reply:
    """List services with the health of their servers as seen by this VM."""
    services = context.port.node.configuration.services

    def show(name: ServiceId) -> Any:
        return _describe(context, services[name])

    return await list_page(context, command, services, show, "services")


@HANDLERS.register("GET /v1/services/<name>")
async def show_service(context: Context, command: Command, name: str) -> Reply:
    """Show one service with the health of its servers as seen by this VM."""
    service = context.port.node.configuration.services.get(ServiceId(name))
    if service is None:
        raise not_found("service", name)
    return Reply(_describe(context, service))


@HANDLERS.register("GET /v1/records/<record_id>")
async def show_record(context: Context, command: Command, record_id: str) -> Reply:
    """Show the outcome of a change, given the id of its record.

    A refused change gets the same error again. A change that is not among the
    records that the log held at the time of the query is ``not-found``; an
    append still in transit may reach the log later.
    """
    head = await context.port.catch_up()
    result = context.port.node.fold.result_of(record_id)
    match result:
        case Applied():
            state = msgspec.to_builtins(context.acceptance(result.offset))
            value = {"record": record_id, "revision": result.offset, **state}
            return Reply(value, revision=result.offset)
        case Void():
            raise error_from_void(result)
        case _ if head is None:
            detail = f"record {record_id!r} is not known and the log does not answer"
            raise AdminError(ErrorKind.LOG_UNAVAILABLE, detail)
        case _:
            raise not_found("record", record_id)


@HANDLERS.register("GET /v1/metrics/<kind>")
async def show_metrics(context: Context, command: Command, kind: str) -> Reply:
    """Show histograms of ``accounts``, ``routes`` or ``servers`` of this VM."""
    if kind not in VIEWS:
        raise not_found("kind of metrics", kind)
    views = []
    for view in context.metrics.views(kind):
        views.append(msgspec.to_builtins(view))
        await context.yield_to_reactor()
    refusals = dict(context.metrics.refusals)
    return Reply({kind: views, "refusals": refusals})


@HANDLERS.register("GET /metrics")
async def show_metrics_page(context: Context, command: Command) -> Reply:
    """Show the Prometheus page of this VM."""
    node = context.port.node
    chunks = render_chunks(
        context.metrics,
        config=node.config_state(context.now()),
        n_in_flight=context.port.gateway.n_in_flight,
    )
    page = []
    for chunk in chunks:
        page.append(chunk)
        await context.yield_to_reactor()
    return Reply(b"".join(page), content_type=CONTENT_TYPE)


def _describe(context: Context, service: Service) -> dict[str, Any]:
    health = context.port.node.health
    try:
        health_by_server = {
            item.id: item for item in health.server_health(context.now(), service.id)
        }
    except KeyError:
        health_by_server = {}
    servers = []
    for server in service.servers:
        table = msgspec.to_builtins(server)
        server_health = health_by_server.get(server.id)
        table["state"] = server_health.state.value if server_health else "unknown"
        table["weight"] = server_health.weight if server_health else None
        table["reason"] = server_health.reason if server_health else ""
        servers.append(table)
    return {**msgspec.to_builtins(service), "servers": servers}
