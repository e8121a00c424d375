"""Retry decisions, and the error kinds that a refusal may state."""

from enum import StrEnum

from wagtailpaddle_core import ANSWERS, ErrorKind, InvariantError, Outcome, ServerId

from wagtailpaddle_routing.messages import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    AttemptResult,
    Job,
)
from wagtailpaddle_routing.server import Server

MAX_NOT_SENT = 10
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class State(StrEnum):
    """The state of a pending request."""

    QUEUED = "queued"
    RUNNING = "running"
    OVER = "over"


class PendingRequest:
    """A request that is not yet answered.

    ``may_have_run`` is set by the first attempt that a server may have run, and
    never reset. ``drop_kind`` is the error kind if the request must not be retried
    after the running attempt.
    """

    __slots__ = (
        "charged_s",
        "drop_kind",
        "expected_s",
        "failed_on",
        "job",
        "may_have_run",
        "n_attempts",
        "n_failed",
        "n_not_sent",
        "n_shed",
        "n_timed_out",
        "server",
        "shed_by",
        "started_at",
        "state",
        "waiting_since",
    )

    def __init__(self, job: Job, waiting_since: float) -> None:
        self.job = job
        self.waiting_since = waiting_since
        self.state: State = State.QUEUED
        self.server: Server | None = None
        self.n_attempts: int = 0
        self.n_shed: int = 0
        self.n_failed: int = 0
        self.n_timed_out: int = 0
        self.n_not_sent: int = 0
        self.failed_on: frozenset[ServerId] = frozenset()
        self.shed_by: frozenset[ServerId] = frozenset()
        self.may_have_run: bool = False
        self.drop_kind: ErrorKind | None = None
        self.started_at: float = 0.0
        self.charged_s: float = 0.0
        self.expected_s: float = 0.0

    @property
    def running_server(self) -> Server:
        """The server of the running attempt."""
        if self.server is None:
            raise InvariantError(f"request {self.job.id!r} does not run")
        return self.server


class Step(StrEnum):
    """What to do with a request whose attempt has ended."""

    DELIVER = "deliver"
    RETRY = "retry"
    WAIT = "wait"
    RETRY_OR_DELIVER = "retry-or-deliver"
    REFUSE = "refuse"
    DROP = "drop"


def next_step(
    pending: PendingRequest,
    result: AttemptResult,
    now: float,
    *,
    error_retries: int = 1,
) -> Step:
    """Return what to do next, without regard to the retry budget.

    ``error_retries`` is how many times an answer with a server error is retried.
    """
    if result.outcome is AttemptOutcome.ANSWERED:
        if pending.drop_kind is None and may_retry_error(
            pending, result, now, error_retries
        ):
            return Step.RETRY_OR_DELIVER
        return Step.DELIVER
    if result.committed or now >= pending.job.deadline_at:
        return Step.REFUSE
    if pending.drop_kind is not None:
        return Step.DROP
    if not pending.job.idempotent and pending.may_have_run:
        return Step.REFUSE
    if result.outcome is not AttemptOutcome.NOT_SENT and is_exhausted(pending):
        return Step.REFUSE
    if result.outcome is AttemptOutcome.SHED:
        return Step.WAIT
    if result.outcome is AttemptOutcome.NOT_SENT:
        return Step.WAIT if pending.n_not_sent < MAX_NOT_SENT else Step.REFUSE
    return Step.RETRY


def is_exhausted(pending: PendingRequest) -> bool:
    """Return whether the request has failed on as many servers as allowed."""
    return pending.n_failed >= pending.job.max_attempts


def may_retry_error(
    pending: PendingRequest, result: AttemptResult, now: float, error_retries: int
) -> bool:
    """Return whether an answer with a server error may be retried."""
    return (
        pending.job.idempotent
        and result.status in RETRYABLE_STATUSES
        and not result.committed
        and pending.n_failed <= error_retries
        and not is_exhausted(pending)
        and now < pending.job.deadline_at
    )


def is_failure(result: AttemptResult) -> bool:
    """Return whether an attempt is a failure that another server may not have."""
    if result.outcome is AttemptOutcome.ANSWERED:
        return result.status in RETRYABLE_STATUSES
    return result.outcome is not AttemptOutcome.SHED


def record_result(pending: PendingRequest, result: AttemptResult) -> None:
    """Record in ``pending`` the result of its running attempt."""
    server = pending.running_server.id
    if result.outcome is AttemptOutcome.SHED:
        pending.n_shed += 1
        pending.shed_by |= {server}
    elif result.outcome is AttemptOutcome.NOT_SENT:
        pending.n_not_sent += 1
        pending.failed_on |= {server}
    elif is_failure(result):
        pending.n_failed += 1
        pending.n_timed_out += result.outcome is AttemptOutcome.TIMED_OUT
        pending.failed_on |= {server}
    if result.outcome not in NOT_RUN_OUTCOMES or result.committed:
        pending.may_have_run = True


def failure_kind(pending: PendingRequest) -> ErrorKind:
    """Return the error kind of a request that gets no further attempt."""
    if not pending.may_have_run:
        shed_only = pending.n_shed and not pending.n_not_sent
        return ErrorKind.OVERLOADED if shed_only else ErrorKind.NO_HEALTHY_SERVER
    if not pending.job.idempotent:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.SERVER_FAILED


def deadline_kind(pending: PendingRequest) -> ErrorKind:
    """Return the error kind of a request whose deadline has passed."""
    if not pending.may_have_run:
        return ErrorKind.DEADLINE_EXCEEDED
    if not pending.job.idempotent:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.DEADLINE_AFTER_DISPATCH


def truthful_kind(pending: PendingRequest, kind: ErrorKind) -> ErrorKind:
    """Return ``kind``, or a replacement if it states "not run" wrongly.

    A kind that states "not run" is kept only if no attempt may have run.
    """
    if not pending.may_have_run or ANSWERS[kind].outcome is not Outcome.NOT_RUN:
        return kind
    return failure_kind(pending)
