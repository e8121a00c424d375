"""Time-outs of attempts."""

from wagtailpaddle_routing.accounts import LatencyEstimator
from wagtailpaddle_routing.retry import PendingRequest


def attempt_timeout_at(
    now: float, pending: PendingRequest, latency: LatencyEstimator, *, may_retry: bool
) -> float:
    """Return when an attempt that starts now times out.

    An attempt of an idempotent request times out before the deadline, so that a
    hanging server leaves time for another. After one time-out, and in the last
    permitted attempt, the request may use the rest, so a slow request still gets
    its answer.
    """
    deadline_at = pending.job.deadline_at
    if not may_retry or pending.n_timed_out or not may_use_another(pending):
        return deadline_at
    attempt_timeout_s = latency.attempt_timeout_s
    if not latency.is_known:
        attempt_timeout_s = min(attempt_timeout_s, (deadline_at - now) / 2)
    return _leave_time_for_another(now, deadline_at, attempt_timeout_s)


def extended_timeout_at(
    now: float, pending: PendingRequest, latency: LatencyEstimator
) -> float:
    """Return when an attempt times out that was not given up at its time-out."""
    return _leave_time_for_another(
        now, pending.job.deadline_at, latency.attempt_timeout_s
    )


def may_use_another(pending: PendingRequest) -> bool:
    """Return whether the request may run on another server than the running one."""
    is_last = pending.n_failed + 1 >= pending.job.max_attempts
    return pending.job.idempotent and not is_last


def _leave_time_for_another(now: float, deadline_at: float, timeout_s: float) -> float:
    """Return the time-out, or the deadline if another attempt has less time left."""
    is_too_late = timeout_s > (deadline_at - now) / 2
    return deadline_at if is_too_late else now + timeout_s
