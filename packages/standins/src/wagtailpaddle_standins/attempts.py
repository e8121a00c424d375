"""Outcomes of attempts, as the caller of the load tool classifies them."""

import json
from dataclasses import dataclass
from typing import Any

from twisted.internet import error
from twisted.internet.defer import CancelledError
from twisted.web.client import RequestNotSent

GAVE_UP = "caller-gave-up"
NOT_SENT = (
    error.ConnectError,
    error.ConnectionRefusedError,
    error.TimeoutError,
    RequestNotSent,
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one attempt; ``kind`` names the refusal or failure."""

    status: int
    kind: str
    may_have_run: bool
    retry_elsewhere: bool = True

    @classmethod
    def from_response(cls, status: int, headers: Any, body: bytes) -> "Outcome":
        """Return the outcome of an attempt that received a response."""
        if status == 200:
            return cls(status, "served", may_have_run=True)
        outcome = (headers.getRawHeaders("X-Outcome") or ["unknown"])[0]
        try:
            problem = json.loads(body)
        except ValueError:
            problem = {}
        kind = str(problem.get("type", f"status-{status}")).rpartition(":")[2]
        retry_elsewhere = bool(problem.get("retry_elsewhere"))
        return cls(status, kind, outcome != "not-run", retry_elsewhere)

    def should_retry(self, is_idempotent: bool) -> bool:
        """Return whether the caller may send the request again.

        A request that may have run is repeated only if it is ``is_idempotent``.
        """
        if self.may_have_run:
            return is_idempotent
        return self.retry_elsewhere


def outcome_from_error(exc: Exception) -> Outcome:
    """Return the outcome of an attempt that failed without a response."""
    reasons = getattr(exc, "reasons", ())
    if any(reason.check(CancelledError) for reason in reasons):
        return Outcome(0, GAVE_UP, may_have_run=True)
    return Outcome(0, type(exc).__name__, not isinstance(exc, NOT_SENT))
