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
from wagtailpaddle_routing.suspects import SuspectTracker

COVER_INTERVAL_S = 1.5
"""Sound servers must get a request within 2 s."""

MAX_FAILURE_SHARE = 0.08
"""Less than the share of failures, 0.1, from which on all sound servers must get
requests: a VM sees only its own part of the requests."""

IDEMPOTENT_TTL_S = 2.0
"""Idempotent requests alone cover the servers for this time after one arrived."""

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


class Coverage:
    """Chooses servers that were left without requests while many requests fail.

    Where idempotent requests arrive, they alone are sent to such servers: a failure
    loses none of them.
    """

    def __init__(self, suspects: SuspectTracker) -> None:
        self._suspects = suspects
        self._failure_share = FailureShare()
        self._idempotent_at = float("-inf")

    def record_attempt(self, now: float, *, failed: bool) -> None:
        """Count an attempt that ended."""
        self._failure_share.record(now, failed=failed)

    def choose(self, candidates: Candidates, pending: PendingRequest) -> Server | None:
        """Return the assigned server that has been without a request longest, or None.

        A server counts only after ``COVER_INTERVAL_S``, a suspect one when it is to be
        tested again. A request that was tried before goes where the picker sends it.
        """
        now = candidates.now
        if pending.job.idempotent:
            self._idempotent_at = now
        elif now - self._idempotent_at < IDEMPOTENT_TTL_S:
            return None
        if pending.n_attempts or self._failure_share.value(now) <= MAX_FAILURE_SHARE:
            return None
        uncovered = [
            server
            for server in candidates.usable
            if server.view.assigned
            and candidates.is_responsive(server, pending)
            and self._is_uncovered(now, server)
        ]
        chosen = min(uncovered, key=_last_started_at, default=None)
        if chosen is not None:
            self._suspects[chosen.id].probed_at = now
        return chosen

    def _is_uncovered(self, now: float, server: Server) -> bool:
        state = self._suspects[server.id]
        if state.is_suspect(now):
            return not server.in_flight and state.needs_retest(now)
        return now - server.last_started_at >= COVER_INTERVAL_S


def _last_started_at(server: Server) -> tuple[float, ServerId]:
    return server.last_started_at, server.id
