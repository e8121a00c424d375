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


@dataclass(frozen=True, slots=True)
class Job:
    """A request that was admitted and wants a backend server.

    Times are seconds of the caller's monotonic clock.
    """

    id: RequestId
    account: AccountId
    service: ServiceId
    idempotent: bool
    arrived_at: float
    deadline_at: float


@dataclass(frozen=True, slots=True)
class ServerView:
    """What routing knows of a backend server.

    ``weight`` in [0, 1] scales its share of the work: 0 takes none, less than
    1 is slow start or reduced trust. A ``probation`` server takes idempotent
    requests only. A ``leaving`` one takes no new work.
    """

    id: ServerId
    zone: ZoneId
    slots: int
    connections: int
    weight: float = 1.0
    probation: bool = False
    leaving: bool = False


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


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to ``server``; give up at ``timeout_at``."""

    request: RequestId
    service: ServiceId
    server: ServerId
    attempt: int
    timeout_at: float


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
