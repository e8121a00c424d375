"""Outlier detection for the backend servers of all services."""

from collections import Counter, deque
from copy import copy, deepcopy
from typing import Any

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId, only

from wagtailpaddle_health.evidence import Observer
from wagtailpaddle_health.exchange import is_amount
from wagtailpaddle_health.latency import DEFAULT_LIMIT_S
from wagtailpaddle_health.messages import (
    UNKNOWN_ZONE,
    HealthDigest,
    HealthEvent,
    Observation,
    Pool,
    ServerHealth,
    Verdict,
)
from wagtailpaddle_health.policies import POLICIES
from wagtailpaddle_health.pool_detector import PoolOutlierDetector
from wagtailpaddle_health.window import WINDOW_S

MAX_EVENTS = 1000


class OutlierDetector:
    """Detects failing backend servers of every service by the outcomes of attempts.

    All times are seconds of one monotonic clock. ``policy`` names an entry of
    ``POLICIES``; ``zone`` is that of this VM. The cost of a tick grows with the
    number of servers that are not healthy and of services with traffic, not with
    the number of configured ones.

    >>> detector = OutlierDetector(VmId("vm-1"))
    >>> detector.tick(0.0)
    frozenset()
    """

    def __init__(
        self,
        vm: VmId,
        *,
        zone: ZoneId = UNKNOWN_ZONE,
        policy: str = "scan",
        seed: int = 0,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self._policy = POLICIES[policy]()
        self._pools: dict[ServiceId, PoolOutlierDetector] = {}
        self._unhealthy: dict[ServiceId, None] = {}
        self._reporting: dict[ServiceId, None] = {}
        self._by_last_evidence: dict[ServiceId, None] = {}
        self._changed: set[ServiceId] = set()
        self._ignored: Counter[str] = Counter()
        self._events: deque[HealthEvent] = deque(maxlen=MAX_EVENTS)

    def set_pool(self, now: float, pool: Pool) -> bool:
        """Replace the configured servers of a service; return whether they differ.

        Servers added to a known service get a slow start. If the pool shrinks,
        ejected servers return to service as the floor requires.
        """
        known = self._pools.get(pool.service)
        if known is None:
            self._pools[pool.service] = PoolOutlierDetector(
                now, Observer(self.vm, self.zone), self._policy, pool, self._events
            )
            self._changed.add(pool.service)
            return True
        changed = known.set_pool(now, pool)
        self._mark_updated(pool.service, known, changed)
        return changed

    def remove_pool(self, now: float, service: ServiceId) -> None:
        """Remove a service; an unknown one is no error."""
        self._pools.pop(service, None)
        for table in (self._unhealthy, self._reporting, self._by_last_evidence):
            table.pop(service, None)
        self._changed.discard(service)

    def observe(self, now: float, observation: Observation) -> bool:
        """Record an attempt; return whether a server's health may have changed."""
        pool = self._pools.get(observation.service)
        if pool is None:
            self._ignored["unknown service"] += 1
            return False
        changed = pool.observe(now, observation)
        self._mark_updated(observation.service, pool, changed)
        return changed

    def report_load(
        self, now: float, service: ServiceId, server: ServerId, load: float
    ) -> None:
        """Record the load in [0, 1] that a server reports; it is no evidence."""
        pool = self._pools.get(service)
        if pool is None:
            self._ignored["unknown service"] += 1
        elif not is_amount(load, 1.0):
            self._ignored["bad load"] += 1
        else:
            pool.report_load(now, server, load)

    def report_probe(
        self, now: float, service: ServiceId, server: ServerId, verdict: Verdict
    ) -> bool:
        """Record a health probe's result; return whether a server's health may change.

        A bad result makes a healthy server suspect for ``PROBE_SUSPICION_TTL_S``
        seconds, so that idempotent requests test it; further ones are ignored for
        ``PROBE_COOLDOWN_S`` seconds. Probes are no evidence: a bad one never ejects
        a server, and a good one has no effect. Bad probes that are reported to the
        service's monitors (``select_monitors``) take effect on every VM.
        """
        pool = self._pools.get(service)
        if pool is None:
            self._ignored["unknown service"] += 1
            return False
        changed = pool.report_probe(now, server, verdict)
        self._mark_updated(service, pool, changed)
        return changed

    def overdue_after(self, now: float, service: ServiceId) -> float:
        """Return the time in seconds after which a running attempt is overdue."""
        pool = self._pools.get(service)
        return DEFAULT_LIMIT_S if pool is None else pool.latency_limit.limit_s

    def digests(self, now: float) -> tuple[HealthDigest, ...]:
        """Return the digests to send now; to be called several times a second.

        Failures are included at once, successes at most every half second. A digest
        without ``to`` is meant for the service's monitors (``select_monitors``).
        """
        digests: list[HealthDigest] = []
        for service in list(self._reporting):
            pool = self._pools[service]
            digests.extend(pool.digests(now))
            if not pool.has_pending and not pool.has_unhealthy:
                del self._reporting[service]
        return tuple(digests)

    def merge(self, now: float, digest: HealthDigest) -> frozenset[ServiceId]:
        """Merge another VM's digest; return the services that may have changed.

        Impossible values are ignored and counted in ``n_ignored``.
        """
        pool = self._pools.get(digest.service)
        if pool is None:
            self._ignored["unknown service"] += 1
            return frozenset()
        changed = pool.merge(now, digest)
        self._mark_updated(digest.service, pool, changed)
        return frozenset([digest.service]) if changed else frozenset()

    def tick(self, now: float) -> frozenset[ServiceId]:
        """Apply time-outs; return the services whose servers' health changed.

        This includes changes by observations and digests since the last tick.
        """
        for service in list(self._unhealthy):
            pool = self._pools[service]
            if pool.tick(now):
                self._changed.add(service)
            if not pool.has_unhealthy:
                del self._unhealthy[service]
        self._drop_idle(now)
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def server_health(self, now: float, service: ServiceId) -> tuple[ServerHealth, ...]:
        """Return the health of every server of ``service``, empty if unknown."""
        pool = self._pools.get(service)
        return () if pool is None else pool.server_health(now)

    def copy_for(self, service: ServiceId) -> "OutlierDetector":
        """Return a copy for one service that shares no changing state.

        ``server_health`` records which servers it asked to verify, so it is called on
        a copy where nothing follows from the answer.
        """
        reduced = copy(self)
        reduced._pools = only(self._pools, service)
        shared: dict[int, Any] = {id(self._events): deque(maxlen=MAX_EVENTS)}
        return deepcopy(reduced, shared)

    def events(self) -> tuple[HealthEvent, ...]:
        """Return the events since the last call, oldest first.

        Only the latest ``MAX_EVENTS`` are retained.
        """
        events = tuple(self._events)
        self._events.clear()
        return events

    @property
    def n_ignored(self) -> dict[str, int]:
        """How many inputs were ignored, by reason."""
        total = self._ignored.copy()
        for pool in self._pools.values():
            total.update(pool.ignored)
        return {reason: n for reason, n in sorted(total.items()) if n}

    @property
    def n_tracked(self) -> int:
        """How many servers this VM holds state for."""
        return sum(pool.n_tracked for pool in self._pools.values())

    def _mark_updated(
        self, service: ServiceId, pool: PoolOutlierDetector, changed: bool
    ) -> None:
        if changed:
            self._changed.add(service)
        if pool.has_unhealthy:
            self._unhealthy[service] = None
            self._reporting[service] = None
        elif pool.has_pending:
            self._reporting[service] = None
        self._by_last_evidence.pop(service, None)
        self._by_last_evidence[service] = None

    def _drop_idle(self, now: float) -> None:
        while self._by_last_evidence:
            service = next(iter(self._by_last_evidence))
            pool = self._pools[service]
            if now - pool.last_evidence_at <= WINDOW_S:
                return
            del self._by_last_evidence[service]
            pool.drop_idle(now)
