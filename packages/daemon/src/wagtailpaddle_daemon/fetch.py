"""Reads of the platform's services: one GET, one whole answer, in bounded time."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody


@dataclass(frozen=True, slots=True)
class Fetched:
    """A whole answer."""

    status: int
    body: bytes


class Fetcher:
    """Sends GET requests over kept connections; nothing is sent twice.

    Reads go to a plain agent: what treq adds (cookies, redirects, decoding of
    URLs) takes longer than the read itself, several times a second.
    """

    def __init__(self, reactor: Any, *, timeout_s: float):
        self._reactor = reactor
        self._timeout_s = timeout_s
        pool = HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool)

    def get(self, url: str) -> Deferred[Fetched]:
        """Return the answer of ``url``, which holds ASCII characters only.

        Fails with an error of the connection, or if the answer was not whole
        after ``timeout_s`` seconds.
        """
        fetched = Deferred.fromCoroutine(self._get(url.encode("ascii")))
        return fetched.addTimeout(self._timeout_s, self._reactor)

    async def _get(self, url: bytes) -> Fetched:
        answer = await self._agent.request(b"GET", url)
        return Fetched(answer.code, await readBody(answer))
