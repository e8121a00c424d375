"""Parsing and validation of operators' request bodies and queries."""

import re
from typing import Any

import msgspec

from wagtailpaddle_daemon.admin.errors import bad_request
from wagtailpaddle_daemon.admin.ports import Command

MAX_PAGE_ITEMS = 1000
DEFAULT_PAGE_ITEMS = 100
MAX_DEPTH = 16
SECRET_HASH = r"[0-9a-f]{64}"


def parse_object(command: Command) -> dict[str, Any]:
    """Return the body as a JSON object."""
    try:
        table = msgspec.json.decode(command.body, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise bad_request(f"the body is not a JSON object: {exc}") from None
    _check_depth(table, 1)
    return table


def parse_secret_hash(command: Command) -> str | None:
    """Return the hash of a secret that the operator made, or None without one."""
    if not command.body:
        return None
    table = parse_object(command)
    unknown = sorted(set(table) - {"secret_hash"})
    if unknown:
        raise bad_request(f"unknown field {unknown[0]!r}; known: secret_hash")
    digest = table.get("secret_hash")
    if digest is None:
        return None
    if not isinstance(digest, str) or not re.fullmatch(SECRET_HASH, digest):
        raise bad_request("secret_hash must be a SHA-256 as 64 lower-case hex digits")
    return digest


def parse_page_query(command: Command) -> tuple[str, int]:
    """Return the name after which a page starts and its maximum length."""
    raw = command.query.get("limit", str(DEFAULT_PAGE_ITEMS))
    if not re.fullmatch(r"[0-9]{1,6}", raw) or not 1 <= int(raw) <= MAX_PAGE_ITEMS:
        raise bad_request(f"limit is {raw!r}; allowed: 1 to {MAX_PAGE_ITEMS}")
    return command.query.get("after", ""), int(raw)


def _check_depth(value: Any, depth: int) -> None:
    if depth > MAX_DEPTH:
        raise bad_request(f"the body is nested deeper than {MAX_DEPTH} levels")
    children: list[Any] = []
    if isinstance(value, dict):
        children = list(value.values())
    elif isinstance(value, list):
        children = value
    for child in children:
        _check_depth(child, depth + 1)
