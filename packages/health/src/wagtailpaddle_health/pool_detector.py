"""Outlier detection for the servers of one service."""

from collections import Counter, deque
from dataclasses import replace

from wagtailpaddle_core import ServerId

from wagtailpaddle_health.attempts import attempt_counts
from wagtailpaddle_health.evidence import EMPTY_BASELINE, Observer, PendingEvidence
from wagtailpaddle_health.exchange import (
    DigestExchange,
    counts_of,
    opinion_of,
    valid_opinions,
)
from wagtailpaddle_health.latency import LatencyLimit
from wagtailpaddle_health.lifecycle import (
    MAX_PROBATION_S,
    PROBATION_S,
    RECOVERING,
    TrackedServer,
)
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
from wagtailpaddle_health.policies import Policy, PolicyInput, ReferenceEvidence
from wagtailpaddle_health.scan import FAILURE, NO_SUSPICION, long_term_rate
from wagtailpaddle_health.sequential_test import (
    LOCAL_TEST_S,
    MONITOR_TEST_S,
    SequentialTest,
)
from wagtailpaddle_health.server_health import (
    idempotent_only_servers,
    needs_verification,
    server_health,
    verify_spread_s,
)
from wagtailpaddle_health.tracked_pool import TrackedPool
from wagtailpaddle_health.window import Counts

# Fractions of the ejection threshold.
SUSPECT_THRESHOLD = 0.16
CLEAR_THRESHOLD = 0.1
RECOVERING_EJECTION_THRESHOLD = 0.6
KEPT_CLEAR_THRESHOLD = 0.5

JUDGE_INTERVAL_S = 0.25
EJECTED_OPINION_S = 3.0
LOAD_REPORT_TTL_S = 5.0
MAX_REFERENCES = 24
FAILED_VERDICTS = (Verdict.FAILURE, Verdict.UNREACHABLE)
BAD_PROBE_VERDICTS = (*FAILED_VERDICTS, Verdict.OVERDUE)


