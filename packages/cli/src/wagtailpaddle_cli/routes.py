"""Commands on routes."""

from argparse import BooleanOptionalAction, Namespace
from typing import Any

from wagtailpaddle_cli.commands import EXPECTED_REVISION, WAIT, arg, command, finite
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.session import Session

COLUMNS = ("id", "host", "path", "methods", "service", "idempotent", "open", "revision")
FIELDS = (
    "path",
    "service",
    "host",
    "methods",
    "open",
    "idempotent",
    "accounts",
    "timeout_s",
)
NAME = arg("name", help="name of the route")


@command("route list", "list routes")
async def list_routes(session: Session, args: Namespace) -> ExitStatus:
    """Print all routes."""
    routes = await session.get_all("routes")
    session.show_table(routes, COLUMNS, [_row(route) for route in routes])
    return ExitStatus.OK


@command("route show", "show a route", NAME)
async def show_route(session: Session, args: Namespace) -> ExitStatus:
    """Print one route."""
    route = await session.get("routes", args.name)
    columns = (*COLUMNS, "accounts", "timeout_s")
    row = (*_row(route), route["accounts"], route["timeout_s"])
    session.show_table(route, columns, [row])
    return ExitStatus.OK


@command(
    "route put",
    "create a route, or change the given fields of a route",
    NAME,
    arg("--path", help="path prefix, such as /deliveries"),
    arg("--service", help="service that serves the route"),
    arg("--host", help="host that requests must name; any host if not set"),
    arg(
        "--method", dest="methods", action="append", help="HTTP method; may be repeated"
    ),
    arg(
        "--account",
        dest="accounts",
        action="append",
        help="allowed client account; may be repeated",
    ),
    arg("--open", action=BooleanOptionalAction, help="requires no key"),
    arg(
        "--idempotent",
        action=BooleanOptionalAction,
        help="requests may run more than once without harm",
    ),
    arg("--timeout-s", type=finite, help="request time-out in seconds"),
    EXPECTED_REVISION,
    WAIT,
)
async def put_route(session: Session, args: Namespace) -> ExitStatus:
    """Create a route or change its given fields."""
    given = {name: getattr(args, name) for name in FIELDS}
    fields = {name: value for name, value in given.items() if value is not None}
    if not fields:
        raise CommandError(ExitStatus.USAGE, "specify at least one field of the route")
    result = await session.change(
        "PUT", ("routes", args.name), fields, expected=args.expected, wait_s=args.wait
    )
    return session.report_change(f"route {args.name}", result, wait_s=args.wait)


@command(
    "route remove",
    "remove the fields of a route that operators set",
    NAME,
    EXPECTED_REVISION,
    WAIT,
)
async def remove_route(session: Session, args: Namespace) -> ExitStatus:
    """Remove the fields of a route that operators set."""
    result = await session.change(
        "DELETE", ("routes", args.name), expected=args.expected, wait_s=args.wait
    )
    return session.report_change(f"route {args.name}", result, wait_s=args.wait)


def _row(route: dict[str, Any]) -> tuple[Any, ...]:
    return tuple(route[column] for column in COLUMNS)
