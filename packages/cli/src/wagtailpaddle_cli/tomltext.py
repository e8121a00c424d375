"""Encoding of configuration documents as TOML."""

import json
import re
from typing import Any


def render_toml(document: dict[str, Any]) -> str:
    """Return ``document`` as TOML, with tables sorted by name.

    >>> print(render_toml({"accounts": {"x": {"rate": 5.0}}}))
    [accounts.x]
    rate = 5.0
    """
    return "\n\n".join(_render_tables(document, ()))


def _render_tables(table: dict[str, Any], path: tuple[str, ...]) -> list[str]:
    values = {key: value for key, value in table.items() if not isinstance(value, dict)}
    tables = {key: value for key, value in table.items() if isinstance(value, dict)}
    rendered = []
    if values or (path and not tables):
        header = [f"[{'.'.join(_key(name) for name in path)}]"] if path else []
        lines = [
            f"{_key(key)} = {render_value(value)}" for key, value in values.items()
        ]
        rendered.append("\n".join([*header, *lines]))
    for key in sorted(tables):
        rendered.extend(_render_tables(tables[key], (*path, key)))
    return rendered


def render_value(value: Any) -> str:
    """Return the TOML text of a value that is not a table."""
    match value:
        case bool():
            return "true" if value else "false"
        case list() | tuple():
            return "[" + ", ".join(render_value(item) for item in value) + "]"
        case str():
            return json.dumps(value, ensure_ascii=False)
        case _:
            return repr(value)


def _key(name: str) -> str:
    return name if re.fullmatch(r"[A-Za-z0-9_-]+", name) else json.dumps(name)
