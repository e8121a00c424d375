"""Pickers that leave the VM's zone only where that pays off."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import ZoneId

from wagtailpaddle_routing.choosers import Chooser
from wagtailpaddle_routing.pickers import (
    HIGH_SHED_LEVEL,
    PICKERS,
    PROVEN_TTL_S,
    Candidates,
    FreshestPicker,
)
from wagtailpaddle_routing.retry import PendingRequest
from wagtailpaddle_routing.server import Server
from wagtailpaddle_routing.suspects import SuspectTracker
from wagtailpaddle_routing.zone_overflow import (
    Options,
    OverflowShare,
    RequestNeeds,
    ZoneChoice,
    ZoneRoom,
    choose_zone,
    load_of_others,
    next_share,
    next_step_at,
    total_room,
)

MIN_FREE_OWN = 0.5
"""Free slots at which a server of the own zone has room; old reports count for less."""

MIN_FREE_OTHER = 0.9
"""The same in another zone, where a wrong guess costs a crossing for nothing."""

COST_STEPS_PER_SERVICE_TIME = 4
"""Servers whose costs differ by less than this part of a service time are level."""


@dataclass(frozen=True, slots=True)
class _ServersWithRoom:
    """The servers with free slots that a request may use, by zone and reserve."""

    own: tuple[Server, ...]
    lent: tuple[Server, ...]
    reserved: tuple[Server, ...]


@PICKERS.register("zone-first")
class ZoneFirstPicker(FreshestPicker):
    """Uses the VM's zone while it has free slots, then zones that lend theirs.

    Suspect, silent, restricted and already tried servers are left out as by
    ``FreshestPicker``; only the order of the others differs.
    """

    def __init__(self, *, chooser: Chooser, suspects: SuspectTracker, random: Random):
        super().__init__(chooser=chooser, suspects=suspects, random=random)
        self._rooms: dict[ZoneId, ZoneRoom] = {}
        self._own = ZoneRoom()
        self._observe_at = float("-inf")

    def _share(self) -> float:
        """Return the share of requests that leave although the zone has room."""
        return 0.0

    def _on_observed(self, now: float, others: ZoneRoom) -> None:
        """Process new rooms of the zones."""

    def _explore(
        self,
        candidates: Candidates,
        servers: Sequence[Server],
        pending: PendingRequest,
    ) -> Server:
        """Return the server with the oldest information where the request may go."""
        route, found = self._route(candidates, servers, pending)
        if route is ZoneChoice.LOWEST_COST:
            return self._cheapest(candidates, servers, pending)

        def order(server: Server) -> tuple[bool, float, float]:
            observed_at = max(
                server.last_started_at, self._suspects[server.id].last_success_at
            )
            is_nearly_full = server.free_slots(candidates.now) < MIN_FREE_OTHER
            return is_nearly_full, observed_at, self._random.random()

        return min(found, key=order)

    def _freshest(
        self,
        candidates: Candidates,
        servers: Sequence[Server],
        pending: PendingRequest,
    ) -> Server:
        """Return the server with the latest success where the request may go.

        A proven server of another zone is better than an unproven one nearby, since
        the loss of a request costs more than a crossing.
        """
        proven = [item for item in servers if self._is_proven(candidates, item)]
        route, found = self._route(candidates, proven, pending)
        if route is ZoneChoice.LOWEST_COST:
            route, found = self._route(candidates, servers, pending)
        if route is ZoneChoice.LOWEST_COST:
            return self._cheapest(candidates, servers, pending)

        def order(server: Server) -> tuple[bool, float, float]:
            last_success_at = self._suspects[server.id].last_success_at
            is_nearly_full = server.free_slots(candidates.now) < MIN_FREE_OTHER
            return is_nearly_full, -last_success_at, self._random.random()

        return min(found, key=order)

    def _is_proven(self, candidates: Candidates, server: Server) -> bool:
        last_success_at = self._suspects[server.id].last_success_at
        return candidates.now - last_success_at <= PROVEN_TTL_S

    def _route(
        self,
        candidates: Candidates,
        servers: Sequence[Server],
        pending: PendingRequest,
    ) -> tuple[ZoneChoice, tuple[Server, ...]]:
        """Return where the request may go, and the servers with room there."""
        if candidates.now >= self._observe_at:
            self._observe(candidates)
        found = self._sort(candidates, servers, pending)
        needs = _needs(candidates, pending)
        options = Options(
            has_own=bool(found.own),
            has_lent=bool(found.lent),
            has_reserved=bool(found.reserved),
            own_wait_s=0.0 if found.own else _own_wait_s(candidates, servers),
        )
        route = choose_zone(
            options,
            needs,
            candidates.crossing,
            self._own,
            self._share(),
            self._random.random(),
        )
        return route, _servers_of(route, found)

    def _sort(
        self,
        candidates: Candidates,
        servers: Sequence[Server],
        pending: PendingRequest,
    ) -> _ServersWithRoom:
        """Sort the servers with room by zone and by the reserves of the zones."""
        now, zone = candidates.now, candidates.zone
        rank = pending.job.rank
        lending = {name for name, room in self._rooms.items() if room.lends(rank)}
        own: list[Server] = []
        lent: list[Server] = []
        reserved: list[Server] = []
        for server in servers:
            is_own = server.view.zone == zone
            n_free = server.free_slots(now)
            if n_free < (MIN_FREE_OWN if is_own else MIN_FREE_OTHER):
                continue
            if server.shed_level(now) > HIGH_SHED_LEVEL:
                continue
            if is_own:
                own.append(server)
            elif server.view.zone in lending:
                lent.append(server)
            else:
                reserved.append(server)
        return _ServersWithRoom(tuple(own), tuple(lent), tuple(reserved))

    def _cheapest(
        self,
        candidates: Candidates,
        servers: Sequence[Server],
        pending: PendingRequest,
    ) -> Server:
        """Return the server with the least wait and cost; no server has room to lend.

        A slot of a zone's reserve costs the service time for which its own callers
        may have to wait.
        """
        mean_s = candidates.mean_s
        step_s = max(mean_s / COST_STEPS_PER_SERVICE_TIME, 1e-6)
        crossing_s = candidates.crossing.cost_s(pending.job.n_bytes) + mean_s

        def order(server: Server) -> tuple[int, bool, float]:
            cost_s = wait_s(candidates, server)
            if server.view.zone != candidates.zone:
                cost_s += crossing_s
            is_unproven = not self._is_proven(candidates, server)
            return int(cost_s / step_s), is_unproven, self._random.random()

        return min(servers, key=order)

    def _observe(self, candidates: Candidates) -> None:
        """Sum up what is known of the servers of each zone."""
        now = candidates.now
        by_zone: dict[ZoneId, list[ZoneRoom]] = {}
        for server in candidates.usable:
            by_zone.setdefault(server.view.zone, []).append(self._room(now, server))
        rooms = {zone: total_room(found) for zone, found in by_zone.items()}
        self._own = rooms.pop(candidates.zone, ZoneRoom())
        self._rooms = rooms
        self._observe_at = next_step_at(now, self._random.random())
        self._on_observed(now, total_room(rooms.values()))

    def _room(self, now: float, server: Server) -> ZoneRoom:
        n_slots = max(1, server.view.slots)
        is_closed = (
            server.backoff_until > now
            or server.shed_level(now) > HIGH_SHED_LEVEL
            or not server.may_start(now)
            or self._suspects[server.id].is_suspect(now)
        )
        n_queued = max(0, server.in_flight - n_slots)
        if is_closed:
            return ZoneRoom(n_slots, n_slots, n_slots, n_queued)
        known = server.report_weight(now)
        if server.in_flight >= n_slots:
            known = 1.0
        reported = load_of_others(server.reported_load, n_slots)
        load = max(reported, min(1.0, server.in_flight / n_slots))
        return ZoneRoom(n_slots, known * n_slots, known * n_slots * load, n_queued)


@PICKERS.register("zone-shares")
class ZoneSharesPicker(ZoneFirstPicker):
    """Like "zone-first", and moves a share of the requests before the zone is full."""

    def __init__(self, *, chooser: Chooser, suspects: SuspectTracker, random: Random):
        super().__init__(chooser=chooser, suspects=suspects, random=random)
        self._overflow = OverflowShare()

    def _share(self) -> float:
        return self._overflow.value

    def _on_observed(self, now: float, others: ZoneRoom) -> None:
        self._overflow = next_share(self._overflow, now, self._own, others)


def wait_s(candidates: Candidates, server: Server) -> float:
    """Return the expected wait for a slot of a server, in seconds.

    A full server may shed the request, which costs a token of the retry budget. That
    counts as one service time.
    """
    n_free = server.free_slots(candidates.now)
    n_before = max(0.0, 1.0 - n_free)
    if server.shed_level(candidates.now) > HIGH_SHED_LEVEL:
        n_before += 1.0
    n_services = n_before / max(1, server.view.slots)
    if n_free < MIN_FREE_OWN:
        n_services += 1.0
    return candidates.mean_s * n_services


def _own_wait_s(candidates: Candidates, servers: Sequence[Server]) -> float:
    waits: Iterator[float] = (
        wait_s(candidates, server)
        for server in servers
        if server.view.zone == candidates.zone
    )
    return min(waits, default=float("inf"))


def _needs(candidates: Candidates, pending: PendingRequest) -> RequestNeeds:
    job = pending.job
    left_s = job.deadline_at - candidates.now
    return RequestNeeds(job.rank, left_s, candidates.mean_s, job.n_bytes)


def _servers_of(route: ZoneChoice, found: _ServersWithRoom) -> tuple[Server, ...]:
    if route is ZoneChoice.OWN_ZONE:
        return found.own
    if route is ZoneChoice.SPARE_CAPACITY:
        return found.lent
    return found.reserved
