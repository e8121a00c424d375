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
    is_last = pending.n_failed + 1 >= pending.job.max_attempts
    if not pending.job.idempotent or not may_retry:
        return deadline_at
    if pending.n_timed_out or is_last:
        return deadline_at
    half_s = (deadline_at - now) / 2
    attempt_timeout_s = latency.attempt_timeout_s
    if not latency.is_known:
        attempt_timeout_s = min(attempt_timeout_s, half_s)
    return deadline_at if attempt_timeout_s > half_s else now + attempt_timeout_s
