"""Inputs of the dispatcher, the actions that it returns, and status reports."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import (
    AccountId,
    ErrorKind,
    RequestId,
    ServerId,
    ServiceId,
    ZoneId,
)

Rank = tuple[int, int]
"""Priority of the client account, then of the route; 0 is the highest."""

MAX_ATTEMPTS = 3
"""Default for how many servers may run a request; a route can override it."""


@dataclass(frozen=True, slots=True)
class Job:
    """An admitted request that is to be sent to a backend server.

    Times are seconds of the caller's monotonic clock. ``weight``, above 0,
    scales the client account's part of a contended service; it should be the
    same for all jobs of an account. ``max_attempts`` bounds how many servers may
    run the request. ``rank`` orders requests under overload, the lowest first.
    ``n_bytes`` is the size of the body.
    """

    id: RequestId
    account: AccountId
    service: ServiceId
    idempotent: bool
    arrived_at: float
    deadline_at: float
    weight: float = 1.0
    max_attempts: int = MAX_ATTEMPTS
    rank: Rank = (0, 0)
    n_bytes: int = 0


@dataclass(frozen=True, slots=True)
class ServerView:
    """A backend server as routing sees it.

    ``weight`` in [0, 1] scales its share of the requests. 0 means none; less
    than 1 means slow start or suspicion. A server on ``probation`` gets
    idempotent requests only. A ``leaving`` server gets no new requests. A server
    with ``verify`` is suspect: it gets the next idempotent request while this
    VM has none in flight there, regardless of its weight. An ``evacuated`` server
    gets no new requests either, and its attempts are no evidence on the service.
    A server is cold until ``cold_until``; it then tolerates ``warmup_per_s``
    requests per second from all VMs together, 0 for any number. One of the VMs that
    use a server has it ``assigned``: this VM sees to it that it gets requests.
    """

    id: ServerId
    zone: ZoneId
    slots: int
    connections: int
    weight: float = 1.0
    probation: bool = False
    leaving: bool = False
    verify: bool = False
    evacuated: bool = False
    cold_until: float = float("-inf")
    warmup_per_s: float = 0.0
    assigned: bool = True


class AttemptOutcome(StrEnum):
    """How one attempt at a backend server ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not-sent"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CUT_SHORT = "cut-short"
    CANCELLED = "cancelled"


NOT_RUN_OUTCOMES = frozenset({AttemptOutcome.SHED, AttemptOutcome.NOT_SENT})
"""Outcomes after which even a non-idempotent request may be tried again."""


FULL_LOAD = 1.0
"""Load at which every slot of a server is in use."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt.

    ``latency_s`` runs from dispatch to the end of the answer. ``load`` is the
    load in [0, 1] that the server reported, or None. ``status`` is 0 without an
    answer. ``committed`` says that a part of the answer was already sent to the
    caller, so that the request cannot be retried. ``stated_limit`` is how many
    requests per second the server states that it takes from all VMs, or None.
    ``rest_s`` is for how long it asks this VM to send nothing, or None.
    """

    outcome: AttemptOutcome
    latency_s: float
    status: int = 0
    load: float | None = None
    committed: bool = False
    stated_limit: float | None = None
    rest_s: float | None = None

    @property
    def is_answer(self) -> bool:
        """Whether the server sent a complete answer."""
        return self.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SHED)

    @property
    def is_shed_with_room(self) -> bool:
        """Whether a server shed the request although it reports free slots."""
        is_shed = self.outcome is AttemptOutcome.SHED
        return is_shed and self.load is not None and self.load < FULL_LOAD


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to ``server``; ask what to do at ``timeout_at``.

    ``Dispatcher.extend_timeout`` then says whether to give up the attempt. The server
    may work until ``deadline_at``, when the request ends.

    ``queued_s`` is how long the request was queued before this attempt;
    ``connections`` is how many connections this VM may have open to the server.
    """

    request: RequestId
    service: ServiceId
    server: ServerId
    attempt: int
    timeout_at: float
    deadline_at: float
    queued_s: float = 0.0
    connections: int = 1


@dataclass(frozen=True, slots=True)
class Deliver:
    """Return the answer of the last attempt to the caller."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with an error of ``kind``."""

    request: RequestId
    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight at ``server``."""

    request: RequestId
    server: ServerId
    attempt: int


Action = Dispatch | Deliver | Refuse | CancelAttempt


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """The state of one server on this VM; ``limit`` bounds ``in_flight``.

    ``stated_limit`` is how many requests per second the server states that it takes
    from all VMs, None if it states no limit. ``rest_s`` is how long this VM still
    leaves the server alone because it asked for it, ``cold_s`` how long the server is
    still cold and limited.
    """

    id: ServerId
    in_flight: int
    limit: float
    hint: float
    usable: bool
    stated_limit: float | None = None
    rest_s: float = 0.0
    zone: ZoneId = ZoneId("")
    cold_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """The state of one service on this VM.

    ``capacity`` is the most requests that this VM keeps in flight;
    ``wait_s`` estimates the queueing time of a request that arrives now.
    """

    service: ServiceId
    n_queued: int
    n_running: int
    n_accounts: int
    capacity: int
    wait_s: float
    retry_tokens: float
    servers: tuple[ServerStatus, ...]
