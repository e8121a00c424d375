"""Clients of the platform's log service and their common interface."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
import treq
from twisted.internet.defer import Deferred
from twisted.web.client import Agent
from wagtailpaddle_core import Offset, Registry

from wagtailpaddle_daemon.fetch import Fetcher
from wagtailpaddle_daemon.strict_client import StrictConnectionPool

READ_TIMEOUT_S = 2.0
APPEND_TIMEOUT_S = 2.0
MAX_READ_RECORDS = 500


class LogError(Exception):
    """The log service did not answer, or answered with an error."""


class LogTrimmed(LogError):
    """The records before offset ``first`` were trimmed."""

    def __init__(self, first: Offset):
        super().__init__(f"the log starts at offset {first}")
        self.first = first


@dataclass(frozen=True, slots=True)
class LogRead:
    """Result of a read; ``head`` is the offset that the next append will get."""

    first: Offset
    head: Offset
    records: tuple[tuple[Offset, bytes], ...]


class LogClient(Protocol):
    """Interface of a log service.

    Both methods raise ``LogError``. An append that raised it may nevertheless
    have taken effect.
    """

    def read(self, stream: str, start: Offset) -> Deferred[LogRead]:
        """Return records of ``stream`` from offset ``start`` on."""

    def append(self, stream: str, data: bytes) -> Deferred[Offset]:
        """Append one record and return its offset."""


LOG_ADAPTERS: Registry[Callable[..., LogClient]] = Registry("log adapter")


@LOG_ADAPTERS.register("http")
class HttpLogClient:
    """Client of a log service with an HTTP and JSON interface."""

    def __init__(self, reactor: Any, url: str):
        self._url = url
        self._fetcher = Fetcher(reactor, timeout_s=READ_TIMEOUT_S)
        agent = Agent(reactor, pool=StrictConnectionPool(reactor))
        self._http = treq.client.HTTPClient(agent)

    async def _read(self, stream: str, start: Offset) -> LogRead:
        url = f"{self._url}/streams/{stream}?from={start}&limit={MAX_READ_RECORDS}"
        response = await self._fetcher.get(url)
        body = msgspec.json.decode(response.body)
        if response.status == 410:
            raise LogTrimmed(int(body["first"]))
        if response.status != 200:
            raise LogError(f"log answered {response.status} to a read of {stream!r}")
        records = tuple(
            (int(item["offset"]), item["data"].encode()) for item in body["records"]
        )
        return LogRead(int(body["first"]), int(body["head"]), records)

    async def _append(self, stream: str, data: bytes) -> Offset:
        response = await self._http.post(
            f"{self._url}/streams/{stream}", data=data, timeout=APPEND_TIMEOUT_S
        )
        body = await response.json()
        if response.code != 200:
            raise LogError(f"log answered {response.code} to an append to {stream!r}")
        return int(body["offset"])

    def read(self, stream: str, start: Offset) -> Deferred[LogRead]:
        """Return records of ``stream`` from offset ``start`` on."""
        return Deferred.fromCoroutine(_with_log_errors(self._read(stream, start)))

    def append(self, stream: str, data: bytes) -> Deferred[Offset]:
        """Append one record and return its offset."""
        return Deferred.fromCoroutine(_with_log_errors(self._append(stream, data)))


async def _with_log_errors(coroutine: Any) -> Any:
    """Await ``coroutine`` and convert any exception to ``LogError``."""
    try:
        return await coroutine
    except LogError:
        raise
    except Exception as exc:
        raise LogError(f"log service: {exc!r}") from exc
