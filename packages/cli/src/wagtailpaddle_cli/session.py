"""The session of a command: its client of daemons and its output."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TextIO
from urllib.parse import quote
from uuid import uuid4

from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.tables import render_table

MAX_PAGE_ITEMS = 1000
WAIT_POLL_INTERVAL_S = 0.25
IN_FORCE = "in-force"


@dataclass(frozen=True, slots=True)
class Response:
    """A daemon's HTTP response; ``value`` is its decoded JSON body."""

    status: int
    value: Any


class Client(Protocol):
    """Calls the administration API. Both methods raise ``CommandError``."""

    async def get(self, path: str) -> Response:
        """Get ``path`` from the first daemon that responds."""

    async def change(
        self,
        method: str,
        path: str,
        body: Any,
        *,
        record_id: str,
        headers: dict[str, str],
    ) -> Response:
        """Send a change that must take effect at most once."""


class Session:
    """Calls daemons and prints results for one run of the command line."""

    def __init__(
        self,
        out: TextIO,
        *,
        as_json: bool = False,
        client: Client | None = None,
        sleep: Callable[[float], Awaitable[Any]] | None = None,
    ):
        self._out = out
        self._as_json = as_json
        self._client = client
        self._sleep = sleep

    async def get(self, *segments: str, **query: Any) -> Any:
        """Return the resource whose path consists of ``segments``."""
        return (await self._require_client().get(resource_path(segments, query))).value

    async def get_all(self, *segments: str) -> list[dict[str, Any]]:
        """Return the items of all pages of a list.

        The last name is also the JSON key of the items in each page.
        """
        items: list[dict[str, Any]] = []
        async for page in self.iter_pages(*segments):
            items.extend(page[segments[-1]])
        return items

    async def iter_pages(
        self, *segments: str, **query: Any
    ) -> AsyncIterator[dict[str, Any]]:
        """Yield the pages of a list."""
        after = ""
        while True:
            page = await self.get(*segments, limit=MAX_PAGE_ITEMS, after=after, **query)
            yield page
            if page["next"] is None:
                return
            after = page["next"]

    async def change(
        self,
        method: str,
        segments: Sequence[str],
        body: Any = None,
        *,
        expected: int | None = None,
        must_be_new: bool = False,
        wait_s: float = 0.0,
    ) -> dict[str, Any]:
        """Send a change and return its state as the daemon reports it.

        With ``wait_s``, the state is polled for at most that many seconds until
        it is ``in-force``.
        """
        headers = {}
        if expected is not None:
            headers["If-Match"] = f'"{expected}"'
        if must_be_new:
            headers["If-None-Match"] = "*"
        response = await self._require_client().change(
            method,
            resource_path(segments, {}),
            body,
            record_id=uuid4().hex,
            headers=headers,
        )
        result: dict[str, Any] = response.value
        for _ in range(int(wait_s / WAIT_POLL_INTERVAL_S)):
            if result["state"] == IN_FORCE:
                break
            if self._sleep is not None:
                await self._sleep(WAIT_POLL_INTERVAL_S)
            result.update(await self.get("records", result["record"]))
        return result

    def report_change(
        self, subject: str, result: dict[str, Any], *, wait_s: float
    ) -> ExitStatus:
        """Print the state of a change and return the exit status."""
        counts = f"{result['n_confirmed']} of {result['n_needed']} VMs confirmed"
        state = str(result["state"]).replace("-", " ")
        summary = f"{subject}: {state} ({counts}), revision {result['revision']}"
        self.show(result, summary)
        if wait_s and result["state"] != IN_FORCE:
            return ExitStatus.NOT_IN_FORCE
        return ExitStatus.OK

    def show(self, value: Any, text: str) -> None:
        """Print ``value`` with ``--json``, otherwise ``text``."""
        if self._as_json:
            text = json.dumps(value, indent=2, sort_keys=True)
        self._out.write(text + "\n")

    def show_table(
        self, value: Any, columns: Sequence[str], rows: Sequence[Sequence[Any]]
    ) -> None:
        """Print ``value`` with ``--json``, otherwise a table."""
        self.show(value, render_table(columns, rows))

    def report_failure(self, exc: CommandError, stream: TextIO) -> ExitStatus:
        """Print why a command failed and return its exit status."""
        if self._as_json:
            self.show(exc.problem, "")
        stream.write(f"wagtailpaddle: {exc}\n")
        return exc.status

    def _require_client(self) -> Client:
        assert self._client is not None, "a local command has no client"
        return self._client


def resource_path(segments: Sequence[str], query: dict[str, Any]) -> str:
    """Return the path of a resource of the administration API."""
    path = "/v1/" + "/".join(quote(name, safe="") for name in segments)
    fields = "&".join(
        f"{key}={quote(str(value), safe='')}"
        for key, value in query.items()
        if value not in (None, "")
    )
    return f"{path}?{fields}" if fields else path
