"""Keeps requests on all servers of a service while many of its requests fail.

Requests concentrate on the servers that served the latest ones, since a failure is much
more likely on the others. While requests fail all the same, that protects no caller and
may leave out the servers that are sound. Then each VM sends a request to each server
that is assigned to it at least every ``COVER_INTERVAL_S``, whatever kept requests away:
also to servers that failed, at increasing intervals.
"""

from math import exp

from wagtailpaddle_core import ServerId

from wagtailpaddle_routing.pickers import Candidates
from wagtailpaddle_routing.retry import PendingRequest
from wagtailpaddle_routing.server import Server
from wagtailpaddle_routing.suspects import SuspectState, SuspectTracker

COVER_INTERVAL_S = 1.0
"""Half of the time in which sound servers must get a request, in seconds."""

MAX_FAILURE_SHARE = 0.05
"""Half of the share of failures from which on all sound servers must get requests: a VM
sees only its own part of the requests."""

DECAY_S = 1.0
PRIOR_ATTEMPTS = 2.0
"""Successes assumed beside those counted, so that one failure in a few is no share."""


class FailureShare:
    """The share of failures among the latest attempts, which count less with age.

    >>> share = FailureShare()
    >>> for failed in (True, False, False):
    ...     share.record(10.0, failed=failed)
    >>> share.value(10.0)
    0.2
    """

    def __init__(self) -> None:
        self._n_attempts = 0.0
        self._n_failed = 0.0
        self._updated_at = 0.0

    def record(self, now: float, *, failed: bool) -> None:
        """Count an attempt that ended."""
        kept = self._kept(now)
        self._n_attempts = self._n_attempts * kept + 1.0
        self._n_failed = self._n_failed * kept + failed
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the share of failures, in [0, 1]."""
        kept = self._kept(now)
        n_attempts = self._n_attempts * kept + PRIOR_ATTEMPTS
        return self._n_failed * kept / n_attempts

    def _kept(self, now: float) -> float:
        return exp(-max(0.0, now - self._updated_at) / DECAY_S)


def find_uncovered(
    candidates: Candidates, pending: PendingRequest, suspects: SuspectTracker
) -> Server | None:
    """Return the assigned server that has been without a request longest, or None.

    A server counts only after ``COVER_INTERVAL_S``, a suspect one when it is to be
    tested again. A request that was tried before goes where the picker sends it.
    """
    if pending.n_attempts:
        return None
    uncovered = [
        server
        for server in candidates.usable
        if server.view.assigned
        and candidates.is_responsive(server, pending)
        and _is_uncovered(candidates.now, server, suspects[server.id])
    ]
    return min(uncovered, key=_longest_without_request, default=None)


def _longest_without_request(server: Server) -> tuple[float, ServerId]:
    return server.last_started_at, server.id


def _is_uncovered(now: float, server: Server, state: SuspectState) -> bool:
    if state.is_suspect(now):
        return not server.in_flight and state.needs_retest(now)
    return now - server.last_started_at >= COVER_INTERVAL_S
