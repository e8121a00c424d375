"""Load generator whose callers find the daemons through the directory.

Reads a plan as JSON from a file and writes one JSON line for each request.
Arrivals are open-loop: a slow response does not delay the next request. Backend
servers must repeat the request's path in the body; a response without it
belongs to another request or is truncated, and counts as wrong.
"""

import argparse
import json
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from random import Random
from typing import Any, TextIO

import msgspec
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import Agent
from twisted.web.http_headers import Headers
from wagtailpaddle_daemon.upstream import BytesProducer

from wagtailpaddle_standins.attempts import Outcome, outcome_from_error
from wagtailpaddle_standins.kept_connections import KeptConnections

DIRECTORY_PATH = "/.well-known/wagtailpaddle/addresses"
DIRECTORY_TIMEOUT_S = 2.0
MAX_TRIES = 6
RETRY_DELAY_S = 0.1
IDLE_TIMEOUT_S = 1.0
WRONG_ANSWER = "wrong-answer"


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """The load of one client account: ``rate`` requests per second in total.

    ``paths`` are entries "METHOD /path", used in turn; a number that is unique
    in the run is appended to each path. With ``keyed`` every POST carries its
    own idempotency key.
    """

    account: str
    secret: str
    rate: float
    paths: tuple[str, ...]
    timeout_s: float = 5.0
    keyed: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A load run of ``duration_s`` seconds.

    ``seeds`` are the addresses at which the directory is first queried. ``label``
    makes the paths of several load runs on one system distinct.
    """

    seeds: tuple[str, ...]
    callers: tuple[CallerPlan, ...]
    duration_s: float
    seed: int = 1
    label: str = "load"


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of one request; ``at`` is its start in wall-clock seconds."""

    number: int
    account: str
    method: str
    path: str
    at: float
    latency_s: float
    status: int
    kind: str
    n_tries: int
    address: str
    may_have_run: bool


class AddressCache:
    """Cached addresses from the directory and when they expire."""

    def __init__(self, seeds: Sequence[str]):
        self._seeds = tuple(seeds)
        self.listed: tuple[str, ...] = ()
        self.expires_at = 0.0

    def candidates(self) -> tuple[str, ...]:
        """Return the addresses in order of preference; the seeds come last."""
        others = [seed for seed in self._seeds if seed not in self.listed]
        return (*self.listed, *others)

    def update(self, now: float, response: dict[str, Any]) -> None:
        """Cache a response of the directory."""
        self.listed = tuple(response["addresses"])
        self.expires_at = now + float(response["keep_s"])