class PoolOutlierDetector:
    """Collects evidence on the servers of one service and judges them by it.

    A server is judged when a failed or slow attempt or an opinion on it arrives,
    and every ``JUDGE_INTERVAL_S`` seconds while it is not healthy. Changes of state
    are appended to ``events``.
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
        self.latency_limit = LatencyLimit()
        self.last_evidence_at = now
        self._policy = policy
        self._tracked_pool = TrackedPool(pool, events)
        self._exchange = DigestExchange(observer.vm, pool.service, observer.zone)
        self._loads: dict[ServerId, tuple[float, float]] = {}
        self._pending: dict[ServerId, PendingEvidence] = {}

    @property
    def has_unhealthy(self) -> bool:
        """Whether some server is in any state but healthy."""
        return bool(self._tracked_pool.unhealthy)

    @property
    def has_pending(self) -> bool:
        """Whether there is own evidence that has not been sent yet."""
        return bool(self._pending)

    @property
    def n_tracked(self) -> int:
        """How many servers this VM holds state for."""
        return len(self._tracked_pool.tracked)

    def set_pool(self, now: float, pool: Pool) -> bool:
        """Replace the configured servers; return whether they differ."""
        if pool == self._tracked_pool.pool:
            return False
        for server in self._tracked_pool.set_pool(now, pool):
            self._drop_server(server)
        return True

    def observe(self, now: float, observation: Observation) -> bool:
        """Record an attempt of this VM; return whether a server's health changed."""
        server = observation.server
        if server not in self._tracked_pool.servers:
            self.ignored["unknown server"] += 1
            return False
        if self._tracked_pool.is_evacuated(server):
            return False
        counts = self._checked_counts(observation)
        if counts is None:
            return False
        tracked = self._tracked_pool.track(server)
        self._add_own_evidence(now, tracked, observation, counts)
        if counts.n_failure or counts.n_slow:
            return self._judge(now, tracked)
        is_unhealthy = server in self._tracked_pool.unhealthy
        return is_unhealthy and tracked.state is ServerState.SUSPECT

    def merge(self, now: float, digest: HealthDigest) -> bool:
        """Merge another VM's digest; return whether a server's health changed."""
        rejection = self._exchange.admit(now, digest)
        if rejection:
            self.ignored[rejection] += 1
            return False
        affected = self._merge_evidence(now, digest)
        affected.update(self._merge_opinions(now, digest))
        changes = [self._judge(now, tracked) for tracked in affected.values()]
        return any(changes)

    def report_load(self, now: float, server: ServerId, load: float) -> None:
        """Record a load report that was already validated."""
        if server in self._tracked_pool.servers:
            self._loads[server] = (now, load)
        else:
            self.ignored["unknown server"] += 1

    def report_probe(self, now: float, server: ServerId, verdict: Verdict) -> bool:
        """Record a probe's verdict; return whether the server's health changed."""
        if server not in self._tracked_pool.servers:
            self.ignored["unknown server"] += 1
            return False
        if verdict not in BAD_PROBE_VERDICTS:
            return False
        tracked = self._tracked_pool.track(server)
        self.last_evidence_at = now
        return tracked.record_bad_probe(now) and self._judge(now, tracked)

    def tick(self, now: float) -> bool:
        """Apply time-outs; return whether a server's health changed."""
        changed = False
        for tracked in list(self._tracked_pool.unhealthy.values()):
            changed |= self._tick_server(now, tracked)
        return changed

    def drop_idle(self, now: float) -> None:
        """Discard the state of servers without recent evidence."""
        for server in self._tracked_pool.idle_servers(int(now)):
            self._tracked_pool.drop(server)
            self._drop_server(server)

    def server_health(self, now: float) -> tuple[ServerHealth, ...]:
        """Return the health of every configured server."""
        tracked_pool = self._tracked_pool
        idempotent_only = idempotent_only_servers(
            tracked_pool.unhealthy_in_use(), tracked_pool.n_spare
        )
        return tuple(
            self._health_of(now, server, server in idempotent_only)
            for server in tracked_pool.servers
        )

    def digests(self, now: float) -> tuple[HealthDigest, ...]:
        """Return own evidence for the monitors and opinions for the subscribers."""
        digests = []
        exchange = self._exchange
        evidence = exchange.next_evidence(
            now, self._pending, self._tracked_pool.unhealthy
        )
        if evidence:
            digests.append(exchange.digest(evidence))
        subscribers = exchange.subscribers(now)
        if subscribers:
            opinions = exchange.next_opinions(now, self._opinions(now))
            if opinions:
                digests.append(exchange.digest((), opinions, subscribers))
        return tuple(digests)

    def _checked_counts(self, observation: Observation) -> Counts | None:
        verdict, latency_s = observation.verdict, observation.latency_s
        if not 0 <= latency_s < float("inf"):
            self.ignored["bad latency"] += 1
            return None
        if verdict is Verdict.NEUTRAL:
            return None
        counts = attempt_counts(observation, self.latency_limit.limit_s)
        if verdict is Verdict.SUCCESS and not observation.cold:
            self.latency_limit.add(latency_s)
        return counts

    def _add_own_evidence(
        self,
        now: float,
        tracked: TrackedServer,
        observation: Observation,
        counts: Counts,
    ) -> None:
        evidence = tracked.evidence
        self.last_evidence_at = evidence.last_own_at = now
        if observation.verdict in FAILED_VERDICTS:
            evidence.consecutive_failures += 1
        elif observation.verdict is Verdict.SUCCESS:
            evidence.consecutive_failures = 0
        if not counts:
            return
        evidence.add_own(now, self.observer, counts)
        self._update_sequential_test(now, tracked, counts)
        if self._policy.shares_evidence:
            pending = self._pending.setdefault(tracked.server, PendingEvidence())
            pending.add(counts, observation.latency_s)

    def _merge_evidence(
        self, now: float, digest: HealthDigest
    ) -> dict[ServerId, TrackedServer]:
        affected = {}
        observer = Observer(digest.vm, digest.zone)
        for entry in digest.servers:
            counts = counts_of(entry)
            if entry.server not in self._tracked_pool.servers:
                self.ignored["unknown server"] += 1
                continue
            if counts is None:
                self.ignored["impossible counts"] += 1
                continue
            tracked = self._tracked_pool.track(entry.server)
            tracked.evidence.add_other(now, observer, counts)
            self._update_sequential_test(now, tracked, counts)
            self.last_evidence_at = now
            is_bad = counts.n_failure + counts.n_slow > 0
            if is_bad or entry.server in self._tracked_pool.unhealthy:
                affected[entry.server] = tracked
        return affected

    def _merge_opinions(
        self, now: float, digest: HealthDigest
    ) -> dict[ServerId, TrackedServer]:
        affected = {}
        opinions = tuple(valid_opinions(digest.opinions))
        self.ignored["bad opinion"] += len(digest.opinions) - len(opinions)
        for opinion in opinions:
            if opinion.server not in self._tracked_pool.servers:
                self.ignored["unknown server"] += 1
                continue
            self._exchange.receive_opinion(now, digest.vm, opinion)
            affected[opinion.server] = self._tracked_pool.track(opinion.server)
        return affected

    def _judge(self, now: float, tracked: TrackedServer) -> bool:
        tracked.judged_at = now
        is_evacuated = self._tracked_pool.is_evacuated(tracked.server)
        if is_evacuated or tracked.state is ServerState.EJECTED:
            return False
        subject = self._policy_input(now, tracked)
        tracked.local_judgement = self._policy.judge_local(subject)
        is_monitor = bool(self._exchange.subscribers(now))
        tracked.pooled_judgement = (
            self._policy.judge_fleet(subject) if is_monitor else NO_SUSPICION
        )
        suspicion = self._sequential_test_suspicion(now, tracked, subject.references)
        if suspicion > tracked.pooled_judgement.suspicion:
            tracked.pooled_judgement = replace(
                tracked.pooled_judgement, suspicion=suspicion
            )
        tracked.fleet_judgement = self._exchange.fleet_judgement(
            now, tracked.server, tracked.pooled_judgement
        )
        return self._apply_judgements(now, tracked)

    def _policy_input(self, now: float, tracked: TrackedServer) -> PolicyInput:
        references = []
        for other in self._tracked_pool.tracked.values():
            if other is not tracked and not other.is_excluded:
                references.append(self._reference(tracked, other))
            if len(references) == MAX_REFERENCES:
                break
        return PolicyInput(
            second=int(now),
            evidence=tracked.evidence,
            references=tuple(references),
            sensitivity=self._tracked_pool.pool.sensitivity,
            cold=tracked.cold,
        )

    def _update_sequential_test(
        self, now: float, tracked: TrackedServer, counts: Counts
    ) -> None:
        if self._policy.uses_sequential_test and not tracked.is_excluded:
            tracked.sequential_test.add(now, counts)

    def _sequential_test_suspicion(
        self,
        now: float,
        tracked: TrackedServer,
        references: tuple[ReferenceEvidence, ...],
    ) -> float:
        if not tracked.sequential_test.is_active:
            return 0.0
        windows = (other.evidence.pooled for other in references)
        usual = long_term_rate(int(now), windows, FAILURE)
        is_monitor = bool(self._exchange.subscribers(now))
        duration_s = MONITOR_TEST_S if is_monitor else LOCAL_TEST_S
        return tracked.sequential_test.suspicion(now, usual, duration_s)

    def _reference(
        self, tracked: TrackedServer, other: TrackedServer
    ) -> ReferenceEvidence:
        baseline = None
        if tracked.baselines is not None:
            baseline = tracked.baselines.get(other.server, EMPTY_BASELINE)
        return ReferenceEvidence(other.evidence, baseline, other.suspicion)

    def _apply_judgements(self, now: float, tracked: TrackedServer) -> bool:
        is_recovering = tracked.state in RECOVERING and not tracked.cold
        threshold = RECOVERING_EJECTION_THRESHOLD if is_recovering else 1.0
        if tracked.fleet_judgement.score >= threshold:
            judgement, state = tracked.fleet_judgement, ServerState.EJECTED
            return self._tracked_pool.exclude(now, tracked, judgement, state)
        if tracked.state is ServerState.AVOIDED:
            return False
        if tracked.local_judgement.score >= threshold:
            judgement, state = tracked.local_judgement, ServerState.AVOIDED
            return self._tracked_pool.exclude(now, tracked, judgement, state)
        return self._suspect_or_clear(now, tracked)

    def _suspect_or_clear(self, now: float, tracked: TrackedServer) -> bool:
        suspicion = max(tracked.suspicion, tracked.probe_suspicion(now))
        if tracked.state is ServerState.HEALTHY and suspicion >= SUSPECT_THRESHOLD:
            tracked.lifecycle.suspect()
            tracked.verify_spread_s = verify_spread_s(
                self._tracked_pool.own_rate(int(now))
            )
            reason = tracked.local_judgement.reason or tracked.fleet_judgement.reason
            if not reason:
                reason = "probe" if tracked.probe_suspicion(now) else "failures"
            self._tracked_pool.record_transition(now, tracked, reason)
            return True
        if tracked.state is not ServerState.SUSPECT:
            return False
        if suspicion < CLEAR_THRESHOLD:
            tracked.lifecycle.clear()
            self._tracked_pool.record_transition(now, tracked, "")
        elif tracked.score < KEPT_CLEAR_THRESHOLD:
            tracked.kept_by_floor = False
        return True

    def _tick_server(self, now: float, tracked: TrackedServer) -> bool:
        state = tracked.state
        if tracked.is_excluded and now >= tracked.excluded_until:
            self._begin_probation(now, tracked)
            return True
        if state is ServerState.PROBATION and self._passed_probation(now, tracked):
            tracked.lifecycle.begin_ramp()
            self._tracked_pool.record_transition(now, tracked, tracked.reason)
            self._tracked_pool.record_event(
                now, tracked, HealthEventKind.READMITTED, NO_SUSPICION
            )
            return True
        if state is ServerState.RAMPING and now >= tracked.state_since + tracked.ramp_s:
            tracked.lifecycle.clear()
            tracked.cold = False
            self._tracked_pool.record_transition(now, tracked, "")
            return True
        if now < tracked.judged_at + JUDGE_INTERVAL_S:
            return tracked.verifying != self._needs_verification(now, tracked)
        return self._judge(now, tracked) or state in RECOVERING

    def _begin_probation(self, now: float, tracked: TrackedServer) -> None:
        tracked.lifecycle.begin_probation()
        tracked.evidence.reset()
        tracked.fleet_judgement = tracked.local_judgement = tracked.pooled_judgement = (
            NO_SUSPICION
        )
        tracked.sequential_test = SequentialTest()
        self._exchange.drop_server(tracked.server)
        self._tracked_pool.record_transition(now, tracked, tracked.reason)

    def _passed_probation(self, now: float, tracked: TrackedServer) -> bool:
        if (
            tracked.suspicion >= SUSPECT_THRESHOLD
            or tracked.evidence.consecutive_failures
        ):
            return False
        was_used = tracked.evidence.last_own_at > tracked.state_since
        needed_s = PROBATION_S if was_used else MAX_PROBATION_S
        return now >= tracked.state_since + needed_s

    def _health_of(
        self, now: float, server: ServerId, idempotent_only: bool
    ) -> ServerHealth:
        reported_at, load = self._loads.get(server, (0.0, None))
        if now - reported_at > LOAD_REPORT_TTL_S:
            load = None
        tracked = self._tracked_pool.unhealthy.get(server)
        if tracked is None:
            return ServerHealth(server, ServerState.HEALTHY, 1.0, load=load)
        tracked.verifying = self._needs_verification(now, tracked)
        return server_health(
            now,
            tracked,
            idempotent_only=idempotent_only,
            verify=tracked.verifying,
            load=load,
        )

    def _needs_verification(self, now: float, tracked: TrackedServer) -> bool:
        return self._policy.verifies_suspects and needs_verification(
            now, tracked, self.observer.vm
        )

    def _opinions(self, now: float) -> list[Opinion]:
        opinions = []
        for tracked in self._tracked_pool.unhealthy_in_use():
            is_old = (
                tracked.is_excluded and now - tracked.state_since > EJECTED_OPINION_S
            )
            suspicion = max(
                tracked.pooled_judgement.suspicion, tracked.probe_suspicion(now)
            )
            pooled = replace(tracked.pooled_judgement, suspicion=suspicion)
            if suspicion >= SUSPECT_THRESHOLD and not is_old:
                opinions.append(opinion_of(tracked.server, pooled))
        return opinions

    def _drop_server(self, server: ServerId) -> None:
        self._loads.pop(server, None)
        self._pending.pop(server, None)
        self._exchange.drop_server(server)
