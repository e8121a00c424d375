"""Connects outlier detection with the dispatch of requests to backend servers."""

from copy import copy
from dataclasses import dataclass

from wagtailpaddle_config import Configuration, Server, Service
from wagtailpaddle_core import RequestId, ServerId, ServiceId, VmId, ZoneId
from wagtailpaddle_health import (
    Observation,
    OutlierDetector,
    Pool,
    PoolServer,
    ServerHealth,
    Verdict,
)
from wagtailpaddle_routing import (
    Action,
    AttemptOutcome,
    AttemptResult,
    Candidate,
    ColdServers,
    ConnectionShares,
    Dispatch,
    Dispatcher,
    Job,
    LeavingNotice,
    LeavingServers,
    ServerView,
)

VERDICTS: dict[AttemptOutcome, Verdict] = {
    AttemptOutcome.ANSWERED: Verdict.SUCCESS,
    AttemptOutcome.SHED: Verdict.NEUTRAL,
    AttemptOutcome.NOT_SENT: Verdict.UNREACHABLE,
    AttemptOutcome.FAILED: Verdict.FAILURE,
    AttemptOutcome.TIMED_OUT: Verdict.FAILURE,
    AttemptOutcome.CUT_SHORT: Verdict.FAILURE,
    AttemptOutcome.CANCELLED: Verdict.NEUTRAL,
}
FIRST_SERVER_ERROR = 500
RESTART_NOTICE_S = 2.0
"""Longest time between a server's start and the next attempt to connect to it."""


@dataclass(frozen=True, slots=True)
class _RunningAttempt:
    dispatch: Dispatch
    started_at: float
    overdue_at: float
    overdue: bool = False


