"""Checking of configuration documents and merging of their layers."""

from dataclasses import dataclass, replace
from typing import Any, TypeVar

import msgspec

from wagtailpaddle_config.model import ClientAccount, Route, Server, Service
from wagtailpaddle_config.records import Document

SECTIONS = ("accounts", "routes", "services")

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document: where, which value, and the rule it breaks."""

    path: str
    value: object
    rule: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value!r}: {self.rule}"


class DocumentError(ValueError):
    """A document that breaks rules; ``problems`` lists all that were found."""

    def __init__(self, problems: tuple[Problem, ...]):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def merge(lower: Document, upper: Document) -> Document:
    """Return ``lower`` overlaid by ``upper``; tables merge, values replace.

    >>> merge({"a": {"x": 1, "y": 2}}, {"a": {"y": 3}})
    {'a': {'x': 1, 'y': 3}}
    """
    merged = dict(lower)
    for key, value in upper.items():
        below = merged.get(key)
        if isinstance(below, dict) and isinstance(value, dict):
            merged[key] = merge(below, value)
        else:
            merged[key] = value
    return merged


def build_account(name: str, table: Document) -> ClientAccount:
    """Return the client account that ``table`` states.

    Raises ``DocumentError``.
    """
    account = _convert(f"accounts.{name}", {**table, "id": name}, ClientAccount)
    problems = []
    if account.rate <= 0:
        problems.append(
            Problem(f"accounts.{name}.rate", account.rate, "must be above 0")
        )
    if account.burst < 1:
        problems.append(
            Problem(f"accounts.{name}.burst", account.burst, "must be at least 1")
        )
    return _checked(account, problems)


def build_route(name: str, table: Document) -> Route:
    """Return the route that ``table`` states. Raises ``DocumentError``."""
    route = _convert(f"routes.{name}", {**table, "id": name}, Route)
    problems = []
    if not route.path.startswith("/"):
        problems.append(
            Problem(f"routes.{name}.path", route.path, "must start with '/'")
        )
    if route.timeout_s <= 0:
        problems.append(
            Problem(f"routes.{name}.timeout_s", route.timeout_s, "must be above 0")
        )
    return _checked(route, problems)


def build_service(name: str, table: Document) -> Service:
    """Return the service that ``table`` states. Raises ``DocumentError``."""
    where = f"services.{name}"
    problems: list[Problem] = []
    servers: list[Server] = []
    for server, fields in table.get("servers", {}).items():
        try:
            servers.append(
                _convert(f"{where}.servers.{server}", {**fields, "id": server}, Server)
            )
        except DocumentError as exc:
            problems.extend(exc.problems)
    shallow = {**table, "id": name, "servers": ()}
    try:
        service = _convert(where, shallow, Service)
    except DocumentError as exc:
        raise DocumentError((*problems, *exc.problems)) from None
    if not 0 <= service.floor <= 1:
        problems.append(Problem(f"{where}.floor", service.floor, "must lie in 0 to 1"))
    if not 0 < service.sensitivity <= 1:
        rule = "must be above 0 and at most 1"
        problems.append(Problem(f"{where}.sensitivity", service.sensitivity, rule))
    _checked(service, problems)
    ordered = tuple(sorted(servers, key=lambda server: server.id))
    return replace(service, servers=ordered)


def _checked(value: T, problems: list[Problem]) -> T:
    if problems:
        raise DocumentError(tuple(problems))
    return value


def _convert(path: str, table: Any, kind: type[T]) -> T:
    if not isinstance(table, dict):
        raise DocumentError((Problem(path, table, "must be a table"),))
    unknown = sorted(set(table) - set(kind.__dataclass_fields__))  # type: ignore[attr-defined]
    problems = [
        Problem(f"{path}.{key}", table[key], "is not a known field") for key in unknown
    ]
    known = {key: value for key, value in table.items() if key not in unknown}
    try:
        value = msgspec.convert(known, kind)
    except msgspec.ValidationError as exc:
        problems.append(Problem(path, table, str(exc)))
        raise DocumentError(tuple(problems)) from None
    return _checked(value, problems)
