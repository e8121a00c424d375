"""The floor: how many servers ejection must leave in service."""

import math
from collections.abc import Iterable

from wagtailpaddle_health.lifecycle import TrackedServer
from wagtailpaddle_health.messages import Pool, PoolServer, ServerState
from wagtailpaddle_health.scan import Judgement

HARD_FAILURE_FRACTION = 0.5


def n_required(pool: Pool) -> int:
    """Return how many servers must stay in service, at least one if there are any.

    >>> from wagtailpaddle_core import ServiceId
    >>> n_required(Pool(ServiceId("booking"), (), floor=0.5, sensitivity=0.5))
    0
    """
    n_servers = sum(not server.evacuated for server in pool.servers)
    minimum = 1 if n_servers else 0
    return max(minimum, math.ceil(pool.floor * n_servers - 1e-9))


def severity_of(judgement: Judgement) -> int:
    """Return 2 if at least ``HARD_FAILURE_FRACTION`` of the attempts are bad, else 1.

    The scale is coarse, so that it does not depend on how much evidence arrived
    before or after the ejection.
    """
    return 2 if judgement.bad_fraction >= HARD_FAILURE_FRACTION else 1


def accepts_new_work(server: PoolServer) -> bool:
    """Return whether a configured server may get new requests."""
    return not (server.leaving or server.draining or server.evacuated)


def ejection_priority(tracked: TrackedServer) -> tuple[bool, int, str]:
    """Return the sort key for ejection when not all servers can be ejected.

    Servers ejected by the fleet rank above those avoided by this VM alone, and
    more severe failures above less severe ones. The key depends only on the
    evidence, so equal evidence gives the same set of ejected servers.
    """
    is_fleet = tracked.state is ServerState.EJECTED
    return (is_fleet, tracked.severity, tracked.server)


def lowest_ejection_priority(
    tracked_servers: Iterable[TrackedServer],
) -> TrackedServer | None:
    """Return the ejected server that returns to service first, None without any."""
    return min(tracked_servers, key=ejection_priority, default=None)
