"""Admission control: refuses requests that would expire in the queue."""

from dataclasses import dataclass

from wagtailpaddle_routing.bounded_queue import BoundedQueue
from wagtailpaddle_routing.retry import PendingRequest


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """Why a request is not admitted, and after how many seconds to retry."""

    detail: str
    wait_s: float


def check_admission(
    now: float,
    pending: PendingRequest,
    queue: BoundedQueue,
    *,
    mean_s: float,
    min_service_s: float,
    capacity: float,
    ready_in_s: float,
    wait_s: float,
) -> AdmissionRefusal | None:
    """Return why a new request may not be queued, or None if it may.

    ``mean_s`` is the mean service time of its account, and ``min_service_s`` the least
    service time expected of it. ``wait_s`` is the estimated time to drain the
    queue when ``capacity`` requests run at a time, and ``ready_in_s`` the time until
    the servers' stated limits allow the next request. Times are seconds.
    """
    job = pending.job
    if queue.is_starved(now, job.rank):
        return AdmissionRefusal("requests that are as urgent waited in vain", wait_s)
    ahead_s = queue.work_ahead_s(job.account, mean_s, job.rank) / capacity
    if ready_in_s > 0.0:
        # Every request, this one too, waits for its turn under the stated limits.
        ahead_s = max(ready_in_s, ahead_s + mean_s / capacity)
    if ahead_s > 0.0 and ahead_s + min_service_s > job.deadline_at - now:
        detail = f"the wait is about {ahead_s:.1f} s, longer than the deadline"
        return AdmissionRefusal(detail, ahead_s)
    if queue.n_queued >= queue.max_waiting and queue.would_be_longest(job.account):
        return AdmissionRefusal(f"{queue.n_queued} requests wait already", ahead_s)
    return None
