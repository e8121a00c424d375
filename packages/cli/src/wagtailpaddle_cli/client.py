"""The HTTP client of the administration API, built on treq."""

from collections.abc import Sequence
from typing import Any

import treq
from twisted.internet import error
from twisted.internet.task import deferLater
from twisted.web.client import Agent, RequestNotSent

from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus, error_from_problem
from wagtailpaddle_cli.session import Response, resource_path

CONNECT_TIMEOUT_S = 2.0
LOOKUP_ROUNDS = 4
LOOKUP_INTERVAL_S = 0.5
SUCCESS_STATUSES = range(200, 300)
ERROR_STATUSES = range(400, 600)
NOT_FOUND = 404

NOT_SENT_ERRORS = (error.ConnectError, error.TimeoutError, RequestNotSent)


class NotSent(Exception):
    """The request was not sent to the daemon, so it had no effect there."""


class NoResponse(Exception):
    """The request was sent, but no complete response arrived."""


class HttpClient:
    """Sends each request to the daemons in turn until one responds.

    A change is sent to the next daemon only if the one before certainly did not
    receive it, or reports that the log did not. If a response is lost, the change
    is looked up by its record id. It is sent again only if a daemon that has read
    the log to its end does not have the record, and then with the same id, so
    that it takes effect once.
    """

    def __init__(
        self, reactor: Any, addresses: Sequence[str], token: str, *, timeout_s: float
    ):
        self._reactor = reactor
        self._addresses = addresses
        self._token = token
        self._timeout_s = timeout_s
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self._http = treq.client.HTTPClient(agent)

    async def get(self, path: str) -> Response:
        """Get ``path`` from the first daemon that responds."""
        failures = []
        for address in self._addresses:
            try:
                return _raise_for_status(await self._send(address, "GET", path))
            except (NotSent, NoResponse) as exc:
                failures.append(f"{address}: {exc}")
        raise _unreachable_error(failures)

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
        all_headers = {**headers, "Idempotency-Key": record_id}
        failures = []
        for address in self._addresses:
            try:
                response = await self._send(address, method, path, body, all_headers)
                return _raise_for_status(response)
            except NotSent as exc:
                failures.append(f"{address}: {exc}")
            except NoResponse:
                return await self._resolve_outcome(
                    method, path, body, record_id, all_headers
                )
            except CommandError as exc:
                if exc.status is ExitStatus.UNKNOWN:
                    return await self._resolve_outcome(
                        method, path, body, record_id, all_headers
                    )
                if exc.status is not ExitStatus.UNREACHABLE:
                    raise
                failures.append(f"{address}: {exc}")
        raise _unreachable_error(failures)

    async def _resolve_outcome(
        self,
        method: str,
        path: str,
        body: Any,
        record_id: str,
        headers: dict[str, str],
    ) -> Response:
        may_resend = True
        for _ in range(LOOKUP_ROUNDS):
            for address in self._addresses:
                try:
                    looked_up = await self._send(
                        address, "GET", resource_path(["records", record_id], {})
                    )
                    if looked_up.status != NOT_FOUND:
                        return _raise_for_status(looked_up)
                    if may_resend:
                        may_resend = False
                        resent = await self._send(address, method, path, body, headers)
                        return _raise_for_status(resent)
                except (NotSent, NoResponse):
                    continue
                except CommandError as exc:
                    if exc.status not in (ExitStatus.UNKNOWN, ExitStatus.UNREACHABLE):
                        raise
            await deferLater(self._reactor, LOOKUP_INTERVAL_S)
        detail = f"it is unknown whether record {record_id} takes effect"
        raise CommandError(
            ExitStatus.UNKNOWN, detail, {"detail": detail, "record": record_id}
        )

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        all_headers = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        try:
            response = await self._http.request(
                method,
                f"http://{address}{path}",
                headers=all_headers,
                timeout=self._timeout_s,
                **({} if body is None else {"json": body}),
            )
            return Response(response.code, await treq.json_content(response))
        except NOT_SENT_ERRORS as exc:
            raise NotSent(str(exc)) from None
        except Exception as exc:
            raise NoResponse(repr(exc)) from None


def _raise_for_status(response: Response) -> Response:
    """Return a response that reports success; raise ``CommandError`` otherwise."""
    if response.status in SUCCESS_STATUSES:
        return response
    if response.status not in ERROR_STATUSES:
        detail = f"response with HTTP status {response.status} states no outcome"
        raise CommandError(ExitStatus.UNKNOWN, detail)
    if not isinstance(response.value, dict):
        detail = f"response with HTTP status {response.status} has no problem document"
        raise CommandError(ExitStatus.UNKNOWN, detail)
    raise error_from_problem(response.value)


def _unreachable_error(failures: list[str]) -> CommandError:
    return CommandError(
        ExitStatus.UNREACHABLE,
        "no daemon processed the request: " + "; ".join(failures),
    )
