"""Judges the servers of one service by the evidence on them."""

from collections import Counter, deque
from dataclasses import replace

from wagtailpaddle_core import ServerId

from wagtailpaddle_health.admission import (
    MAX_PROBATION_S,
    PROBATION_S,
    RECOVERING,
    Track,
)
from wagtailpaddle_health.attempts import attempt_counts
from wagtailpaddle_health.evidence import NO_MARK, Observer, Pending
from wagtailpaddle_health.exchange import (
    Exchange,
    counts_of,
    opinion_of,
    valid_opinions,
)
from wagtailpaddle_health.inquiry import OTHER_LIFE_S, WATCHER_LIFE_S, Inquiry
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
from wagtailpaddle_health.policies import Case, Other, Policy
from wagtailpaddle_health.roster import Roster
from wagtailpaddle_health.scan import FAILURE, NOTHING, long_term_rate
from wagtailpaddle_health.standing import (
    health,
    restricted,
    verify_spread_s,
    wants_verification,
)
from wagtailpaddle_health.window import Counts

SUSPECT_SHARE = 0.16
TRUST_SHARE = 0.1
READMITTED_BAR = 0.6
UNKEEP_SHARE = 0.5
JUDGE_INTERVAL_S = 0.25
TELL_EJECTED_S = 3.0
LOAD_LIFE_S = 5.0
MAX_OTHERS = 24
FAILED = (Verdict.FAILURE, Verdict.UNREACHABLE)
HINTS = (*FAILED, Verdict.OVERDUE)


