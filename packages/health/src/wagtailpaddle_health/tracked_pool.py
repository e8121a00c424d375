"""The servers of one pool and their states, with the floor enforced."""

from collections import deque
from collections.abc import Iterator

from wagtailpaddle_core import ServerId, ensure

from wagtailpaddle_health.floor import (
    accepts_new_work,
    ejection_priority,
    lowest_ejection_priority,
    n_required,
    severity_of,
)
from wagtailpaddle_health.lifecycle import TrackedServer
from wagtailpaddle_health.messages import (
    HealthEvent,
    HealthEventKind,
    Pool,
    PoolServer,
    ServerState,
)
from wagtailpaddle_health.scan import NO_SUSPICION, Judgement
from wagtailpaddle_health.window import WINDOW_S


class TrackedPool:
    """Moves the servers of one pool through their life cycles.

    ``tracked`` holds the servers with recent evidence or past ejections,
    ``unhealthy`` those of them in any state but healthy. Ejections never reduce
    the servers in service (neither excluded, leaving nor draining) below the
    floor.
    """

    def __init__(self, pool: Pool, events: deque[HealthEvent]) -> None:
        self.pool = pool
        self.servers = {server.id: server for server in pool.servers}
        self.tracked: dict[ServerId, TrackedServer] = {}
        self.unhealthy: dict[ServerId, TrackedServer] = {}
        self._events = events

    @property
    def n_spare(self) -> int:
        """How many more servers can be excluded without violating the floor."""
        return self._n_in_service() - n_required(self.pool)

    def is_evacuated(self, server: ServerId) -> bool:
        """Return whether the zone of a configured server is evacuated."""
        return self.servers[server].evacuated

    def unhealthy_in_use(self) -> list[TrackedServer]:
        """Return the unhealthy servers that are not evacuated."""
        return [
            tracked
            for tracked in self.unhealthy.values()
            if not self.is_evacuated(tracked.server)
        ]

    def own_rate(self, second: int) -> float:
        """Return this VM's attempts per second at all servers of the pool."""
        tracked_servers = self.tracked.values()
        totals = (
            item.evidence.own.total(second).n_attempts for item in tracked_servers
        )
        return sum(totals) / WINDOW_S

    def track(self, server: ServerId) -> TrackedServer:
        """Return the state of a configured server; create it if needed."""
        tracked = self.tracked.get(server)
        if tracked is None:
            tracked = self.tracked[server] = TrackedServer(server)
        return tracked

    def set_pool(self, now: float, pool: Pool) -> frozenset[ServerId]:
        """Replace the pool; return the servers that were removed.

        Added servers start cold, with a ramp. The servers of the first pool do not:
        they are new to this VM only.
        """
        previous = self.servers
        self.pool = pool
        self.servers = {server.id: server for server in pool.servers}
        removed = frozenset(previous) - frozenset(self.servers)
        for server in removed:
            self.drop(server)
        for server in self.servers:
            if previous and server not in previous:
                self._ramp_new_server(now, server)
        while self.n_spare < 0:
            lowest = lowest_ejection_priority(self._excluded())
            if lowest is None:
                break
            self._return_to_service(now, lowest)
        self._check_floor()
        return removed

    def record_transition(
        self, now: float, tracked: TrackedServer, reason: str
    ) -> None:
        """Record that a server has just changed its state."""
        tracked.state_since = now
        tracked.reason = reason
        if tracked.state is not ServerState.SUSPECT:
            tracked.kept_by_floor = False
        if tracked.state is ServerState.HEALTHY:
            self.unhealthy.pop(tracked.server, None)
            tracked.baselines = None
            return
        self.unhealthy[tracked.server] = tracked
        if tracked.baselines is None or tracked.state is not ServerState.SUSPECT:
            tracked.baselines = {
                server: other.evidence.baseline()
                for server, other in self.tracked.items()
            }

    def exclude(
        self,
        now: float,
        tracked: TrackedServer,
        judgement: Judgement,
        state: ServerState,
    ) -> bool:
        """Eject or avoid a server if the floor allows; return whether it changed.

        At the floor, an excluded server of lower priority returns to service
        instead. If there is none, this server stays in service at a reduced weight.
        """
        if not accepts_new_work(self.servers[tracked.server]):
            return False
        severity = severity_of(judgement)
        if not tracked.is_excluded and not self._make_room(
            now, tracked, severity, state
        ):
            return self._keep_in_service(now, tracked, judgement)
        tracked.severity = severity
        if not tracked.is_excluded:
            tracked.excluded_until = now + tracked.record_ejection(now)
        if state is ServerState.EJECTED:
            tracked.lifecycle.eject()
        else:
            tracked.lifecycle.avoid()
        self.record_transition(now, tracked, judgement.reason)
        self.record_event(now, tracked, HealthEventKind(state.value), judgement)
        self._check_floor()
        return True

    def drop(self, server: ServerId) -> None:
        """Discard a server's evidence and past ejections."""
        self.tracked.pop(server, None)
        self.unhealthy.pop(server, None)

    def idle_servers(self, second: int) -> Iterator[ServerId]:
        """Yield healthy servers without recent evidence or relevant past ejections."""
        for server, tracked in list(self.tracked.items()):
            has_evidence = bool(tracked.evidence.pooled.total(second))
            has_ejections = tracked.n_ejections > 0 and not tracked.has_decayed(second)
            if not (has_evidence or has_ejections or server in self.unhealthy):
                yield server

    def record_event(
        self,
        now: float,
        tracked: TrackedServer,
        kind: HealthEventKind,
        judgement: Judgement,
    ) -> None:
        """Append an event for operators."""
        event = HealthEvent(
            at=now,
            service=self.pool.service,
            server=tracked.server,
            kind=kind,
            reason=tracked.reason,
            score=judgement.score,
            n_failed=judgement.n_failed,
            n_attempts=judgement.n_attempts,
            until=tracked.excluded_until if tracked.is_excluded else 0.0,
        )
        self._events.append(event)

    def _make_room(
        self, now: float, tracked: TrackedServer, severity: int, state: ServerState
    ) -> bool:
        if self.n_spare > 0:
            return True
        lowest = lowest_ejection_priority(self._excluded())
        if lowest is None:
            return False
        priority = (state is ServerState.EJECTED, severity, tracked.server)
        if ejection_priority(lowest) >= priority:
            return False
        self._return_to_service(now, lowest)
        return self.n_spare > 0

    def _keep_in_service(
        self, now: float, tracked: TrackedServer, judgement: Judgement
    ) -> bool:
        if tracked.state is ServerState.HEALTHY:
            tracked.lifecycle.suspect()
        elif tracked.state is not ServerState.SUSPECT:
            tracked.lifecycle.keep_in_service()
        if tracked.kept_by_floor:
            return False
        tracked.kept_by_floor = True
        self.record_transition(now, tracked, judgement.reason)
        self.record_event(now, tracked, HealthEventKind.KEPT, judgement)
        return True

    def _return_to_service(self, now: float, tracked: TrackedServer) -> None:
        tracked.lifecycle.keep_in_service()
        tracked.kept_by_floor = True
        self.record_transition(now, tracked, tracked.reason)
        self.record_event(now, tracked, HealthEventKind.KEPT, tracked.fleet_judgement)

    def _ramp_new_server(self, now: float, server: ServerId) -> None:
        tracked = self.track(server)
        tracked.cold = True
        tracked.lifecycle.begin_ramp()
        self.record_transition(now, tracked, "new server")
        self.record_event(now, tracked, HealthEventKind.READMITTED, NO_SUSPICION)

    def _excluded(self) -> list[TrackedServer]:
        return [
            tracked
            for tracked in self.unhealthy.values()
            if tracked.is_excluded and accepts_new_work(self.servers[tracked.server])
        ]

    def _n_in_service(self) -> int:
        servers: tuple[PoolServer, ...] = self.pool.servers
        return sum(map(accepts_new_work, servers)) - len(self._excluded())

    def _check_floor(self) -> None:
        n_excluded = len(self._excluded())
        n_usable = self._n_in_service()
        needed = n_required(self.pool)
        ensure(
            n_excluded == 0 or n_usable >= needed,
            "ejection-keeps-the-floor",
            service=self.pool.service,
            n_out=n_excluded,
            n_usable=n_usable,
            n_required=needed,
        )