class Backends:
    """Reports attempts to the outlier detector and server health to the dispatcher."""

    def __init__(
        self,
        health: OutlierDetector,
        dispatcher: Dispatcher,
        *,
        leaving_servers: LeavingServers | None = None,
    ):
        self.health = health
        self.dispatcher = dispatcher
        if leaving_servers is None:
            leaving_servers = LeavingServers()
        self.leaving_servers = leaving_servers
        self.in_contact = True
        self._cold_servers = ColdServers()
        self._newly_cold: set[ServiceId] = set()
        self._changed_services: set[ServiceId] = set()
        self._services: dict[ServiceId, Service] = {}
        self._evacuated: frozenset[ZoneId] = frozenset()
        self._attempts: dict[RequestId, _RunningAttempt] = {}
        self._vms = frozenset({health.vm})
        self._shares: dict[ServiceId, ConnectionShares] = {}

    def configure(self, now: float, cfg: Configuration) -> tuple[Action, ...]:
        """Apply a configuration; services that did not change cost nothing."""
        actions: tuple[Action, ...] = ()
        changed_zones = cfg.evacuated ^ self._evacuated
        self._evacuated = cfg.evacuated
        for name in [name for name in self._services if name not in cfg.services]:
            del self._services[name]
            self._shares.pop(name, None)
            self.leaving_servers.retain(name, frozenset())
            self.health.remove_pool(now, name)
            actions += self.dispatcher.remove_service(now, name)
        for name, service in cfg.services.items():
            is_known = self._services.get(name) is service
            if is_known and not has_servers_in(service, changed_zones):
                continue
            if is_known and name not in self._shares:
                # The first request of a service passes its servers to the dispatcher.
                self._set_pool(now, service)
                continue
            self._services[name] = service
            if name in self._shares:
                self._add_shares(service)
            self.leaving_servers.retain(
                name, frozenset(item.id for item in service.servers)
            )
            actions += self._update_pool(now, name)
        return actions

    def record_leaving(
        self, now: float, target: tuple[ServiceId, ServerId], *, leaving: bool
    ) -> tuple[Action, ...]:
        """Record that a server told this VM that it is leaving, or no longer is."""
        if not self._is_known(target):
            return ()
        if not self.leaving_servers.record(now, target, leaving=leaving, direct=True):
            return ()
        return self._update_pool(now, target[0])

    def on_server_restarted(self, target: tuple[ServiceId, ServerId]) -> None:
        """Forget what a server's former process stated; applied at the next tick."""
        self.dispatcher.on_server_restarted(*target)
        if self._cold_servers.forget(target):
            self._newly_cold.add(target[0])
        if self.leaving_servers.forget(target):
            self._changed_services.add(target[0])

    def record_cold(
        self, now: float, target: tuple[ServiceId, ServerId], left_s: float
    ) -> None:
        """Record how much longer a server says that it is cold.

        ``refresh_cold`` applies it, once for all servers of a service.
        """
        if self._cold_servers.record(now, target, left_s):
            self._newly_cold.add(target[0])

    def refresh_cold(self, now: float) -> tuple[Action, ...]:
        """Pass the recorded statements of cold servers to the dispatcher."""
        actions: tuple[Action, ...] = ()
        for name in sorted(self._newly_cold):
            actions += self.refresh(now, name)
        self._newly_cold.clear()
        return actions

    def is_cold(self, now: float, target: tuple[ServiceId, ServerId]) -> bool:
        """Return whether a server that takes few requests while cold is cold."""
        service = self._services.get(target[0])
        if service is None or self._cold_servers.until(target) <= now:
            return False
        return service.warmup_per_s > 0.0 or any(
            server.id == target[1] and server.warmup_per_s > 0.0
            for server in service.servers
        )

    def on_leaving_notice(self, now: float, notice: LeavingNotice) -> None:
        """Record another VM's notice of leaving servers; applied at the next tick."""
        for servers, leaving in ((notice.leaving, True), (notice.back, False)):
            for server in servers:
                target = notice.service, server
                if self._is_known(target) and self.leaving_servers.record(
                    now, target, leaving=leaving, direct=False
                ):
                    self._changed_services.add(notice.service)

    def set_vms(self, now: float, vms: frozenset[VmId]) -> tuple[Action, ...]:
        """Set the VMs that share the connections of the servers."""
        self._vms = vms | {self.health.vm}
        actions: tuple[Action, ...] = ()
        for name, shares in self._shares.items():
            shares.set_vms(self._vms)
            actions += self.refresh(now, name)
        return actions

    def arrive(self, now: float, job: Job) -> tuple[Action, ...]:
        """Pass an admitted request to the dispatcher."""
        actions = self._prepare(now, job.service)
        return actions + self.dispatcher.arrive(now, job)

    def copy_for(self, service: ServiceId) -> "Backends":
        """Return a copy to try out requests of one service on.

        It shares no state that ``inspect``, ``arrive`` or a dispatcher changes.
        """
        trial = copy(self)
        trial.health = self.health.copy_for(service)
        trial.dispatcher = self.dispatcher.copy_for(service)
        trial._shares = dict(self._shares)
        return trial

    def inspect(self, now: float, job: Job) -> tuple[Candidate, ...]:
        """Return the servers as a job sees them; to be called on a copy."""
        self._prepare(now, job.service)
        return self.dispatcher.inspect(now, job)

    def refresh(self, now: float, name: ServiceId) -> tuple[Action, ...]:
        """Pass the current health of a service's servers to the dispatcher.

        Only servers to which this VM has connections are included, each with
        this VM's share of its connections.
        """
        service = self._services.get(name)
        if service is None:
            return ()
        shares = self._shares.get(name)
        connections = {
            server.id: self._connections(shares, server) for server in service.servers
        }
        health_by_id = {item.id: item for item in self.health.server_health(now, name)}
        views = tuple(
            ServerView(
                id=server.id,
                zone=server.zone,
                slots=server.slots,
                connections=connections[server.id],
                weight=health_by_id[server.id].weight,
                probation=health_by_id[server.id].idempotent_only,
                leaving=server.leaving
                or self.leaving_servers.is_leaving((name, server.id)),
                verify=health_by_id[server.id].verify,
                evacuated=server.zone in self._evacuated,
                cold_until=self._cold_servers.until((name, server.id)),
                warmup_per_s=service.warmup_per_s or server.warmup_per_s,
                assigned=shares is None or shares.is_assigned(server.id),
            )
            for server in service.servers
            if server.id in health_by_id and connections[server.id]
        )
        return self.dispatcher.set_servers(now, name, views)

    def on_attempt_started(self, now: float, dispatch: Dispatch) -> None:
        """Record the start of an attempt."""
        limit_s = self.health.overdue_after(now, dispatch.service)
        self._attempts[dispatch.request] = _RunningAttempt(dispatch, now, now + limit_s)

    def on_attempt_finished(
        self, now: float, request: RequestId, result: AttemptResult
    ) -> tuple[Action, ...]:
        """Record the end of an attempt; return actions for waiting requests."""
        attempt = self._attempts.pop(request, None)
        if attempt is None:
            return ()
        dispatch = attempt.dispatch
        actions: tuple[Action, ...] = ()
        if result.outcome is AttemptOutcome.NOT_SENT and not self.in_contact:
            actions = self._assume_restart(now, dispatch)
        if result.load is not None:
            self.health.report_load(now, dispatch.service, dispatch.server, result.load)
        verdict = VERDICTS[result.outcome]
        cold = self.is_cold(attempt.started_at, (dispatch.service, dispatch.server))
        if cold and result.outcome is AttemptOutcome.TIMED_OUT:
            verdict = Verdict.NEUTRAL
        if verdict is Verdict.SUCCESS and result.status >= FIRST_SERVER_ERROR:
            verdict = Verdict.FAILURE
        observation = Observation(
            dispatch.service,
            dispatch.server,
            verdict,
            result.latency_s,
            overdue=attempt.overdue,
            cold=cold,
        )
        if self.health.observe(now, observation):
            actions += self.refresh(now, dispatch.service)
        return actions

    def _assume_restart(self, now: float, dispatch: Dispatch) -> tuple[Action, ...]:
        """Take a server that refuses connections for one that starts again.

        A VM out of contact with the store does not see that the server's entry states
        a warm-up.
        """
        service = self._services.get(dispatch.service)
        if service is None or not service.warmup_s:
            return ()
        left_s = service.warmup_s + RESTART_NOTICE_S
        self.record_cold(now, (dispatch.service, dispatch.server), left_s)
        return self.refresh_cold(now)

    def discard_attempt(self, request: RequestId) -> None:
        """Discard a cancelled attempt, which is no evidence about its server."""
        self._attempts.pop(request, None)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Report overdue attempts and apply changes that time brought about."""
        self._report_overdue(now)
        self._cold_servers.expire(now)
        actions: tuple[Action, ...] = ()
        if self.leaving_servers:
            self._changed_services |= self.leaving_servers.expire(now)
        for name in sorted(self._changed_services):
            actions += self._update_pool(now, name)
        self._changed_services.clear()
        for name in sorted(self.health.tick(now)):
            actions += self.refresh(now, name)
        return actions

    def server_health(self, now: float, name: ServiceId) -> tuple[ServerHealth, ...]:
        """Return the health of the servers of a service."""
        return self.health.server_health(now, name)

    def _prepare(self, now: float, name: ServiceId) -> tuple[Action, ...]:
        """Assign this VM its share of connections at a service's first request."""
        service = self._services.get(name)
        if service is None or name in self._shares:
            return ()
        self._add_shares(service)
        return self.refresh(now, name)

    def _add_shares(self, service: Service) -> None:
        """Compute this VM's share of the connections of a service.

        Evacuated servers are left out, so that a VM that uses a subset of the servers
        has all of it in other zones.
        """
        servers = [
            server for server in service.servers if server.zone not in self._evacuated
        ]
        self._shares[service.id] = ConnectionShares(self.health.vm, servers, self._vms)

    def _connections(self, shares: ConnectionShares | None, server: Server) -> int:
        """Return how many connections this VM may open to a server.

        An evacuated server retains some, so that its requests in flight, its rest and
        its stated limit are still known when it returns.
        """
        if shares is None:
            return 1
        if server.zone in self._evacuated:
            return max(1, shares.request_connections(server) // len(self._vms))
        return shares.connections(server)

    def _is_known(self, target: tuple[ServiceId, ServerId]) -> bool:
        service = self._services.get(target[0])
        return service is not None and any(
            server.id == target[1] for server in service.servers
        )

    def _update_pool(self, now: float, name: ServiceId) -> tuple[Action, ...]:
        """Pass the leaving servers to the outlier detector and the dispatcher."""
        service = self._services.get(name)
        if service is None:
            return ()
        self._set_pool(now, service)
        return self.refresh(now, name)

    def _set_pool(self, now: float, service: Service) -> None:
        """Pass the servers of a service to the outlier detector."""
        leaving = self.leaving_servers.of(service.id)
        self.health.set_pool(now, make_pool(service, leaving, self._evacuated))

    def _report_overdue(self, now: float) -> None:
        for request, attempt in list(self._attempts.items()):
            if attempt.overdue or now < attempt.overdue_at:
                continue
            dispatch = attempt.dispatch
            target = dispatch.service, dispatch.server
            if self.is_cold(attempt.started_at, target):
                continue
            self._attempts[request] = _RunningAttempt(
                dispatch, attempt.started_at, attempt.overdue_at, overdue=True
            )
            self.health.observe(
                now,
                Observation(
                    dispatch.service,
                    dispatch.server,
                    Verdict.OVERDUE,
                    now - attempt.started_at,
                ),
            )


def has_servers_in(service: Service, zones: frozenset[ZoneId]) -> bool:
    """Return whether a service has servers in any of the zones."""
    return bool(zones) and any(server.zone in zones for server in service.servers)


def make_pool(
    service: Service,
    draining: frozenset[ServerId] = frozenset(),
    evacuated: frozenset[ZoneId] = frozenset(),
) -> Pool:
    """Return the outlier detector's view of a service."""
    return Pool(
        service=service.id,
        servers=tuple(
            PoolServer(
                server.id,
                server.zone,
                server.leaving,
                draining=server.id in draining,
                evacuated=server.zone in evacuated,
            )
            for server in service.servers
        ),
        floor=service.floor,
        sensitivity=service.sensitivity,
    )
