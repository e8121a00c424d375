"""The health book: evidence in, standing of backend servers out."""

from wagtailpaddle_core import ServerId, ServiceId

from wagtailpaddle_health.messages import (
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

    def __init__(self) -> None:
        self._pools: dict[ServiceId, Pool] = {}
        self._failures: dict[ServerId, int] = {}
        self._ejected_until: dict[ServerId, float] = {}

    def set_pool(self, now: float, pool: Pool) -> None:
        """Replace the configured servers of a service."""
        self._pools[pool.service] = pool

    def observe(self, now: float, observation: Observation) -> bool:
        """Take in evidence; return whether some standing may have changed."""
        server = observation.server
        if observation.verdict is Verdict.SUCCESS:
            self._failures.pop(server, None)
            return False
        if observation.verdict is Verdict.NEUTRAL:
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
