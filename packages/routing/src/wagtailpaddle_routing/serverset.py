"""The servers of one service: which of them are usable, and their capacity."""

from collections.abc import Sequence
from random import Random

from wagtailpaddle_core import RequestId, ServerId, ZoneId, ensure

from wagtailpaddle_routing.choosers import ZoneSplit
from wagtailpaddle_routing.coverage import Coverage
from wagtailpaddle_routing.idle_servers import group_idle_servers
from wagtailpaddle_routing.inspection import Candidate, Inspection, inspect_server
from wagtailpaddle_routing.limits import Limiter, ServiceLimiter
from wagtailpaddle_routing.messages import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    AttemptResult,
    ServerStatus,
    ServerView,
)
from wagtailpaddle_routing.pickers import Candidates, Picker, may_serve
from wagtailpaddle_routing.retry import PendingRequest
from wagtailpaddle_routing.server import Server
from wagtailpaddle_routing.suspects import SuspectTracker, is_failure
from wagtailpaddle_routing.warmup import WarmupSharers
from wagtailpaddle_routing.zone_overflow import Crossing

MIN_DRAIN_CAPACITY = 0.001
REST_SPREAD_S = 0.2
"""Time over which the VMs return to a server after its rest, in seconds."""


def connection_cap(connections: int, n_sharing_vms: int) -> int:
    """Return how many connections one of ``n_sharing_vms`` VMs may open to a server.

    >>> connection_cap(300, 36)
    8
    """
    return max(1, connections // max(1, n_sharing_vms))


class ServerSet:
    """The servers of one service, with the attempts in flight at them."""

    def __init__(
        self,
        *,
        zone: ZoneId,
        picker: Picker,
        suspects: SuspectTracker,
        limiter: type[Limiter],
        service_limiter: ServiceLimiter,
        random: Random,
        crossing: Crossing,
    ):
        self.n_running = 0
        self.capacity = 1
        self._n_limit_vms = 1
        self._warmup_sharers = WarmupSharers()
        self._zone = zone
        self._picker = picker
        self.suspects = suspects
        self._limiter = limiter
        self._service_limiter = service_limiter
        self._random = random
        self._crossing = crossing
        self._views: tuple[ServerView, ...] = ()
        self._n_sharing_vms = 1
        self._servers: dict[ServerId, Server] = {}
        self._usable: tuple[Server, ...] = ()
        self._to_verify: tuple[Server, ...] = ()
        self._zone_split = ZoneSplit()
        self._total_limit = 0.0
        self._coverage = Coverage(suspects)

    @property
    def views(self) -> tuple[ServerView, ...]:
        """The servers as last set."""
        return self._views

    @property
    def n_usable(self) -> int:
        """How many servers accept new requests."""
        return len(self._usable)

    @property
    def n_in_flight(self) -> int:
        """How many attempts are in flight, those at evacuated servers included."""
        return sum(server.in_flight for server in self._servers.values())

    def replace(
        self, now: float, views: tuple[ServerView, ...], n_sharing_vms: int
    ) -> bool:
        """Replace the servers; return whether anything changed."""
        if n_sharing_vms == self._n_sharing_vms and views == self._views:
            return False
        self._views = views
        self._n_sharing_vms = n_sharing_vms
        kept = {
            name: server for name, server in self._servers.items() if server.in_flight
        }
        for view in views:
            kept[view.id] = self._update_server(now, view)
        self._servers = kept
        self.suspects.retain(frozenset(kept))
        self._refresh()
        return True

    def _update_server(self, now: float, view: ServerView) -> Server:
        """Return the server of ``view``, with its limit lowered to the new cap."""
        cap = float(connection_cap(view.connections, self._n_sharing_vms))
        server = self._servers.get(view.id)
        if server is None:
            limiter = self._limiter(start=float(view.slots), cap=cap)
            server = Server(view, limiter)
        else:
            server.limiter.cap = cap
            server.limiter.limit = min(server.limiter.limit, cap)
            server.update_view(view)
        self._update_warmup(now, server)
        return server

    def _update_warmup(self, now: float, server: Server) -> None:
        """Limit the requests to a server while it is cold."""
        view = server.view
        if view.warmup_per_s <= 0.0 or view.cold_until <= now:
            server.warmup = None
            return
        part_per_s = self._warmup_sharers.part_per_s(view.id, view.warmup_per_s)
        server.update_warmup(now, part_per_s)

    def share_warmup(self, now: float, sharers: WarmupSharers) -> None:
        """Set which VMs share the limits of cold servers."""
        self._warmup_sharers = sharers
        for server in self._servers.values():
            if server.is_cold(now):
                self._update_warmup(now, server)

    def share_limits(self, now: float, n_vms: int) -> None:
        """Set how many VMs share the limits that servers state."""
        self._n_limit_vms = n_vms
        for server in self._servers.values():
            if server.stated_limit is not None:
                server.stated_limit.share(now, server.stated_limit.per_s, n_vms=n_vms)

    def may_start(self, now: float) -> bool:
        """Return whether the limits of any server allow a request now."""
        return any(server.may_start(now) for server in self._usable)

    def ready_at(self, now: float) -> float:
        """Return when limits and rests allow the next request, ``now`` if at once."""
        times = [server.may_start_at(now) for server in self._preferred(now)]
        return min(times, default=now)

    def drain_capacity(self, now: float, mean_s: float) -> float:
        """Return how many requests of ``mean_s`` seconds run at a time at most.

        A server that states a limit or is cold counts for as many as its limit lets
        run, one at rest only if all are.
        """
        if not self._is_restricted(now):
            return self.capacity
        preferred = self._preferred(now)
        awake = [server for server in preferred if server.rest_until <= now]
        running = sum(
            server.drain_capacity(now, mean_s) for server in awake or preferred
        )
        return max(MIN_DRAIN_CAPACITY, min(running, self.capacity))

    def forget_statements(self, server: ServerId) -> None:
        """Forget what a server stated, because it has started again."""
        known = self._servers.get(server)
        if known is not None:
            known.forget_statements()

    def _is_restricted(self, now: float) -> bool:
        return any(server.is_restricted(now) for server in self._usable)

    def _preferred(self, now: float) -> Sequence[Server]:
        """Return the servers to which requests go while some are restricted.

        Suspect servers are no substitute for one that states a limit or rests.
        """
        if not self._is_restricted(now):
            return self._usable
        cleared = [
            server
            for server in self._usable
            if not self.suspects[server.id].is_suspect(now)
        ]
        return cleared or self._usable

    def can_serve(self, pending: PendingRequest) -> bool:
        """Return whether some server is eligible for the request, now or later."""
        return any(may_serve(server, pending) for server in self._usable)

    def choose(
        self,
        now: float,
        pending: PendingRequest,
        silence_timeout_s: float,
        *,
        may_probe: bool = True,
        mean_s: float = 0.0,
    ) -> Server | None:
        """Return a server with a free slot for the request, or None.

        A server with requests in flight that has answered none of them for
        ``silence_timeout_s`` may hang, and is chosen last. While many requests fail,
        servers that were left without requests come before the picker's choice.
        """
        candidates = self._candidates(
            now, silence_timeout_s, may_probe=may_probe, mean_s=mean_s
        )
        uncovered = self._coverage.choose(candidates, pending)
        if uncovered is not None:
            return uncovered
        return self._picker.pick(candidates, pending)

    def has_other(
        self, now: float, pending: PendingRequest, silence_timeout_s: float
    ) -> bool:
        """Return whether another server than the running one has a free slot for it."""
        candidates = self._candidates(now, silence_timeout_s)
        return any(
            server is not pending.server and candidates.is_available(server, pending)
            for server in self._usable
        )

    def inspect(
        self, now: float, pending: PendingRequest, silence_timeout_s: float
    ) -> tuple[Candidate, ...]:
        """Return every server as the request sees it."""
        candidates = self._candidates(now, silence_timeout_s)
        return tuple(
            inspect_server(
                Inspection(candidates, server, pending, self.suspects[server.id])
            )
            for server in self._servers.values()
        )

    def group_idle(
        self, now: float, silence_timeout_s: float
    ) -> tuple[tuple[str, tuple[ServerId, ...]], ...]:
        """Return the usable servers without a request lately, grouped by reason."""
        candidates = self._candidates(now, silence_timeout_s)
        return group_idle_servers(candidates, self.suspects.__getitem__)

    def start(self, now: float, request: RequestId, server: Server) -> None:
        """Count an attempt that starts."""
        view = server.view
        ensure(
            server.usable and view.weight > 0 and not (view.leaving or view.evacuated),
            "dispatch-to-usable-server",
            server=server.id,
        )
        ensure(self.n_running < self.capacity, "capacity-kept", n=self.n_running)
        server.start(now, request)
        self.n_running += 1

    def release(self, request: RequestId, server: Server) -> None:
        """Count an attempt that has ended."""
        server.release(request)
        if not server.view.evacuated:
            self.n_running -= 1
        ensure(self.n_running >= 0, "running-not-negative", n=self.n_running)

    def record_attempt(self, now: float, server: Server, result: AttemptResult) -> None:
        """Record the result of an attempt, before it is released."""
        before = server.limit
        server.record_attempt(now, result)
        server.record_stated_limit(
            now, result, n_vms=self._n_limit_vms, jitter=self._random.random()
        )
        is_late = result.outcome is AttemptOutcome.TIMED_OUT
        is_slow_start = is_late and server.was_cold(now - result.latency_s)
        if not server.view.evacuated and not is_slow_start:
            self.suspects.record_attempt(now, server.id, result)
            self._coverage.record_attempt(now, failed=is_failure(result))
        if result.rest_s is not None:
            spread_s = REST_SPREAD_S * self._random.random()
            server.record_rest(now, result.rest_s, spread_s=spread_s)
        if server.usable:
            self._total_limit += server.limit - before
        if result.is_shed_with_room or server.view.evacuated:
            return
        self._service_limiter.update(now, result.outcome, self.n_running)
        self._update_capacity()
        if result.outcome in NOT_RUN_OUTCOMES:
            server.back_off(now, result.outcome, self._random.random())

    def is_usual_latency(
        self, now: float, server: Server, result: AttemptResult
    ) -> bool:
        """Return whether an answer tells how long requests usually take."""
        is_answered = result.outcome is AttemptOutcome.ANSWERED
        return is_answered and not server.was_cold(now - result.latency_s)

    def report_load(self, now: float, server: ServerId, load: float) -> None:
        """Record the load that a server reports; an unknown server is ignored."""
        known = self._servers.get(server)
        if known is not None:
            known.report_load(now, load)

    def next_backoff_end(self, now: float) -> float | None:
        """Return when the next back-off or pause of a server ends, or None."""
        times = [server.backoff_until for server in self._usable]
        times += [server.may_start_at(now) for server in self._usable]
        return min((at for at in times if at > now), default=None)

    def status(self, now: float) -> tuple[ServerStatus, ...]:
        """Return the state of every server."""
        return tuple(
            ServerStatus(
                id=server.id,
                in_flight=server.in_flight,
                limit=server.limit,
                hint=server.hint(now),
                usable=server.usable,
                stated_limit=(
                    None if server.stated_limit is None else server.stated_limit.per_s
                ),
                rest_s=max(0.0, server.rest_until - now),
                zone=server.view.zone,
                cold_s=(
                    0.0
                    if server.warmup is None
                    else max(0.0, server.warmup.ends_at - now)
                ),
            )
            for server in self._servers.values()
        )

    def _candidates(
        self,
        now: float,
        silence_timeout_s: float,
        *,
        may_probe: bool = True,
        mean_s: float = 0.0,
    ) -> Candidates:
        return Candidates(
            now,
            self._usable,
            self._to_verify,
            self._zone_split,
            self._zone,
            silence_timeout_s,
            may_probe,
            self._crossing,
            mean_s,
        )

    def _refresh(self) -> None:
        """Recompute which servers are usable, and the capacity."""
        known_ids = {view.id for view in self._views}
        for server in self._servers.values():
            server.usable = (
                server.id in known_ids
                and server.view.weight > 0
                and not (server.view.leaving or server.view.evacuated)
            )
        # Attempts at evacuated servers take nothing of the capacity of the others.
        self.n_running = sum(
            server.in_flight
            for server in self._servers.values()
            if not server.view.evacuated
        )
        self._usable = tuple(
            server for server in self._servers.values() if server.usable
        )
        self._to_verify = tuple(server for server in self._usable if server.view.verify)
        self._zone_split = split_by_zone(self._usable, self._zone)
        self._total_limit = sum(server.limit for server in self._usable)
        self._update_capacity()

    def _update_capacity(self) -> None:
        limit = min(self._total_limit, self._service_limiter.limit)
        self.capacity = max(1, int(limit + 1e-6))


def split_by_zone(servers: Sequence[Server], zone: ZoneId) -> ZoneSplit:
    """Return ``servers`` split by zone, with their ``share`` set.

    ``share`` is the weight relative to the highest weight. So servers that all
    have the same low weight get work as if all had full weight.
    """
    best = max((server.view.weight for server in servers), default=1.0)
    for server in servers:
        server.share = server.view.weight / best
    return ZoneSplit(
        local=tuple(server for server in servers if server.view.zone == zone),
        remote=tuple(server for server in servers if server.view.zone != zone),
    )
