"""Parsing of the health pages of backend servers.

A server may be broken or state false values, so any page is either parsed or
raises ``PageError``.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Any

from wagtailpaddle_routing import is_leaving, parse_load

COLD_HEADER = "x-cold-ms"
MAX_COLD_CHARS = 16
MAX_PAGE_BYTES = 4096
MAX_STATE_CHARS = 64
LEAVING = "leaving"


class PageError(ValueError):
    """A health page that cannot be parsed."""


@dataclass(frozen=True, slots=True)
class HealthPage:
    """The content of a health page; ``state`` is empty if it is not stated.

    ``cold_s`` is how much longer the server says that it is cold, or None.
    """

    state: str = ""
    load: float | None = None
    cold_s: float | None = None


def parse_page(headers: Mapping[str, str], body: bytes) -> HealthPage:
    """Return the content of a health page; ``headers`` have lower-case names.

    Headers override the members of a body that is a JSON object. Any other body
    is ignored. Raises ``PageError``.

    >>> parse_page({}, b'{"state": "draining", "load": 0.5}')
    HealthPage(state='draining', load=0.5, cold_s=None)
    >>> parse_page({"x-load": "0.25", "x-cold-ms": "1500"}, b"ok")
    HealthPage(state='', load=0.25, cold_s=1.5)
    """
    if len(body) > MAX_PAGE_BYTES:
        raise PageError(f"health page exceeds {MAX_PAGE_BYTES} bytes")
    table = _table(body)
    state = LEAVING if is_leaving(headers) else _state(table)
    load = parse_load(headers)
    load = _load(table) if load is None else load
    return HealthPage(state, load, _cold_s(headers))


def _cold_s(headers: Mapping[str, str]) -> float | None:
    """Return the time that a server stays cold; an unreadable value is ignored."""
    text = headers.get(COLD_HEADER, "").strip()
    if not text or len(text) > MAX_COLD_CHARS:
        return None
    try:
        cold_s = float(text) / 1000.0
    except ValueError:
        return None
    return cold_s if 0.0 <= cold_s < inf else None


def _table(body: bytes) -> dict[str, Any]:
    if not body.lstrip().startswith(b"{"):
        return {}
    try:
        table = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise PageError(f"not a JSON object: {exc}") from None
    return table if isinstance(table, dict) else {}


def _state(table: dict[str, Any]) -> str:
    state = table.get("state", "")
    if not isinstance(state, str) or len(state) > MAX_STATE_CHARS:
        raise PageError("'state' is not a string of at most 64 characters")
    return state.strip().lower()


def _load(table: dict[str, Any]) -> float | None:
    load = table.get("load")
    if load is None:
        return None
    if isinstance(load, bool) or not isinstance(load, int | float):
        raise PageError("'load' is not a number")
    if not 0.0 <= load <= 1.0:
        raise PageError("'load' is not between 0 and 1")
    return float(load)
