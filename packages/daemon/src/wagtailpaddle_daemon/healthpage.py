"""The encoding of health pages.

They come from servers that may be broken or lying, so every page is readable
or raises ``PageError``.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wagtailpaddle_routing import is_leaving, parse_load

MAX_PAGE_BYTES = 4096
MAX_STATE_CHARS = 64
LEAVING = "leaving"


class PageError(ValueError):
    """A health page that cannot be read."""


@dataclass(frozen=True, slots=True)
class HealthPage:
    """What a page states; an empty ``state`` says nothing."""

    state: str = ""
    load: float | None = None


def read_page(headers: Mapping[str, str], body: bytes) -> HealthPage:
    """Return what a health page states; ``headers`` have lower-case names.

    A body that is a JSON object may state what the headers do not. Any other
    text counts as a page without statements. Raises ``PageError``.

    >>> read_page({}, b'{"state": "draining", "load": 0.5}')
    HealthPage(state='draining', load=0.5)
    >>> read_page({"x-load": "0.25"}, b"ok")
    HealthPage(state='', load=0.25)
    """
    if len(body) > MAX_PAGE_BYTES:
        raise PageError(f"a page of more than {MAX_PAGE_BYTES} bytes")
    table = _table(body)
    state = LEAVING if is_leaving(headers) else _state(table)
    load = parse_load(headers)
    return HealthPage(state, _load(table) if load is None else load)


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
        raise PageError("the state is no short text")
    return state.strip().lower()


def _load(table: dict[str, Any]) -> float | None:
    load = table.get("load")
    if load is None:
        return None
    if isinstance(load, bool) or not isinstance(load, int | float):
        raise PageError("the load is no number")
    if not 0.0 <= load <= 1.0:
        raise PageError("the load lies outside 0 to 1")
    return float(load)
