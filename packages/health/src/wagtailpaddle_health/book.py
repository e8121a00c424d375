"""The health book: evidence in, standing of backend servers out."""

from collections import Counter, deque

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId

from wagtailpaddle_health.evidence import Observer
from wagtailpaddle_health.exchange import is_amount
from wagtailpaddle_health.latency import UNKNOWN_LIMIT_S
from wagtailpaddle_health.messages import (
    NO_ZONE,
    HealthDigest,
    HealthEvent,
    Observation,
    Pool,
    ServerHealth,
    Verdict,
)
from wagtailpaddle_health.policies import POLICIES
from wagtailpaddle_health.poolbook import PoolBook
from wagtailpaddle_health.window import WINDOW_S

MAX_EVENTS = 1000


class HealthBook:
    """Judges the backend servers of every service from real work.

    All times are seconds of one monotonic clock. ``policy`` names an entry of
    ``POLICIES``, ``zone`` is the VM's own. Work per tick grows with the servers
    that are not simply healthy and with the services that got traffic, not with
    all configured.

    >>> book = HealthBook(VmId("vm-1"))
    >>> book.tick(0.0)
    frozenset()
    """

    def __init__(
        self,
        vm: VmId,
        *,
        zone: ZoneId = NO_ZONE,
        policy: str = "scan",
        seed: int = 0,
    ) -> None:
        self.vm = vm
        self.zone = zone
        self._policy = POLICIES[policy]()
        self._pools: dict[ServiceId, PoolBook] = {}
        self._watching: dict[ServiceId, None] = {}
        self._telling: dict[ServiceId, None] = {}
        self._active: dict[ServiceId, None] = {}
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
            self._pools[pool.service] = PoolBook(
                now, Observer(self.vm, self.zone), self._policy, pool, self._events
            )
            self._changed.add(pool.service)
            return True
        changed = known.set_pool(now, pool)
        self._note(pool.service, known, changed)
        return changed

    def remove_pool(self, now: float, service: ServiceId) -> None:
        """Forget a service; unknown ones are no error."""
        self._pools.pop(service, None)
        for table in (self._watching, self._telling, self._active):
            table.pop(service, None)
        self._changed.discard(service)

    def observe(self, now: float, observation: Observation) -> bool:
        """Take in an attempt; return whether some standing may have changed."""
        pool = self._pools.get(observation.service)
        if pool is None:
            self._ignored["unknown service"] += 1
            return False
        changed = pool.add_own(now, observation)
        self._note(observation.service, pool, changed)
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

    def on_hint(
        self, now: float, service: ServiceId, server: ServerId, verdict: Verdict
    ) -> bool:
        """Take in what a health probe says; return whether a standing may change.

        A bad answer makes a healthy server suspect for ``HINT_LIFE_S`` seconds, so
        that requests that can be repeated test it; further ones are ignored for
        ``HINT_REST_S`` seconds. A hint is no evidence: it ejects nobody, and a good
        one has no effect. Hints to the service's ``watchers`` reach every VM.
        """
        pool = self._pools.get(service)
        if pool is None:
            self._ignored["unknown service"] += 1
            return False
        changed = pool.on_hint(now, server, verdict)
        self._note(service, pool, changed)
        return changed

    def overdue_after(self, now: float, service: ServiceId) -> float:
        """Return after how many seconds a running attempt is overdue."""
        pool = self._pools.get(service)
        return UNKNOWN_LIMIT_S if pool is None else pool.limit.limit_s

    def digests(self, now: float) -> tuple[HealthDigest, ...]:
        """Return what to tell other VMs now; call it some times a second.

        Bad news goes at once, good news at most each half second. A digest
        without ``to`` goes to the service's ``watchers``.
        """
        digests: list[HealthDigest] = []
        for service in list(self._telling):
            pool = self._pools[service]
            digests.extend(pool.take_digests(now))
            if not pool.has_pending and not pool.is_watching:
                del self._telling[service]
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
        self._note(digest.service, pool, changed)
        return frozenset([digest.service]) if changed else frozenset()

    def tick(self, now: float) -> frozenset[ServiceId]:
        """Act on the passing of time; return services whose standing changed.

        Changes from observations and digests since the last tick are included.
        """
        for service in list(self._watching):
            pool = self._pools[service]
            if pool.tick(now):
                self._changed.add(service)
            if not pool.is_watching:
                del self._watching[service]
        self._sweep(now)
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def standing(self, now: float, service: ServiceId) -> tuple[ServerHealth, ...]:
        """Return the standing of every server of ``service``; none if unknown."""
        pool = self._pools.get(service)
        return () if pool is None else pool.standing(now)

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
    def n_tracks(self) -> int:
        """How many servers have state on this VM."""
        return sum(pool.n_tracks for pool in self._pools.values())

    def _note(self, service: ServiceId, pool: PoolBook, changed: bool) -> None:
        if changed:
            self._changed.add(service)
        if pool.is_watching:
            self._watching[service] = None
            self._telling[service] = None
        elif pool.has_pending:
            self._telling[service] = None
        self._active.pop(service, None)
        self._active[service] = None

    def _sweep(self, now: float) -> None:
        while self._active:
            service = next(iter(self._active))
            pool = self._pools[service]
            if now - pool.last_evidence_at <= WINDOW_S:
                return
            del self._active[service]
            pool.sweep(now)
