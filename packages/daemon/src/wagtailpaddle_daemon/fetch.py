"""HTTP GET client for the platform's services, with a time-out."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, readBody

from wagtailpaddle_daemon.strict_client import StrictConnectionPool


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """A complete response."""

    status: int
    body: bytes


class Fetcher:
    """Sends GET requests over persistent connections, without retries.

    It uses Twisted's agent and not treq: with several reads a second, treq's
    cookies, redirects and URL decoding take longer than the read itself.
    """

    def __init__(self, reactor: Any, *, timeout_s: float):
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._agent = Agent(reactor, pool=StrictConnectionPool(reactor))

    def get(self, url: str) -> Deferred[FetchedResponse]:
        """Return the response of ``url``, which must be ASCII.

        Fails with an error of the connection, or if the response was not complete
        within ``timeout_s`` seconds.
        """
        fetched = Deferred.fromCoroutine(self._get(url.encode("ascii")))
        return fetched.addTimeout(self._timeout_s, self._reactor)

    async def _get(self, url: bytes) -> FetchedResponse:
        response = await self._agent.request(b"GET", url)
        return FetchedResponse(response.code, await readBody(response))
