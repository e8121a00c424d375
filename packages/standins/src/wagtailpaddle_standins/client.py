"""A small blocking HTTP client for the demo and for tests of processes."""

import http.client
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

REQUEST_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class Client:
    """A persistent connection to one address."""

    def __init__(self, address: str, *, token: str = ""):
        self._conn = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Reply:
        """Send one request and return the complete response.

        Raises ``OSError`` or ``http.client.HTTPException``.
        """
        self.begin(method, path, body, headers, timeout_s=timeout_s)
        return self.end()

    def begin(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        """Send one request without waiting; ``end`` returns the response."""
        self._conn.timeout = timeout_s
        if self._conn.sock is not None:
            self._conn.sock.settimeout(timeout_s)
        merged = {**self._headers, **(headers or {})}
        self._conn.request(method, path, body=body, headers=merged)

    def end(self) -> Reply:
        """Wait for the response to the request sent by ``begin`` and return it."""
        response = self._conn.getresponse()
        lower_case_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Reply(response.status, lower_case_headers, response.read())

    def send(self, method: str, path: str, value: object) -> Reply:
        """Send a request with ``value`` as its JSON body."""
        return self.request(method, path, json.dumps(value).encode())

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()


def wait_for(condition: Callable[[], bool], *, timeout_s: float = 15.0) -> bool:
    """Poll ``condition``; return whether it became true within ``timeout_s``.

    Connection and HTTP errors count as false.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if condition():
                return True
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    return False
