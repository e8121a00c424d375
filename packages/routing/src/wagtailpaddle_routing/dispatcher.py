"""The dispatcher: from admitted requests to attempts at backend servers."""

from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import ErrorKind, RequestId, ServerId, ServiceId

from wagtailpaddle_routing.choose import CHOOSERS, Candidate
from wagtailpaddle_routing.messages import (
    SURELY_NOT_RUN,
    Action,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Job,
    Refuse,
    ServerView,
)

MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _Running:
    job: Job
    server: ServerId
    attempt: int
    tried: frozenset[ServerId]


class Dispatcher:
    """Chooses servers and decides on retries for the requests of one VM.

    Every method takes the present time ``now`` in seconds and returns actions
    for the front end to carry out, in order.
    """

    def __init__(self, *, chooser: str = "two-choices", seed: int = 0):
        self._chooser = CHOOSERS[chooser]
        self._random = Random(seed)
        self._servers: dict[ServiceId, tuple[ServerView, ...]] = {}
        self._in_flight: dict[ServerId, int] = {}
        self._running: dict[RequestId, _Running] = {}

    @property
    def n_pending(self) -> int:
        """How many requests wait or run."""
        return len(self._running)

    def set_servers(
        self, now: float, service: ServiceId, servers: tuple[ServerView, ...]
    ) -> tuple[Action, ...]:
        """Replace what is known of the servers of a service."""
        self._servers[service] = servers
        return ()

    def arrive(self, now: float, job: Job) -> tuple[Action, ...]:
        """Take in an admitted request."""
        return self._try(now, job, 1, frozenset())

    def finish(
        self, now: float, request: RequestId, result: AttemptResult
    ) -> tuple[Action, ...]:
        """Take in the end of the running attempt of ``request``."""
        running = self._running.pop(request, None)
        if running is None:
            return ()
        self._in_flight[running.server] -= 1
        if result.outcome is AttemptOutcome.ANSWERED:
            return (Deliver(request),)
        may_repeat = running.job.idempotent or result.outcome in SURELY_NOT_RUN
        if may_repeat and not result.committed and running.attempt < MAX_ATTEMPTS:
            tried = running.tried | {running.server}
            return self._try(now, running.job, running.attempt + 1, tried)
        if result.outcome in SURELY_NOT_RUN:
            kind = ErrorKind.NO_HEALTHY_SERVER
        elif running.job.idempotent:
            kind = ErrorKind.SERVER_FAILED
        else:
            kind = ErrorKind.OUTCOME_UNKNOWN
        return (Refuse(request, kind, f"last attempt: {result.outcome.value}"),)

    def cancel(self, now: float, request: RequestId) -> tuple[Action, ...]:
        """The caller went away."""
        running = self._running.pop(request, None)
        if running is None:
            return ()
        self._in_flight[running.server] -= 1
        return (CancelAttempt(request, running.server, running.attempt),)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Act on the passing of time."""
        return ()

    def _try(
        self, now: float, job: Job, attempt: int, tried: frozenset[ServerId]
    ) -> tuple[Action, ...]:
        if now >= job.deadline_at:
            detail = "no server was free before the deadline"
            return (Refuse(job.id, ErrorKind.DEADLINE_EXCEEDED, detail),)
        candidates = [
            Candidate(server, self._in_flight.get(server.id, 0))
            for server in self._servers.get(job.service, ())
            if server.weight > 0 and not server.leaving and server.id not in tried
        ]
        if not candidates:
            detail = f"service {job.service!r} has no server to try"
            return (Refuse(job.id, ErrorKind.NO_HEALTHY_SERVER, detail),)
        server = self._chooser(candidates, self._random).server
        self._in_flight[server.id] = self._in_flight.get(server.id, 0) + 1
        self._running[job.id] = _Running(job, server.id, attempt, tried)
        return (Dispatch(job.id, job.service, server.id, attempt, job.deadline_at),)
