"""The health book: evidence in, standing of backend servers out."""

from wagtailpaddle_core import ServerId, ServiceId, VmId

from wagtailpaddle_health.messages import (
    HealthDigest,
    HealthEvent,
    Observation,
    Pool,
    ServerHealth,
    ServerState,
    Verdict,
)

CONSECUTIVE_FAILURES = 5
EJECTION_S = 10.0


class HealthBook:
    """Judges the backend servers of every service from real work."""

    def __init__(self, vm: VmId, *, policy: str = "consecutive", seed: int = 0) -> None:
        self.vm = vm
        self._pools: dict[ServiceId, Pool] = {}
        self._failures: dict[ServerId, int] = {}
        self._ejected_until: dict[ServerId, float] = {}

    def set_pool(self, now: float, pool: Pool) -> None:
        """Replace the configured servers of a service."""
        self._pools[pool.service] = pool

    def remove_pool(self, now: float, service: ServiceId) -> None:
        """Forget a service."""
        self._pools.pop(service, None)

    def observe(self, now: float, observation: Observation) -> bool:
        """Take in evidence; return whether some standing may have changed."""
        server = observation.server
        if observation.verdict is Verdict.SUCCESS:
            self._failures.pop(server, None)
            return False
        if observation.verdict not in (Verdict.FAILURE, Verdict.UNREACHABLE):
            return False
        self._failures[server] = self._failures.get(server, 0) + 1
        pool = self._pools[observation.service]
        if self._failures[server] < CONSECUTIVE_FAILURES:
            return False
        if not self._may_eject(now, pool):
            return False
        self._failures.pop(server)
        self._ejected_until[server] = now + EJECTION_S
        return True

    def report_load(
        self, now: float, service: ServiceId, server: ServerId, load: float
    ) -> None:
        """Note a server's own report of its load in [0, 1], a hint only."""

    def overdue_after(self, now: float, service: ServiceId) -> float:
        """Return after how many seconds a running attempt is overdue."""
        return 2.0

    def digests(self, now: float) -> tuple[HealthDigest, ...]:
        """Return what to tell other VMs since the last call."""
        return ()

    def merge(self, now: float, digest: HealthDigest) -> frozenset[ServiceId]:
        """Take in what another VM tells; return services that may have changed."""
        return frozenset()

    def tick(self, now: float) -> frozenset[ServiceId]:
        """Act on the passing of time; return services whose standing changed."""
        return frozenset()

    def events(self) -> tuple[HealthEvent, ...]:
        """Return the events since the last call, oldest first."""
        return ()

    @property
    def n_ignored(self) -> dict[str, int]:
        """How many inputs were ignored, by reason."""
        return {}

    def _may_eject(self, now: float, pool: Pool) -> bool:
        n_healthy = sum(
            not server.leaving and self._ejected_until.get(server.id, 0) <= now
            for server in pool.servers
        )
        return n_healthy - 1 >= pool.floor * len(pool.servers)

    def standing(self, now: float, service: ServiceId) -> tuple[ServerHealth, ...]:
        """Return the standing of every server of ``service``."""
        return tuple(
            self._judge(now, server.id) for server in self._pools[service].servers
        )

    def _judge(self, now: float, server: ServerId) -> ServerHealth:
        if self._ejected_until.get(server, 0) > now:
            return ServerHealth(server, ServerState.EJECTED, 0.0, "failures in a row")
        return ServerHealth(server, ServerState.HEALTHY, 1.0)
