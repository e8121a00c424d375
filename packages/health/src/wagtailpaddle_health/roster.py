"""The configured servers of a pool with their tracks, under the floor."""

from collections import deque
from collections.abc import Iterator

from wagtailpaddle_core import ServerId, ensure

from wagtailpaddle_health.admission import Track
from wagtailpaddle_health.floor import (
    least_urgent,
    n_required,
    severity_of,
    takes_work,
    urgency,
)
from wagtailpaddle_health.messages import (
    HealthEvent,
    HealthEventKind,
    Pool,
    PoolServer,
    ServerState,
)
from wagtailpaddle_health.scan import NOTHING, Judgement
from wagtailpaddle_health.window import WINDOW_S


class Roster:
    """Moves the servers of one pool through their life cycles.

    ``tracks`` holds the servers with evidence or a past that matters,
    ``watched`` those of them that are not simply healthy. After every change
    ejection leaves at least the floor: servers neither ejected, leaving nor
    draining.
    """

    def __init__(self, pool: Pool, events: deque[HealthEvent]) -> None:
        self.pool = pool
        self.servers = {server.id: server for server in pool.servers}
        self.tracks: dict[ServerId, Track] = {}
        self.watched: dict[ServerId, Track] = {}
        self._events = events

    @property
    def n_spare(self) -> int:
        """How many more servers could go without breaking the floor."""
        return self._n_usable() - n_required(self.pool)

    def own_rate(self, second: int) -> float:
        """Return the attempts a second of this VM on all servers."""
        tracks = self.tracks.values()
        totals = (item.evidence.own.total(second).n_attempts for item in tracks)
        return sum(totals) / WINDOW_S

    def track(self, server: ServerId) -> Track:
        """Return the track of a configured server, a new one if needed."""
        found = self.tracks.get(server)
        if found is None:
            found = self.tracks[server] = Track(server)
        return found

    def set_pool(self, now: float, pool: Pool) -> frozenset[ServerId]:
        """Replace the pool; return the servers that are gone.

        Servers of the first pool are new to this VM only, not cold.
        """
        before = self.servers
        self.pool = pool
        self.servers = {server.id: server for server in pool.servers}
        gone = frozenset(before) - frozenset(self.servers)
        for server in gone:
            self.drop(server)
        for server in self.servers:
            if before and server not in before:
                self._admit_cold(now, server)
        while self.n_spare < 0:
            weakest = least_urgent(self._out())
            if weakest is None:
                break
            self._return_to_work(now, weakest)
        self._check_floor()
        return gone

    def enter(self, now: float, track: Track, reason: str) -> None:
        """Note that a track has just changed its state."""
        track.since = now
        track.reason = reason
        if track.state is not ServerState.SUSPECT:
            track.kept = False
        if track.state is ServerState.HEALTHY:
            self.watched.pop(track.server, None)
            track.marks = None
            return
        self.watched[track.server] = track
        if track.marks is None or track.state is not ServerState.SUSPECT:
            track.marks = {
                server: other.evidence.mark() for server, other in self.tracks.items()
            }

    def put_out(
        self, now: float, track: Track, why: Judgement, state: ServerState
    ) -> bool:
        """Eject or avoid a server as the floor allows; return whether it changed.

        Beyond the floor the less urgent of the ejected servers comes back
        instead, or this one is kept at a reduced weight.
        """
        if not takes_work(self.servers[track.server]):
            return False
        severity = severity_of(why)
        if not track.is_out and not self._make_room(now, track, severity, state):
            return self._keep(now, track, why)
        track.severity = severity
        if not track.is_out:
            track.until = now + track.lengthen(now)
        if state is ServerState.EJECTED:
            track.admission.eject()
        else:
            track.admission.avoid()
        self.enter(now, track, why.reason)
        self.tell(now, track, HealthEventKind(state.value), why)
        self._check_floor()
        return True

    def drop(self, server: ServerId) -> None:
        """Forget a server's evidence and past."""
        self.tracks.pop(server, None)
        self.watched.pop(server, None)

    def idle(self, second: int) -> Iterator[ServerId]:
        """Yield servers whose track holds nothing that matters any more."""
        for server, track in list(self.tracks.items()):
            has_evidence = bool(track.evidence.pooled.total(second))
            has_past = track.n_ejections > 0 and not track.is_forgiven(second)
            if not (has_evidence or has_past or server in self.watched):
                yield server

    def tell(
        self, now: float, track: Track, kind: HealthEventKind, why: Judgement
    ) -> None:
        """File an event for operators."""
        event = HealthEvent(
            at=now,
            service=self.pool.service,
            server=track.server,
            kind=kind,
            reason=track.reason,
            score=why.score,
            n_failed=why.n_failed,
            n_attempts=why.n_attempts,
            until=track.until if track.is_out else 0.0,
        )
        self._events.append(event)

    def _make_room(
        self, now: float, track: Track, severity: int, state: ServerState
    ) -> bool:
        if self.n_spare > 0:
            return True
        weakest = least_urgent(self._out())
        if weakest is None:
            return False
        candidate = (state is ServerState.EJECTED, severity, track.server)
        if urgency(weakest) >= candidate:
            return False
        self._return_to_work(now, weakest)
        return self.n_spare > 0

    def _keep(self, now: float, track: Track, why: Judgement) -> bool:
        if track.state is ServerState.HEALTHY:
            track.admission.doubt()
        elif track.state is not ServerState.SUSPECT:
            track.admission.hold()
        if track.kept:
            return False
        track.kept = True
        self.enter(now, track, why.reason)
        self.tell(now, track, HealthEventKind.KEPT, why)
        return True

    def _return_to_work(self, now: float, track: Track) -> None:
        track.admission.hold()
        track.kept = True
        self.enter(now, track, track.reason)
        self.tell(now, track, HealthEventKind.KEPT, track.fleet)

    def _admit_cold(self, now: float, server: ServerId) -> None:
        track = self.track(server)
        track.cold = True
        track.admission.ramp()
        self.enter(now, track, "new server")
        self.tell(now, track, HealthEventKind.READMITTED, NOTHING)

    def _out(self) -> list[Track]:
        return [
            track
            for track in self.watched.values()
            if track.is_out and takes_work(self.servers[track.server])
        ]

    def _n_usable(self) -> int:
        servers: tuple[PoolServer, ...] = self.pool.servers
        return sum(map(takes_work, servers)) - len(self._out())

    def _check_floor(self) -> None:
        n_out = len(self._out())
        n_usable = self._n_usable()
        needed = n_required(self.pool)
        ensure(
            n_out == 0 or n_usable >= needed,
            "ejection-keeps-the-floor",
            service=self.pool.service,
            n_out=n_out,
            n_usable=n_usable,
            n_required=needed,
        )
