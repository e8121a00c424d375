"""The health book: evidence in, standing of backend servers out."""

from collections import Counter, deque

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId

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
    """Judges the backend servers of every service from real work.

    All times are seconds of one monotonic clock. ``policy`` names an entry of
    ``POLICIES``, ``zone`` is the VM's own. Work per tick grows with the servers
    that are not simply healthy and with the services that got traffic, not with
    all configured.

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
        """Replace the configured servers of a service; return whether it differs.

        Servers that a known service gains start slowly. Ejected servers come
        back as needed if the pool shrinks.
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
        """Forget a service; unknown ones are no error."""
        self._pools.pop(service, None)
        for table in (self._unhealthy, self._reporting, self._by_last_evidence):
            table.pop(service, None)
        self._changed.discard(service)

    def observe(self, now: float, observation: Observation) -> bool:
        """Take in an attempt; return whether some standing may have changed."""
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
        """Note a server's own report of its load in [0, 1], a hint only."""
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
        """Take in what a health probe says; return whether a standing may change.

        A bad answer makes a healthy server suspect for ``PROBE_SUSPICION_TTL_S``
        seconds, so that requests that can be repeated test it; further ones are
        ignored for ``PROBE_COOLDOWN_S`` seconds. A hint is no evidence: it ejects
        nobody, and a good one has no effect. Hints to the service's monitors
        (``select_monitors``) reach every VM.
        """
        pool = self._pools.get(service)
        if pool is None:
            self._ignored["unknown service"] += 1
            return False
        changed = pool.report_probe(now, server, verdict)
        self._mark_updated(service, pool, changed)
        return changed

    def overdue_after(self, now: float, service: ServiceId) -> float:
        """Return after how many seconds a running attempt is overdue."""
        pool = self._pools.get(service)
        return DEFAULT_LIMIT_S if pool is None else pool.latency_limit.limit_s

    def digests(self, now: float) -> tuple[HealthDigest, ...]:
        """Return what to tell other VMs now; call it some times a second.

        Bad news goes at once, good news at most each half second. A digest
        without ``to`` goes to the service's ``select_monitors``.
        """
        digests: list[HealthDigest] = []
        for service in list(self._reporting):
            pool = self._pools[service]
            digests.extend(pool.digests(now))
            if not pool.has_pending and not pool.has_unhealthy:
                del self._reporting[service]
        return tuple(digests)

    def merge(self, now: float, digest: HealthDigest) -> frozenset[ServiceId]:
        """Take in what another VM tells; return services that may have changed.

        What cannot be true is ignored and counted in ``n_ignored``.
        """
        pool = self._pools.get(digest.service)
        if pool is None:
            self._ignored["unknown service"] += 1
            return frozenset()
        changed = pool.merge(now, digest)
        self._mark_updated(digest.service, pool, changed)
        return frozenset([digest.service]) if changed else frozenset()

    def tick(self, now: float) -> frozenset[ServiceId]:
        """Act on the passing of time; return services whose standing changed.

        Changes from observations and digests since the last tick are included.
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
        """Return the standing of every server of ``service``; none if unknown."""
        pool = self._pools.get(service)
        return () if pool is None else pool.server_health(now)

    def events(self) -> tuple[HealthEvent, ...]:
        """Return the events since the last call, oldest first.

        Only the latest ``MAX_EVENTS`` are kept.
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
        """How many servers have state on this VM."""
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
