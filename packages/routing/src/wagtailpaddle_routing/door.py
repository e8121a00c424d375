"""Which requests are refused as they arrive, because they would wait in vain."""

from dataclasses import dataclass

from wagtailpaddle_routing.retry import Pending
from wagtailpaddle_routing.waiting import WaitingRoom


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """Why a request is not let in, and in how many seconds there is room."""

    detail: str
    wait_s: float


def turn_away(
    now: float,
    pending: Pending,
    room: WaitingRoom,
    *,
    mean_s: float,
    least_s: float,
    capacity: int,
    wait_s: float,
) -> TurnedAway | None:
    """Return why a new request is not to wait for a server, None if it may.

    ``mean_s`` is the service time of a request of its account, ``least_s`` what a
    server surely takes for it. ``wait_s`` is the time in which what waits already is
    served by ``capacity`` requests at a time. Times are seconds.
    """
    job = pending.job
    if room.waits_in_vain(now, job.rank):
        return TurnedAway("requests that are as urgent waited in vain", wait_s)
    ahead_s = room.work_ahead_s(job.account, mean_s, job.rank) / capacity
    if ahead_s > 0.0 and ahead_s + least_s > job.deadline_at - now:
        detail = f"the wait is about {ahead_s:.1f} s, longer than the deadline"
        return TurnedAway(detail, ahead_s)
    if room.n_queued >= room.max_waiting and room.is_longest(job.account):
        return TurnedAway(f"{room.n_queued} requests wait already", ahead_s)
    return None
