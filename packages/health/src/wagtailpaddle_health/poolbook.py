"""Judges the servers of one service."""

from collections import Counter, deque
from dataclasses import replace

from wagtailpaddle_core import ServerId, VmId, ensure

from wagtailpaddle_health.admission import MAX_PROBATION_S, PROBATION_S, Track
from wagtailpaddle_health.evidence import Pending
from wagtailpaddle_health.exchange import Exchange, counts_of, valid_opinions
from wagtailpaddle_health.floor import (
    MAX_SEVERITY,
    least_urgent,
    n_required,
    takes_work,
    urgency,
)
from wagtailpaddle_health.latency import LatencyLimit
from wagtailpaddle_health.messages import (
    HealthDigest,
    HealthEvent,
    HealthEventKind,
    Observation,
    Opinion,
    Pool,
    ServerHealth,
    ServerState,
    Verdict,
)
from wagtailpaddle_health.policies import Case, Policy
from wagtailpaddle_health.scan import NOTHING, Judgement
from wagtailpaddle_health.standing import health, restricted, wants_verification
from wagtailpaddle_health.window import Counts

SUSPECT_SHARE = 0.25
TRUST_SHARE = 0.15
READMITTED_BAR = 0.6
JUDGE_INTERVAL_S = 0.25
TELL_EJECTED_S = 3.0
LOAD_LIFE_S = 5.0
MAX_OTHERS = 24
MAX_EVENTS = 1000
FAILED = (Verdict.FAILURE, Verdict.UNREACHABLE)


