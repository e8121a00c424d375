"""Reads pages at the monitoring addresses of VMs on the users' platform."""

import json
from http.client import HTTPConnection, HTTPException
from typing import Any

from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus, error_from_problem

TIMEOUT_S = 2.0
OK = 200


def fetch_page(address: str, path: str) -> Any:
    """Return the JSON of a page of a VM.

    Raises ``CommandError`` if ``address`` is not ``HOST:PORT``, the VM does not
    respond or the page reports an error.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise CommandError(ExitStatus.USAGE, f"{address!r} is not HOST:PORT")
    conn = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        conn.request("GET", path)
        response = conn.getresponse()
        body = response.read()
        value = json.loads(body) if response.status == OK or _is_json(response) else {}
    except (OSError, HTTPException, ValueError) as exc:
        raise CommandError(
            ExitStatus.UNREACHABLE, str(exc) or type(exc).__name__
        ) from None
    finally:
        conn.close()
    if response.status == OK:
        return value
    if not isinstance(value, dict) or "type" not in value:
        value = {"detail": f"{address} answered {response.status} to {path}"}
    raise error_from_problem(value)


def _is_json(response: Any) -> bool:
    return "json" in (response.getheader("content-type") or "")
