"""The page that explains where a request would go: its query and its JSON."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import unquote

import msgspec
from wagtailpaddle_core import AccountId, ErrorKind, VmId, WagtailError
from wagtailpaddle_node import RequestDescription, RequestNode

from wagtailpaddle_daemon.dialect import Dialect
from wagtailpaddle_daemon.request_parsing import Target, check_path, parse_timeout

FIELDS = ("method", "host", "path", "account", "timeout_ms")
DEFAULT_METHOD = "GET"


def explain_request(
    node: RequestNode,
    now: float,
    vm: VmId,
    query: Mapping[str, str],
    dialect: Dialect,
) -> dict[str, Any]:
    """Return the JSON object that explains the request in ``query``.

    Raises ``WagtailError`` for a query that describes no request.
    """
    asked = parse_description(query, dialect)
    explained = msgspec.to_builtins(node.explain(now, asked))
    return {"vm": vm, "request": msgspec.to_builtins(asked), **explained}


def parse_description(query: Mapping[str, str], dialect: Dialect) -> RequestDescription:
    """Return the request that a query describes, as the front end would read it.

    Raises ``WagtailError``.
    """
    unknown = sorted(set(query) - set(FIELDS))
    if unknown:
        known = ", ".join(FIELDS)
        detail = f"unknown field {unknown[0]!r}; known: {known}"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    target = Target(query.get("host", "").encode(), query.get("path", "").encode())
    path = target.path.decode("latin-1")
    if dialect.decodes_paths:
        path = unquote(path, errors="replace")
    check_path(path)
    timeout_ms = query.get("timeout_ms", "")
    return RequestDescription(
        host=target.host_name,
        path=path,
        method=query.get("method", "") or DEFAULT_METHOD,
        account=AccountId(query["account"]) if query.get("account") else None,
        timeout_s=parse_timeout(timeout_ms.encode()) if timeout_ms else None,
    )
