"""The floor: how many servers ejection has to leave."""

import math
from collections.abc import Iterable

from wagtailpaddle_health.lifecycle import TrackedServer
from wagtailpaddle_health.messages import Pool, PoolServer, ServerState
from wagtailpaddle_health.scan import Judgement

HARD_FAILURE_FRACTION = 0.5


def n_required(pool: Pool) -> int:
    """Return how many servers have to stay healthy, at least one of any.


    >>> from wagtailpaddle_core import ServiceId
    >>> n_required(Pool(ServiceId("booking"), (), floor=0.5, sensitivity=0.5))
    0
    """
    least = 1 if pool.servers else 0
    return max(least, math.ceil(pool.floor * len(pool.servers) - 1e-9))


def severity_of(judgement: Judgement) -> int:
    """Return 2 for a server that fails most of its work, 1 for one in part.

    Coarse, so that it does not depend on how much evidence came before or after
    the ejection.
    """
    return 2 if judgement.bad_fraction >= HARD_FAILURE_FRACTION else 1


def accepts_new_work(server: PoolServer) -> bool:
    """Return whether a configured server may get new work at all."""
    return not (server.leaving or server.draining)


def ejection_priority(tracked: TrackedServer) -> tuple[bool, int, str]:
    """Return the order in which servers are ejected when not all can be.

    The fleet's verdicts go before this VM's own, the worse before the better.
    It depends on the evidence alone, so equal evidence gives equal sets.
    """
    is_fleet = tracked.state is ServerState.EJECTED
    return (is_fleet, tracked.severity, tracked.server)


def lowest_ejection_priority(
    tracked_servers: Iterable[TrackedServer],
) -> TrackedServer | None:
    """Return the ejected server that comes back first when one is needed."""
    return min(tracked_servers, key=ejection_priority, default=None)
