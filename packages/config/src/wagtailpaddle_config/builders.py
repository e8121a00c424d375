"""Builders of frozen configuration objects from their merged tables."""

import re
from collections.abc import Callable, Sequence
from dataclasses import replace
from math import isfinite
from typing import Any, TypeVar

import msgspec
from wagtailpaddle_core import Registry

from wagtailpaddle_config.document import DocumentError, Problem
from wagtailpaddle_config.model import ClientAccount, Route, Server, Service
from wagtailpaddle_config.records import Document

MAX_NAME_CHARS = 200
MAX_PORT = 65_535
HEALTH_PATH_PATTERN = re.compile(rf"/[!-~]{{0,{MAX_NAME_CHARS - 1}}}")

T = TypeVar("T")

Builder = Callable[[str, Document], Any]
BUILDERS: Registry[Builder] = Registry("section")


@BUILDERS.register("accounts")
def build_account(name: str, table: Document) -> ClientAccount:
    """Return the client account that ``table`` describes.

    Raises ``DocumentError``.
    """
    where = f"accounts.{name}"
    problems = _name_problems(where, name)
    account = _convert(where, table, name, ClientAccount)
    if not (isfinite(account.rate) and account.rate > 0):
        problems.append(Problem(f"{where}.rate", account.rate, "must be above 0"))
    if not (isfinite(account.burst) and account.burst >= 1):
        problems.append(Problem(f"{where}.burst", account.burst, "must be at least 1"))
    problems += _priority_problems(where, account.priority)
    return _checked(account, problems)


@BUILDERS.register("routes")
def build_route(name: str, table: Document) -> Route:
    """Return the route that ``table`` describes. Raises ``DocumentError``."""
    where = f"routes.{name}"
    problems = _name_problems(where, name)
    route = _convert(where, table, name, Route)
    if not route.path.startswith("/"):
        problems.append(Problem(f"{where}.path", route.path, "must start with '/'"))
    if not (isfinite(route.timeout_s) and route.timeout_s > 0):
        problems.append(
            Problem(f"{where}.timeout_s", route.timeout_s, "must be above 0")
        )
    if route.target_latency_s < 0 or not isfinite(route.target_latency_s):
        problems.append(
            Problem(
                f"{where}.target_latency_s",
                route.target_latency_s,
                "must not be below 0",
            )
        )
    if route.max_attempts < 1:
        problems.append(
            Problem(f"{where}.max_attempts", route.max_attempts, "must be at least 1")
        )
    problems += _priority_problems(where, route.priority)
    for part in route.split:
        if not (isfinite(part.weight) and part.weight > 0):
            problems.append(
                Problem(f"{where}.split.{part.service}", part.weight, "must be above 0")
            )
    for method in route.methods:
        if method != method.upper():
            rule = "methods are written in capitals"
            problems.append(Problem(f"{where}.methods", method, rule))
    return _checked(route, problems)


@BUILDERS.register("services")
def build_service(name: str, table: Document) -> Service:
    """Return the service that ``table`` describes. Raises ``DocumentError``."""
    where = f"services.{name}"
    problems = _name_problems(where, name)
    servers = _build_servers(where, table.get("servers", {}), problems)
    try:
        service = _convert(where, {**table, "servers": ()}, name, Service)
    except DocumentError as exc:
        raise DocumentError((*problems, *exc.problems)) from None
    if not 0 <= service.floor <= 1:
        problems.append(Problem(f"{where}.floor", service.floor, "must lie in 0 to 1"))
    if not 0 < service.sensitivity <= 1:
        rule = "must be above 0 and at most 1"
        problems.append(Problem(f"{where}.sensitivity", service.sensitivity, rule))
    if service.health_path and not HEALTH_PATH_PATTERN.fullmatch(service.health_path):
        rule = f"must start with '/', {MAX_NAME_CHARS} visible ASCII characters at most"
        problems.append(Problem(f"{where}.health_path", service.health_path, rule))
    problems += _warmup_problems(where, service, servers)
    _checked(service, problems)
    ordered = tuple(sorted(servers, key=lambda server: server.id))
    return replace(service, servers=ordered)


def _warmup_problems(
    where: str, service: Service, servers: Sequence[Server]
) -> list[Problem]:
    """Return a problem for each limit of cold servers.

    Daemons with their own log do not share such limits, so each of them would spend
    the whole one.
    """
    values = {
        f"{where}.warmup_per_s": service.warmup_per_s,
        f"{where}.warmup_s": service.warmup_s,
    }
    for server in servers:
        values[f"{where}.servers.{server.id}.warmup_per_s"] = server.warmup_per_s
    rule = "must be 0, cold servers are known on the platform only"
    return [Problem(path, value, rule) for path, value in values.items() if value]


def _build_servers(where: str, tables: Any, problems: list[Problem]) -> list[Server]:
    if not isinstance(tables, dict):
        problems.append(Problem(f"{where}.servers", tables, "must be a table"))
        return []
    servers: list[Server] = []
    name_by_endpoint: dict[tuple[str, int], str] = {}
    for name, fields in tables.items():
        path = f"{where}.servers.{name}"
        try:
            server = _build_server(path, name, fields)
        except DocumentError as exc:
            problems.extend(exc.problems)
            continue
        endpoint = (server.address, server.port)
        existing = name_by_endpoint.setdefault(endpoint, name)
        if existing != name:
            rule = f"is the endpoint of server {existing!r} already"
            problems.append(Problem(path, f"{endpoint[0]}:{endpoint[1]}", rule))
        servers.append(server)
    return servers


def _build_server(path: str, name: str, fields: Any) -> Server:
    problems = _name_problems(path, name)
    server = _convert(path, fields, name, Server)
    if not 1 <= server.port <= MAX_PORT:
        rule = f"must lie in 1 to {MAX_PORT}"
        problems.append(Problem(f"{path}.port", server.port, rule))
    for field, value in (("slots", server.slots), ("connections", server.connections)):
        if value < 1:
            problems.append(Problem(f"{path}.{field}", value, "must be at least 1"))
    return _checked(server, problems)


def _priority_problems(where: str, priority: int) -> list[Problem]:
    if priority < 0:
        return [Problem(f"{where}.priority", priority, "must not be below 0")]
    return []


def _name_problems(path: str, name: str) -> list[Problem]:
    if not 1 <= len(name) <= MAX_NAME_CHARS:
        return [Problem(path, name, f"a name has 1 to {MAX_NAME_CHARS} characters")]
    if not name.isprintable() or " " in name or name.startswith("("):
        rule = "a name is printable, without spaces, and does not start with '('"
        return [Problem(path, name, rule)]
    return []


def _checked(value: T, problems: list[Problem]) -> T:
    if problems:
        raise DocumentError(tuple(problems))
    return value


def _convert(path: str, table: Any, name: str, kind: type[T]) -> T:
    if not isinstance(table, dict):
        raise DocumentError((Problem(path, table, "must be a table"),))
    fields: dict[str, Any] = kind.__dataclass_fields__  # type: ignore[attr-defined]
    problems: list[Problem] = []
    known = {**table, "id": name}
    if "id" in table or not known.keys() <= fields.keys():
        unknown = sorted(table.keys() - fields.keys() | {"id"} & table.keys())
        for key in unknown:
            problems.append(
                Problem(f"{path}.{key}", table[key], "is not a known field")
            )
    try:
        value = msgspec.convert(known, kind)
    except msgspec.ValidationError as exc:
        problems.append(Problem(path, table, str(exc)))
        raise DocumentError(tuple(problems)) from None
    return _checked(value, problems)
