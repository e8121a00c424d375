"""The complete list of error kinds and the HTTP answer to each."""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a refused request has run, as stated in the answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in-progress"


class ErrorKind(StrEnum):
    """Every reason for which a request or a command is refused."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    CONFLICT = "conflict"
    DEADLINE_AFTER_DISPATCH = "deadline-after-dispatch"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    DRAINING = "draining"
    FORBIDDEN = "forbidden"
    IDEMPOTENCY_BUSY = "idempotency-busy"
    IDEMPOTENCY_MISMATCH = "idempotency-mismatch"
    IDEMPOTENCY_UNAVAILABLE = "idempotency-unavailable"
    IN_PROGRESS = "in-progress"
    INTERNAL = "internal"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    LOG_UNAVAILABLE = "log-unavailable"
    NO_HEALTHY_SERVER = "no-healthy-server"
    NO_ROUTE = "no-route"
    NOT_FOUND = "not-found"
    NOT_FRESH = "not-fresh"
    OUTCOME_UNKNOWN = "outcome-unknown"
    OVERLOADED = "overloaded"
    RATE_EXCEEDED = "rate-exceeded"
    SERVER_FAILED = "server-failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The HTTP answer to a kind of error.

    ``retry_elsewhere`` tells the caller that another address of the system may
    serve the same request at once. ``retry_after_s`` is the default delay after
    which a request that has not run may be retried; a refusal may set another.
    """

    status: int
    title: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_elsewhere: bool = False
    retry_after_s: float | None = None


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, "The request is malformed"),
    ErrorKind.BODY_TOO_LARGE: Answer(413, "The request body is too large"),
    ErrorKind.CONFLICT: Answer(409, "The object was changed in the meantime"),
    ErrorKind.DEADLINE_AFTER_DISPATCH: Answer(
        504, "The deadline passed after dispatch", Outcome.UNKNOWN
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(503, "The deadline passed before dispatch"),
    ErrorKind.DRAINING: Answer(
        503, "This VM is leaving", retry_elsewhere=True, retry_after_s=0.05
    ),
    ErrorKind.FORBIDDEN: Answer(403, "The client account may not use this route"),
    ErrorKind.IDEMPOTENCY_BUSY: Answer(
        503, "Too many idempotency keys are held", retry_elsewhere=True
    ),
    ErrorKind.IDEMPOTENCY_MISMATCH: Answer(
        422, "The idempotency key was used for another request"
    ),
    ErrorKind.IDEMPOTENCY_UNAVAILABLE: Answer(
        503, "The idempotency key could not be claimed", retry_elsewhere=True
    ),
    ErrorKind.IN_PROGRESS: Answer(
        409, "The first request with this key still runs", Outcome.IN_PROGRESS
    ),
    ErrorKind.INTERNAL: Answer(500, "Internal error", Outcome.UNKNOWN),
    ErrorKind.KEY_MISSING: Answer(401, "A key is required"),
    ErrorKind.KEY_UNKNOWN: Answer(401, "The key is not valid"),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, "The log service does not answer"),
    ErrorKind.NO_HEALTHY_SERVER: Answer(
        503, "No healthy backend server", retry_after_s=0.2
    ),
    ErrorKind.NO_ROUTE: Answer(404, "No route matches the request"),
    ErrorKind.NOT_FOUND: Answer(404, "The object does not exist"),
    ErrorKind.NOT_FRESH: Answer(
        503,
        "This VM cannot confirm its configuration",
        retry_elsewhere=True,
        retry_after_s=0.2,
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, "The request may have run", Outcome.UNKNOWN),
    ErrorKind.OVERLOADED: Answer(
        503, "The queue is full", retry_elsewhere=True, retry_after_s=0.2
    ),
    ErrorKind.RATE_EXCEEDED: Answer(429, "The rate of the client account is exceeded"),
    ErrorKind.SERVER_FAILED: Answer(
        502, "The backend servers did not answer", Outcome.UNKNOWN
    ),
}


class WagtailError(Exception):
    """An error of a known kind; ``detail`` names the offending value.

    >>> str(WagtailError(ErrorKind.NOT_FOUND, "client account 'x' does not exist"))
    "not-found: client account 'x' does not exist"
    """

    def __init__(self, kind: ErrorKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail

    @property
    def answer(self) -> Answer:
        """The HTTP answer to this error."""
        return ANSWERS[self.kind]
