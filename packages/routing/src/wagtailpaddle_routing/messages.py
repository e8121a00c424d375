"""What goes into the dispatcher and what comes out of it."""

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
"""To how many servers a request is sent unless its route says otherwise."""


@dataclass(frozen=True, slots=True)
class Job:
    """A request that was admitted and wants a backend server.

    Times are seconds of the caller's monotonic clock. ``weight`` above 0
    scales the client account's part of a contended service; every job of one
    account should carry the same. ``max_attempts`` bounds the servers that it
    is sent to. ``rank`` orders requests under overload, the lowest first.
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


@dataclass(frozen=True, slots=True)
class ServerView:
    """What routing knows of a backend server.

    ``weight`` in [0, 1] scales its share of the work: 0 takes none, less than
    1 is slow start or reduced trust. A ``probation`` server takes idempotent
    requests only. A ``leaving`` one takes no new work. A server to ``verify``
    is under suspicion: it gets the next idempotent request while this VM has
    none in flight there, whatever its weight.
    """

    id: ServerId
    zone: ZoneId
    slots: int
    connections: int
    weight: float = 1.0
    probation: bool = False
    leaving: bool = False
    verify: bool = False


class AttemptOutcome(StrEnum):
    """How one attempt at a backend server ended."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_SENT = "not-sent"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CUT_SHORT = "cut-short"
    CANCELLED = "cancelled"


SURELY_NOT_RUN = frozenset({AttemptOutcome.SHED, AttemptOutcome.NOT_SENT})
"""Outcomes after which even a non-idempotent request may be tried again."""


FULL_LOAD = 1.0
"""Load at which every slot of a server is taken."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt.

    ``latency_s`` runs from dispatch to the end of the answer. ``load`` is the
    server's own report in [0, 1], a hint, or None. ``status`` is 0 without an
    answer. ``committed`` says that a part of the answer has gone to the caller,
    so that no other attempt can take its place.
    """

    outcome: AttemptOutcome
    latency_s: float
    status: int = 0
    load: float | None = None
    committed: bool = False

    @property
    def is_shed_with_room(self) -> bool:
        """Whether a server that says that it has room turned the request away."""
        is_shed = self.outcome is AttemptOutcome.SHED
        return is_shed and self.load is not None and self.load < FULL_LOAD


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to ``server``; give up at ``timeout_at``.

    ``queued_s`` is how long the request waited for this attempt;
    ``connections`` is how many this VM may have open to the server.
    """

    request: RequestId
    service: ServiceId
    server: ServerId
    attempt: int
    timeout_at: float
    queued_s: float = 0.0
    connections: int = 1


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass the answer of the last attempt on to the caller."""

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
    """Tell ``server`` that nobody waits for this attempt any more."""

    request: RequestId
    server: ServerId
    attempt: int


Action = Dispatch | Deliver | Refuse | CancelAttempt


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """What this VM does with one server: ``limit`` bounds its ``in_flight``."""

    id: ServerId
    in_flight: int
    limit: float
    hint: float
    usable: bool


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """The state of one service on this VM.

    ``capacity`` is how many requests this VM keeps in flight at most;
    ``wait_s`` estimates the wait of a request that arrives now.
    """

    service: ServiceId
    n_queued: int
    n_running: int
    n_accounts: int
    capacity: int
    wait_s: float
    retry_tokens: float
    servers: tuple[ServerStatus, ...]
