"""Commands on routes."""

from typing import Any

import msgspec
from wagtailpaddle_config import PutRoute, RemoveRoute, Route
from wagtailpaddle_core import RouteId

from wagtailpaddle_daemon.admin.bodies import parse_object
from wagtailpaddle_daemon.admin.context import HANDLERS, Context, list_page
from wagtailpaddle_daemon.admin.errors import not_found
from wagtailpaddle_daemon.admin.ports import Command, Reply


@HANDLERS.register("GET /v1/routes")
async def list_routes(context: Context, command: Command) -> Reply:
    """List routes, sorted by name."""
    routes = context.port.node.configuration.routes

    def show(name: RouteId) -> Any:
        return _describe(context, routes[name])

    return await list_page(context, command, routes, show, "routes")


@HANDLERS.register("GET /v1/routes/<name>")
async def show_route(context: Context, command: Command, name: str) -> Reply:
    """Show one route."""
    route = context.port.node.configuration.routes.get(RouteId(name))
    if route is None:
        raise not_found("route", name)
    value = _describe(context, route)
    return Reply(value, revision=value["revision"])


@HANDLERS.register("PUT /v1/routes/<name>")
async def put_route(context: Context, command: Command, name: str) -> Reply:
    """Create or change a route; the body holds only the fields to set."""
    exists = name in context.port.node.configuration.routes
    change = PutRoute(RouteId(name), parse_object(command))
    return await context.change(command, change, exists=exists)


@HANDLERS.register("DELETE /v1/routes/<name>")
async def remove_route(context: Context, command: Command, name: str) -> Reply:
    """Remove the fields of a route that operators set."""
    return await context.change(command, RemoveRoute(RouteId(name)))


def _describe(context: Context, route: Route) -> dict[str, Any]:
    revision = context.revision_of(f"route/{route.id}")
    return {**msgspec.to_builtins(route), "revision": revision}