class Caller:
    """Sends the requests of one client account."""

    def __init__(self, plan: CallerPlan, load_plan: Plan, out: TextIO):
        self._plan = plan
        self._label = load_plan.label
        self._out = out
        self._addresses = AddressCache(load_plan.seeds)
        pool = KeptConnections(reactor)
        pool.retryAutomatically = False
        pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        pool.maxPersistentPerHost = 32
        self._agent = Agent(reactor, pool=pool, connectTimeout=1.0)

    async def run(self, numbers: Sequence[int], starts: Sequence[float]) -> None:
        """Send one request at each of the given reactor times."""
        loop: Any = reactor
        running = []
        for index, (number, start) in enumerate(zip(numbers, starts, strict=True)):
            await deferLater(loop, max(0.0, start - loop.seconds()))
            method, _, path = self._plan.paths[index % len(self._plan.paths)].partition(
                " "
            )
            running.append(Deferred.fromCoroutine(self._request(number, method, path)))
        await gatherResults(running)

    async def _request(self, number: int, method: str, path: str) -> None:
        started = time.monotonic()
        at = time.time()
        path = f"{path}/{self._label}-{number}"
        deadline = started + self._plan.timeout_s
        outcome = Outcome(0, "no-address", may_have_run=False)
        address = ""
        tried: list[str] = []
        while len(tried) < MAX_TRIES and time.monotonic() < deadline:
            address = await self._next_address(tried)
            tried.append(address)
            remaining_s = deadline - time.monotonic()
            outcome = await self._attempt(address, method, path, number, remaining_s)
            is_idempotent = method == "GET" or self._plan.keyed
            if outcome.status == 200 or not outcome.should_retry(is_idempotent):
                break
            await deferLater(reactor, RETRY_DELAY_S)
        done = RequestResult(
            number,
            self._plan.account,
            method,
            path,
            at,
            time.monotonic() - started,
            outcome.status,
            outcome.kind,
            len(tried),
            address,
            outcome.may_have_run,
        )
        self._out.write(json.dumps(asdict(done)) + "\n")

    async def _next_address(self, tried: Sequence[str]) -> str:
        """Return the preferred address among those tried least often."""
        now = time.monotonic()
        if now >= self._addresses.expires_at or tried:
            await self._query_directory(now)
        return min(self._addresses.candidates(), key=tried.count)

    async def _query_directory(self, now: float) -> None:
        for address in self._addresses.candidates():
            headers = Headers({"Authorization": [f"Bearer {self._plan.secret}"]})
            url = f"http://{address}{DIRECTORY_PATH}".encode()
            try:
                pending = self._agent.request(b"GET", url, headers)
                pending.addTimeout(DIRECTORY_TIMEOUT_S, reactor)
                response = await pending
                body = await treq.content(response)
                self._addresses.update(now, json.loads(body))
                return
            except Exception:  # noqa: S112
                continue

    async def _attempt(
        self, address: str, method: str, path: str, number: int, remaining_s: float
    ) -> Outcome:
        headers = Headers({"Authorization": [f"Bearer {self._plan.secret}"]})
        headers.addRawHeader(
            "X-Request-Timeout-Ms", str(max(1, int(remaining_s * 1000)))
        )
        producer = None
        if method == "POST":
            producer = BytesProducer(b"request %d" % number)
            if self._plan.keyed:
                headers.addRawHeader("Idempotency-Key", f"{self._label}-{number}")
        url = f"http://{address}{path}".encode()
        try:
            pending = self._agent.request(method.encode(), url, headers, producer)
            pending.addTimeout(remaining_s + 0.5, reactor)
            response = await pending
            body = await treq.content(response)
        except Exception as exc:
            return outcome_from_error(exc)
        if response.code == 200 and path.encode() not in body:
            return Outcome(0, WRONG_ANSWER, may_have_run=True)
        return Outcome.from_response(response.code, response.headers, body)


def arrivals(rate: float, duration_s: float, random: Random) -> list[float]:
    """Return Poisson arrival times within ``duration_s`` seconds."""
    times = []
    at = random.expovariate(rate)
    while at < duration_s:
        times.append(at)
        at += random.expovariate(rate)
    return times


async def run(plan: Plan, out: TextIO) -> None:
    """Run the load of all callers in ``plan`` and write the results to ``out``."""
    loop: Any = reactor
    random = Random(plan.seed)
    start_at = loop.seconds() + 0.1
    running = []
    n_requests = 0
    for caller_plan in plan.callers:
        starts = arrivals(caller_plan.rate, plan.duration_s, random)
        numbers = range(n_requests, n_requests + len(starts))
        n_requests += len(starts)
        caller = Caller(caller_plan, plan, out)
        coroutine = caller.run(numbers, [start_at + start for start in starts])
        running.append(Deferred.fromCoroutine(coroutine))
    await gatherResults(running)


def main() -> None:
    """Run the plan in the file named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plan", help="file with the plan as JSON")
    parser.add_argument(
        "--output",
        default="-",
        help="file for the result lines (default: standard output)",
    )
    args = parser.parse_args()
    with open(args.plan, "rb") as source:
        plan = msgspec.json.decode(source.read(), type=Plan)
    loop: Any = reactor
    with sys.stdout if args.output == "-" else open(args.output, "w") as out:
        running = Deferred.fromCoroutine(run(plan, out))
        running.addErrback(lambda failure: failure.printTraceback())
        running.addBoth(lambda _: loop.stop())
        loop.run()


if __name__ == "__main__":
    main()