class PoolBook:
    """Takes in evidence on one service's servers and judges them by it.

    A server is judged when bad news on it comes, and some times a second while
    it is not simply healthy. Changes of standing are appended to ``events``.
    """

    def __init__(
        self,
        now: float,
        observer: Observer,
        policy: Policy,
        pool: Pool,
        events: deque[HealthEvent],
    ) -> None:
        self.observer = observer
        self.ignored: Counter[str] = Counter()
        self.limit = LatencyLimit()
        self.last_evidence_at = now
        self._policy = policy
        self._roster = Roster(pool, events)
        self._exchange = Exchange(observer.vm, pool.service, observer.zone)
        self._loads: dict[ServerId, tuple[float, float]] = {}
        self._pending: dict[ServerId, Pending] = {}

    @property
    def is_watching(self) -> bool:
        """Whether some server is not simply healthy."""
        return bool(self._roster.watched)

    @property
    def has_pending(self) -> bool:
        """Whether own evidence waits to be told."""
        return bool(self._pending)

    @property
    def n_tracks(self) -> int:
        """How many servers have state here."""
        return len(self._roster.tracks)

    def set_pool(self, now: float, pool: Pool) -> bool:
        """Replace the configured servers; return whether they differ."""
        if pool == self._roster.pool:
            return False
        for server in self._roster.set_pool(now, pool):
            self._forget(server)
        return True

    def add_own(self, now: float, observation: Observation) -> bool:
        """Take in an attempt of this VM; return whether a standing changed."""
        server = observation.server
        if server not in self._roster.servers:
            self.ignored["unknown server"] += 1
            return False
        counts = self._count(observation)
        if counts is None:
            return False
        track = self._roster.track(server)
        self._note_own(now, track, observation, counts)
        if counts.n_failure or counts.n_slow:
            return self._judge(now, track)
        is_watched = server in self._roster.watched
        return is_watched and track.state is ServerState.SUSPECT

    def merge(self, now: float, digest: HealthDigest) -> bool:
        """Take in a digest; return whether a standing changed."""
        fault = self._exchange.admit(now, digest)
        if fault:
            self.ignored[fault] += 1
            return False
        dirty = self._take_lines(now, digest)
        dirty.update(self._take_opinions(now, digest))
        changes = [self._judge(now, track) for track in dirty.values()]
        return any(changes)

    def report_load(self, now: float, server: ServerId, load: float) -> None:
        """Note a checked load report."""
        if server in self._roster.servers:
            self._loads[server] = (now, load)
        else:
            self.ignored["unknown server"] += 1

    def on_hint(self, now: float, server: ServerId, verdict: Verdict) -> bool:
        """Take in a probe's verdict; return whether a standing changed."""
        if server not in self._roster.servers:
            self.ignored["unknown server"] += 1
            return False
        if verdict not in HINTS:
            return False
        track = self._roster.track(server)
        self.last_evidence_at = now
        return track.hint(now) and self._judge(now, track)

    def tick(self, now: float) -> bool:
        """Act on the passing of time; return whether a standing changed."""
        changed = False
        for track in list(self._roster.watched.values()):
            changed |= self._advance(now, track)
        return changed

    def sweep(self, now: float) -> None:
        """Drop the state of servers without recent evidence."""
        for server in self._roster.idle(int(now)):
            self._roster.drop(server)
            self._forget(server)

    def standing(self, now: float) -> tuple[ServerHealth, ...]:
        """Return the standing of every configured server."""
        roster = self._roster
        limited = restricted(roster.watched.values(), roster.n_spare)
        return tuple(
            self._standing_of(now, server, server in limited)
            for server in roster.servers
        )

    def take_digests(self, now: float) -> tuple[HealthDigest, ...]:
        """Return own evidence for the watchers and opinions for the audience."""
        digests = []
        exchange = self._exchange
        lines = exchange.take_evidence(now, self._pending, self._roster.watched)
        if lines:
            digests.append(exchange.digest(lines))
        audience = exchange.audience(now)
        if audience:
            opinions = exchange.next_opinions(now, self._held(now))
            if opinions:
                digests.append(exchange.digest((), opinions, audience))
        return tuple(digests)

    def _count(self, observation: Observation) -> Counts | None:
        verdict, latency_s = observation.verdict, observation.latency_s
        if not 0 <= latency_s < float("inf"):
            self.ignored["bad latency"] += 1
            return None
        if verdict is Verdict.NEUTRAL:
            return None
        counts = attempt_counts(observation, self.limit.limit_s)
        if verdict is Verdict.SUCCESS:
            self.limit.add(latency_s)
        return counts

    def _note_own(
        self, now: float, track: Track, observation: Observation, counts: Counts
    ) -> None:
        evidence = track.evidence
        self.last_evidence_at = evidence.last_own_at = now
        if observation.verdict in FAILED:
            evidence.streak += 1
        elif observation.verdict is Verdict.SUCCESS:
            evidence.streak = 0
        if not counts:
            return
        evidence.add_own(now, self.observer, counts)
        self._inquire(now, track, counts)
        if self._policy.shares:
            pending = self._pending.setdefault(track.server, Pending())
            pending.add(counts, observation.latency_s)

    def _take_lines(self, now: float, digest: HealthDigest) -> dict[ServerId, Track]:
        dirty = {}
        observer = Observer(digest.vm, digest.zone)
        for line in digest.servers:
            counts = counts_of(line)
            if line.server not in self._roster.servers:
                self.ignored["unknown server"] += 1
                continue
            if counts is None:
                self.ignored["impossible counts"] += 1
                continue
            track = self._roster.track(line.server)
            track.evidence.add_other(now, observer, counts)
            self._inquire(now, track, counts)
            self.last_evidence_at = now
            is_bad = counts.n_failure + counts.n_slow > 0
            if is_bad or line.server in self._roster.watched:
                dirty[line.server] = track
        return dirty

    def _take_opinions(self, now: float, digest: HealthDigest) -> dict[ServerId, Track]:
        dirty = {}
        opinions = tuple(valid_opinions(digest.opinions))
        self.ignored["bad opinion"] += len(digest.opinions) - len(opinions)
        for opinion in opinions:
            if opinion.server not in self._roster.servers:
                self.ignored["unknown server"] += 1
                continue
            self._exchange.hear(now, digest.vm, opinion)
            dirty[opinion.server] = self._roster.track(opinion.server)
        return dirty

    def _judge(self, now: float, track: Track) -> bool:
        track.judged_at = now
        if track.state is ServerState.EJECTED:
            return False
        case = self._case(now, track)
        track.local = self._policy.local(case)
        is_watcher = bool(self._exchange.audience(now))
        track.pooled = self._policy.fleet(case) if is_watcher else NOTHING
        inquiry = self._inquired(now, track, case.others)
        if inquiry > track.pooled.suspicion:
            track.pooled = replace(track.pooled, suspicion=inquiry)
        track.fleet = self._exchange.verdict(now, track.server, track.pooled)
        return self._act(now, track)

    def _case(self, now: float, track: Track) -> Case:
        others = []
        for other in self._roster.tracks.values():
            if other is not track and not other.is_out:
                others.append(self._other(track, other))
            if len(others) == MAX_OTHERS:
                break
        return Case(
            second=int(now),
            evidence=track.evidence,
            others=tuple(others),
            sensitivity=self._roster.pool.sensitivity,
            cold=track.cold,
        )

    def _inquire(self, now: float, track: Track, counts: Counts) -> None:
        if self._policy.inquires and not track.is_out:
            track.inquiry.add(now, counts)

    def _inquired(self, now: float, track: Track, others: tuple[Other, ...]) -> float:
        if not track.inquiry.is_active:
            return 0.0
        windows = (other.evidence.pooled for other in others)
        usual = long_term_rate(int(now), windows, FAILURE)
        is_watcher = bool(self._exchange.audience(now))
        life_s = WATCHER_LIFE_S if is_watcher else OTHER_LIFE_S
        return track.inquiry.suspicion(now, usual, life_s)

    def _other(self, track: Track, other: Track) -> Other:
        mark = None
        if track.marks is not None:
            mark = track.marks.get(other.server, NO_MARK)
        return Other(other.evidence, mark, other.suspicion)

    def _act(self, now: float, track: Track) -> bool:
        is_recovering = track.state in RECOVERING and not track.cold
        bar = READMITTED_BAR if is_recovering else 1.0
        if track.fleet.score >= bar:
            why, state = track.fleet, ServerState.EJECTED
            return self._roster.put_out(now, track, why, state)
        if track.state is ServerState.AVOIDED:
            return False
        if track.local.score >= bar:
            why, state = track.local, ServerState.AVOIDED
            return self._roster.put_out(now, track, why, state)
        return self._doubt_or_trust(now, track)

    def _doubt_or_trust(self, now: float, track: Track) -> bool:
        suspicion = max(track.suspicion, track.hinted(now))
        if track.state is ServerState.HEALTHY and suspicion >= SUSPECT_SHARE:
            track.admission.doubt()
            track.spread_s = verify_spread_s(self._roster.own_rate(int(now)))
            reason = track.local.reason or track.fleet.reason
            if not reason:
                reason = "probe" if track.hinted(now) else "failures"
            self._roster.enter(now, track, reason)
            return True
        if track.state is not ServerState.SUSPECT:
            return False
        if suspicion < TRUST_SHARE:
            track.admission.trust()
            self._roster.enter(now, track, "")
        elif track.score < UNKEEP_SHARE:
            track.kept = False
        return True

    def _advance(self, now: float, track: Track) -> bool:
        state = track.state
        if track.is_out and now >= track.until:
            self._begin_probation(now, track)
            return True
        if state is ServerState.PROBATION and self._passed_probation(now, track):
            track.admission.ramp()
            self._roster.enter(now, track, track.reason)
            self._roster.tell(now, track, HealthEventKind.READMITTED, NOTHING)
            return True
        if state is ServerState.RAMPING and now >= track.since + track.ramp_s:
            track.admission.trust()
            track.cold = False
            self._roster.enter(now, track, "")
            return True
        if now < track.judged_at + JUDGE_INTERVAL_S:
            return track.verifying != self._verifies(now, track)
        return self._judge(now, track) or state in RECOVERING

    def _begin_probation(self, now: float, track: Track) -> None:
        track.admission.test()
        track.evidence.forget()
        track.fleet = track.local = track.pooled = NOTHING
        track.inquiry = Inquiry()
        self._exchange.forget(track.server)
        self._roster.enter(now, track, track.reason)

    def _passed_probation(self, now: float, track: Track) -> bool:
        if track.suspicion >= SUSPECT_SHARE or track.evidence.streak:
            return False
        was_tried = track.evidence.last_own_at > track.since
        needed_s = PROBATION_S if was_tried else MAX_PROBATION_S
        return now >= track.since + needed_s

    def _standing_of(
        self, now: float, server: ServerId, idempotent_only: bool
    ) -> ServerHealth:
        told_at, load = self._loads.get(server, (0.0, None))
        if now - told_at > LOAD_LIFE_S:
            load = None
        track = self._roster.watched.get(server)
        if track is None:
            return ServerHealth(server, ServerState.HEALTHY, 1.0, load=load)
        track.verifying = self._verifies(now, track)
        return health(
            now,
            track,
            idempotent_only=idempotent_only,
            verify=track.verifying,
            load=load,
        )

    def _verifies(self, now: float, track: Track) -> bool:
        return self._policy.verifies and wants_verification(
            now, track, self.observer.vm
        )

    def _held(self, now: float) -> list[Opinion]:
        held = []
        for server, track in self._roster.watched.items():
            is_old = track.is_out and now - track.since > TELL_EJECTED_S
            suspicion = max(track.pooled.suspicion, track.hinted(now))
            pooled = replace(track.pooled, suspicion=suspicion)
            if suspicion >= SUSPECT_SHARE and not is_old:
                held.append(opinion_of(server, pooled))
        return held

    def _forget(self, server: ServerId) -> None:
        self._loads.pop(server, None)
        self._pending.pop(server, None)
        self._exchange.forget(server)