class PoolBook:
    """Evidence, judgements and the life cycles of one service's servers.

    A server has a ``Track`` only while there is evidence on it or it has a
    past that matters.
    """

    def __init__(self, now: float, vm: VmId, policy: Policy, pool: Pool) -> None:
        self.vm = vm
        self.exchange = Exchange(vm, pool.service)
        self.ignored: Counter[str] = Counter()
        self.events: deque[HealthEvent] = deque(maxlen=MAX_EVENTS)
        self.limit = LatencyLimit()
        self.last_evidence_at = now
        self._policy = policy
        self._pool = pool
        self._servers = {server.id: server for server in pool.servers}
        self._tracks: dict[ServerId, Track] = {}
        self._watched: dict[ServerId, Track] = {}
        self._loads: dict[ServerId, tuple[float, float]] = {}
        self._pending: dict[ServerId, Pending] = {}
        self._judged_at: dict[ServerId, float] = {}

    @property
    def is_watching(self) -> bool:
        """Whether some server is not simply healthy."""
        return bool(self._watched)

    @property
    def has_pending(self) -> bool:
        """Whether own evidence waits to be told."""
        return bool(self._pending)

    @property
    def n_tracks(self) -> int:
        """How many servers have state here."""
        return len(self._tracks)

    def set_pool(self, now: float, pool: Pool) -> bool:
        """Replace the configured servers; return whether a standing changed."""
        if pool == self._pool:
            return False
        before = self._servers
        self._pool = pool
        self._servers = {server.id: server for server in pool.servers}
        for server in before.keys() - self._servers.keys():
            self._drop(server)
        for server in self._servers:
            if server not in before:
                self._admit_cold(now, server)
        self._bring_back(now)
        self._check_floor()
        return True

    def add_own(self, now: float, observation: Observation) -> bool:
        """Take in an attempt of this VM."""
        server = observation.server
        if server not in self._servers:
            self.ignored["unknown server"] += 1
            return False
        counts = self._count(observation)
        if counts is None:
            return False
        track = self._track(server)
        evidence = track.evidence
        self.last_evidence_at = evidence.last_own_at = now
        if observation.verdict in FAILED:
            evidence.streak += 1
        elif observation.verdict is Verdict.SUCCESS:
            evidence.streak = 0
        if counts:
            evidence.add_own(now, self.vm, counts)
            pending = self._pending.setdefault(server, Pending())
            pending.add(counts, observation.latency_s)
        if counts.n_failure or counts.n_slow:
            return self._judge(now, track)
        return server in self._watched and track.state is ServerState.SUSPECT

    def merge(self, now: float, digest: HealthDigest) -> bool:
        """Take in a digest; return whether a standing changed."""
        fault = self.exchange.admit(now, digest)
        if fault:
            self.ignored[fault] += 1
            return False
        dirty: dict[ServerId, None] = {}
        for line in digest.servers:
            counts = counts_of(line)
            if line.server not in self._servers:
                self.ignored["unknown server"] += 1
            elif counts is None:
                self.ignored["impossible counts"] += 1
            else:
                self._track(line.server).evidence.add_other(now, digest.vm, counts)
                self.last_evidence_at = now
                if counts.n_failure or counts.n_slow or line.server in self._watched:
                    dirty[line.server] = None
        opinions = tuple(valid_opinions(digest.opinions))
        self.ignored["bad opinion"] += len(digest.opinions) - len(opinions)
        for opinion in opinions:
            if opinion.server not in self._servers:
                self.ignored["unknown server"] += 1
                continue
            self.exchange.hear(now, digest.vm, opinion)
            dirty[opinion.server] = None
        changes = [self._judge(now, self._track(server)) for server in dirty]
        return any(changes)

    def report_load(self, now: float, server: ServerId, load: float) -> None:
        """Note a checked load report."""
        if server in self._servers:
            self._loads[server] = (now, load)
        else:
            self.ignored["unknown server"] += 1

    def tick(self, now: float) -> bool:
        """Act on the passing of time; return whether a standing changed."""
        changed = False
        for track in list(self._watched.values()):
            changed |= self._advance(now, track)
        return changed

    def sweep(self, now: float) -> None:
        """Drop the state of healthy servers without recent evidence."""
        for server, track in list(self._tracks.items()):
            idle = not track.evidence.pooled.total(int(now))
            if idle and server not in self._watched and not track.n_ejections:
                self._drop(server)

    def standing(self, now: float) -> tuple[ServerHealth, ...]:
        """Return the standing of every configured server."""
        n_open = sum(map(takes_work, self._pool.servers)) - self._n_out()
        n_spare = n_open - n_required(self._pool)
        limited = restricted(self._watched.values(), n_spare)
        return tuple(
            self._standing_of(now, server, server in limited)
            for server in self._servers
        )

    def take_digests(self, now: float) -> tuple[HealthDigest, ...]:
        """Return own evidence for the watchers and opinions for the audience."""
        digests = []
        lines = self.exchange.take_evidence(now, self._pending, self._watched)
        if lines:
            digests.append(self.exchange.digest(lines))
        audience = self.exchange.audience(now)
        if audience:
            opinions = self.exchange.next_opinions(now, self._held(now))
            if opinions:
                digests.append(self.exchange.digest((), opinions, audience))
        return tuple(digests)

    def take_events(self) -> list[HealthEvent]:
        """Return the events since the last call."""
        events = list(self.events)
        self.events.clear()
        return events

    def _count(self, observation: Observation) -> Counts | None:
        verdict, latency_s = observation.verdict, observation.latency_s
        if not 0 <= latency_s < float("inf"):
            self.ignored["bad latency"] += 1
            return None
        if verdict is Verdict.NEUTRAL:
            return None
        if verdict is Verdict.OVERDUE:
            return Counts(1, 0, 0, 1)
        is_new = not observation.overdue
        is_slow = is_new and latency_s > self.limit.limit_s
        if verdict is Verdict.SUCCESS:
            self.limit.add(latency_s)
            return Counts(int(is_new), 0, 0, int(is_slow))
        is_unsent = verdict is Verdict.UNREACHABLE
        return Counts(int(is_new), 1, int(is_unsent), int(is_slow))

    def _judge(self, now: float, track: Track) -> bool:
        self._judged_at[track.server] = now
        if track.state is ServerState.EJECTED:
            return False
        others = [other.evidence for other in self._tracks.values()]
        others = [
            item for item in others[: MAX_OTHERS + 1] if item is not track.evidence
        ]
        case = Case(
            second=int(now),
            evidence=track.evidence,
            others=tuple(others),
            sensitivity=self._pool.sensitivity,
            cold=track.cold,
        )
        track.local = self._policy.local(case)
        if self.exchange.audience(now):
            track.pooled = self._policy.fleet(case)
        else:
            track.pooled = NOTHING
        track.fleet = self.exchange.verdict(now, track.server, track.pooled)
        return self._act(now, track)

    def _act(self, now: float, track: Track) -> bool:
        recovering = (ServerState.PROBATION, ServerState.RAMPING)
        is_recovering = track.state in recovering and not track.cold
        bar = READMITTED_BAR if is_recovering else 1.0
        if track.fleet.score >= bar:
            return self._put_out(now, track, track.fleet, ServerState.EJECTED)
        if track.state is ServerState.AVOIDED:
            return False
        if track.local.score >= bar:
            return self._put_out(now, track, track.local, ServerState.AVOIDED)
        return self._doubt_or_trust(now, track)

    def _doubt_or_trust(self, now: float, track: Track) -> bool:
        suspicion = max(track.fleet.suspicion, track.local.suspicion)
        if track.state is ServerState.HEALTHY and suspicion >= SUSPECT_SHARE:
            track.admission.doubt()
            self._enter(now, track, track.local.reason or track.fleet.reason)
            return True
        if track.state is ServerState.SUSPECT:
            if suspicion < TRUST_SHARE:
                track.admission.trust()
                self._enter(now, track, "")
            elif track.kept and max(track.fleet.score, track.local.score) < 1:
                track.kept = False
            return True
        return False

    def _put_out(
        self, now: float, track: Track, why: Judgement, state: ServerState
    ) -> bool:
        if not takes_work(self._servers[track.server]):
            return False
        severity = min(MAX_SEVERITY, why.score)
        if not track.is_out and not self._make_room(now, track, severity, state):
            return self._keep(now, track, why)
        track.severity = severity
        if not track.is_out:
            track.until = now + track.lengthen(now)
        if state is ServerState.EJECTED:
            track.admission.eject()
        else:
            track.admission.avoid()
        self._enter(now, track, why.reason)
        self._tell(now, track, HealthEventKind(state.value), why)
        self._check_floor()
        return True

    def _make_room(
        self, now: float, track: Track, severity: float, state: ServerState
    ) -> bool:
        if self._n_usable() - 1 >= n_required(self._pool):
            return True
        weakest = least_urgent(self._out())
        if weakest is None:
            return False
        candidate = (state is ServerState.EJECTED, severity, track.server)
        if urgency(weakest) >= candidate:
            return False
        self._return_to_work(now, weakest)
        return self._n_usable() - 1 >= n_required(self._pool)

    def _keep(self, now: float, track: Track, why: Judgement) -> bool:
        if track.state in (ServerState.PROBATION, ServerState.RAMPING):
            return False
        if track.state is ServerState.HEALTHY:
            track.admission.doubt()
        was_kept = track.kept
        track.kept = True
        if not was_kept:
            self._enter(now, track, why.reason)
            self._tell(now, track, HealthEventKind.KEPT, why)
        return not was_kept

    def _return_to_work(self, now: float, track: Track) -> None:
        track.admission.keep()
        track.kept = True
        self._enter(now, track, track.reason)
        self._tell(now, track, HealthEventKind.KEPT, track.fleet)

    def _bring_back(self, now: float) -> None:
        while self._n_usable() < n_required(self._pool):
            weakest = least_urgent(self._out())
            if weakest is None:
                return
            self._return_to_work(now, weakest)

    def _advance(self, now: float, track: Track) -> bool:
        state = track.state
        if track.is_out and now >= track.until:
            track.admission.test()
            track.evidence.forget()
            track.fleet = track.local = track.pooled = NOTHING
            self.exchange.forget(track.server)
            self._enter(now, track, track.reason)
            return True
        if state is ServerState.PROBATION and self._passed_probation(now, track):
            track.admission.ramp()
            self._enter(now, track, track.reason)
            self._tell(now, track, HealthEventKind.READMITTED, NOTHING)
            return True
        if state is ServerState.RAMPING and now >= track.since + track.ramp_s:
            track.admission.trust()
            track.cold = False
            self._enter(now, track, "")
            return True
        if now < self._judged_at.get(track.server, 0.0) + JUDGE_INTERVAL_S:
            return False
        changed = self._judge(now, track)
        return changed or track.state in (ServerState.RAMPING, ServerState.PROBATION)

    def _passed_probation(self, now: float, track: Track) -> bool:
        suspicion = max(track.fleet.suspicion, track.local.suspicion)
        if suspicion >= SUSPECT_SHARE or track.evidence.streak:
            return False
        was_tried = track.evidence.last_own_at > track.since
        needed_s = PROBATION_S if was_tried else MAX_PROBATION_S
        return now >= track.since + needed_s

    def _standing_of(
        self, now: float, server: ServerId, idempotent_only: bool
    ) -> ServerHealth:
        load = self._loads.get(server)
        fresh_load = load[1] if load and now - load[0] <= LOAD_LIFE_S else None
        track = self._tracks.get(server)
        if track is None:
            return ServerHealth(server, ServerState.HEALTHY, 1.0, load=fresh_load)
        verify = self._policy.verifies and wants_verification(now, track, self.vm)
        return health(
            now, track, idempotent_only=idempotent_only, verify=verify, load=fresh_load
        )

    def _held(self, now: float) -> list[Opinion]:
        held = []
        for server, track in self._watched.items():
            is_old = track.is_out and now - track.since > TELL_EJECTED_S
            if track.pooled.suspicion >= SUSPECT_SHARE and not is_old:
                pooled = track.pooled
                held.append(
                    Opinion(server, pooled.suspicion, pooled.score, pooled.reason)
                )
        return held

    def _track(self, server: ServerId) -> Track:
        track = self._tracks.get(server)
        if track is None:
            track = self._tracks[server] = Track(server)
        return track

    def _admit_cold(self, now: float, server: ServerId) -> None:
        track = self._track(server)
        track.cold = True
        track.admission.ramp()
        self._enter(now, track, "new server")

    def _enter(self, now: float, track: Track, reason: str) -> None:
        track.since = now
        track.reason = reason
        if track.state is not ServerState.SUSPECT:
            track.kept = False
        if track.state is ServerState.HEALTHY:
            self._watched.pop(track.server, None)
        else:
            self._watched[track.server] = track

    def _drop(self, server: ServerId) -> None:
        for table in (self._tracks, self._watched, self._loads, self._pending):
            table.pop(server, None)  # type: ignore[attr-defined]
        self._judged_at.pop(server, None)
        self.exchange.forget(server)

    def _tell(
        self, now: float, track: Track, kind: HealthEventKind, why: Judgement
    ) -> None:
        event = HealthEvent(
            at=now,
            service=self._pool.service,
            server=track.server,
            kind=kind,
            reason=track.reason,
            score=why.score,
            n_failed=why.n_failed,
            n_attempts=why.n_attempts,
        )
        if track.is_out:
            event = replace(event, until=track.until)
        self.events.append(event)

    def _out(self) -> list[Track]:
        return [
            track
            for track in self._watched.values()
            if track.is_out and takes_work(self._servers[track.server])
        ]

    def _n_out(self) -> int:
        return len(self._out())

    def _n_usable(self) -> int:
        return sum(map(takes_work, self._pool.servers)) - self._n_out()

    def _check_floor(self) -> None:
        n_out, n_usable = self._n_out(), self._n_usable()
        needed = n_required(self._pool)
        ensure(
            n_out == 0 or n_usable >= needed,
            "ejection-keeps-the-floor",
            service=self._pool.service,
            n_out=n_out,
            n_usable=n_usable,
            n_required=needed,
        )
