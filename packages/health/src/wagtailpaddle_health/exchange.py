"""Exchange of evidence and opinions between VMs on the servers of one service."""

import math
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, replace

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId

from wagtailpaddle_health.evidence import PendingEvidence
from wagtailpaddle_health.messages import (
    UNKNOWN_ZONE,
    HealthDigest,
    Opinion,
    ServerDigest,
)
from wagtailpaddle_health.scan import NO_SUSPICION, Judgement
from wagtailpaddle_health.window import Counts

DIGEST_INTERVAL_S = 0.5
OPINION_INTERVAL_S = 1.0
OPINION_TTL_S = 3.0
MIN_OPINION_CHANGE = 0.1
SENDER_TTL_S = 10.0
MAX_SENDERS = 64
MAX_OPINIONS = 8
MAX_DIGEST_SERVERS = 64
MAX_DIGEST_ATTEMPTS = 100_000
MAX_SCORE = 1000.0
QUORUM = 2


@dataclass(frozen=True, slots=True)
class _DatedOpinion:
    at: float
    opinion: Opinion


@dataclass(frozen=True, slots=True)
class _Sender:
    at: float
    sequence: int


class DigestExchange:
    """The digests that one VM receives and sends for one service.

    VMs that recently sent evidence here regard this VM as a monitor of the
    service; it sends them its opinions.
    """

    def __init__(
        self, vm: VmId, service: ServiceId, zone: ZoneId = UNKNOWN_ZONE
    ) -> None:
        self.vm = vm
        self.zone = zone
        self.service = service
        self.last_sent_at = float("-inf")
        self._sequence = 0
        self._senders: dict[VmId, _Sender] = {}
        self._received_opinions: dict[ServerId, dict[VmId, _DatedOpinion]] = {}
        self._sent_opinions: dict[ServerId, _DatedOpinion] = {}

    def admit(self, now: float, digest: HealthDigest) -> str:
        """Record a digest's sender.

        Return the reason to ignore the digest, empty if it is valid.
        """
        if digest.vm == self.vm:
            return "own digest"
        if len(digest.servers) + len(digest.opinions) > 2 * MAX_DIGEST_SERVERS:
            return "oversized digest"
        if not is_count(digest.sequence):
            return "bad sequence"
        known = self._senders.get(digest.vm)
        if known and known.at > now - SENDER_TTL_S:
            if digest.sequence <= known.sequence:
                return "repeated digest"
        elif len(self._senders) >= MAX_SENDERS:
            self._drop_idle_senders(now)
            if len(self._senders) >= MAX_SENDERS:
                return "too many senders"
        if digest.servers or known:
            self._senders[digest.vm] = _Sender(now, digest.sequence)
        return ""

    def receive_opinion(self, now: float, vm: VmId, opinion: Opinion) -> None:
        """Store the latest opinion of ``vm`` on a server."""
        by_vm = self._received_opinions.setdefault(opinion.server, {})
        self._drop_stale_opinions(now, by_vm)
        if vm in by_vm or len(by_vm) < MAX_OPINIONS:
            by_vm[vm] = _DatedOpinion(now, opinion)

    def fleet_judgement(
        self, now: float, server: ServerId, own: Judgement
    ) -> Judgement:
        """Return the fleet's judgement: the one with the second highest score.

        A single faulty or malicious VM can therefore raise suspicion, but not eject.
        """
        by_vm = self._received_opinions.get(server)
        if by_vm is not None:
            self._drop_stale_opinions(now, by_vm)
            if not by_vm:
                del self._received_opinions[server]
        if not by_vm:
            return Judgement(suspicion=own.suspicion)
        received = [entry.opinion for entry in by_vm.values()]
        ranked = [judgement_of(item) for item in received]
        if own is not NO_SUSPICION:
            ranked.append(own)
        ranked.sort(key=lambda item: (item.score, item.bad_fraction), reverse=True)
        suspicion = max(item.suspicion for item in ranked)
        if len(ranked) < QUORUM:
            return Judgement(suspicion=suspicion)
        return replace(ranked[QUORUM - 1], suspicion=suspicion)

    def drop_server(self, server: ServerId) -> None:
        """Discard the opinions received and sent on a server."""
        self._received_opinions.pop(server, None)
        self._sent_opinions.pop(server, None)

    def subscribers(self, now: float) -> tuple[VmId, ...]:
        """Return the VMs that receive this VM's opinions."""
        oldest = now - SENDER_TTL_S
        return tuple(vm for vm, item in self._senders.items() if item.at > oldest)

    def next_evidence(
        self,
        now: float,
        pending: dict[ServerId, PendingEvidence],
        unhealthy: Collection[ServerId],
    ) -> tuple[ServerDigest, ...]:
        """Remove the entries of the next digest from ``pending`` and return them.

        Failed and slow attempts are sent at once. While some server is
        ``unhealthy``, everything is sent at once, because judging it also needs the
        evidence on the others. Otherwise entries are sent once per interval.
        """
        is_due = now - self.last_sent_at >= DIGEST_INTERVAL_S
        urgent = [s for s, item in pending.items() if unhealthy or item.is_urgent]
        if not urgent and not is_due:
            return ()
        if is_due:
            self.last_sent_at = now
            urgent += [server for server in pending if server not in urgent]
        selected = urgent[:MAX_DIGEST_SERVERS]
        return tuple(pending.pop(server).digest(server) for server in selected)

    def next_opinions(
        self, now: float, opinions: Iterable[Opinion]
    ) -> tuple[Opinion, ...]:
        """Return the opinions that changed or are due to be sent again.

        An opinion that no longer holds is sent once more, with scores of 0.
        """
        current = {item.server: item for item in opinions}
        due = [item for item in current.values() if self._is_due(now, item)]
        cleared = [
            Opinion(server, 0.0, 0.0)
            for server in self._sent_opinions
            if server not in current
        ]
        for item in cleared:
            del self._sent_opinions[item.server]
        for item in due:
            self._sent_opinions[item.server] = _DatedOpinion(now, item)
        return (*due, *cleared)

    def digest(
        self,
        servers: tuple[ServerDigest, ...],
        opinions: tuple[Opinion, ...] = (),
        to: tuple[VmId, ...] = (),
    ) -> HealthDigest:
        """Return a digest with the next sequence number."""
        self._sequence += 1
        return HealthDigest(
            self.vm, self.service, servers, opinions, self._sequence, to, self.zone
        )

    def _is_due(self, now: float, opinion: Opinion) -> bool:
        sent = self._sent_opinions.get(opinion.server)
        if sent is None or now - sent.at >= OPINION_INTERVAL_S:
            return True
        previous = sent.opinion
        change = max(
            abs(previous.score - opinion.score),
            abs(previous.suspicion - opinion.suspicion),
        )
        return change >= MIN_OPINION_CHANGE and min(previous.score, opinion.score) < 1

    def _drop_idle_senders(self, now: float) -> None:
        oldest = now - SENDER_TTL_S
        idle = [vm for vm, item in self._senders.items() if item.at <= oldest]
        for vm in idle:
            del self._senders[vm]

    def _drop_stale_opinions(
        self, now: float, by_vm: dict[VmId, _DatedOpinion]
    ) -> None:
        oldest = now - OPINION_TTL_S
        stale = [vm for vm, item in by_vm.items() if item.at <= oldest]
        for vm in stale:
            del by_vm[vm]


def is_count(value: object) -> bool:
    """Return whether ``value`` is an integer that is valid in a digest."""
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 0 <= value <= 2**63  # type: ignore[operator]


def is_amount(value: object, maximum: float = math.inf) -> bool:
    """Return whether ``value`` is a finite number in [0, ``maximum``]."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value) and 0 <= value <= maximum


def counts_of(item: ServerDigest) -> Counts | None:
    """Return the counts of a digest's entry, None if they are impossible."""
    values = (item.n_success, item.n_failure, item.n_unreachable, item.n_slow)
    if not all(is_count(value) for value in values):
        return None
    n_attempts = item.n_success + item.n_failure
    if n_attempts > MAX_DIGEST_ATTEMPTS or item.n_slow > n_attempts:
        return None
    if item.n_unreachable > item.n_failure or not is_amount(item.latency_s):
        return None
    return Counts(n_attempts, *values[1:])


def judgement_of(opinion: Opinion) -> Judgement:
    """Return the judgement that an opinion carries."""
    return Judgement(
        opinion.suspicion,
        opinion.score,
        opinion.reason,
        opinion.n_failed,
        opinion.n_attempts,
    )


def opinion_of(server: ServerId, judgement: Judgement) -> Opinion:
    """Return a judgement as an opinion on ``server``."""
    return Opinion(
        server,
        judgement.suspicion,
        judgement.score,
        judgement.reason,
        judgement.n_failed,
        judgement.n_attempts,
    )


def valid_opinions(opinions: Iterable[Opinion]) -> Iterator[Opinion]:
    """Yield the opinions whose numbers are possible."""
    for item in opinions:
        scores = (item.score, item.suspicion)
        counts = (item.n_failed, item.n_attempts)
        if not all(is_amount(score, MAX_SCORE) for score in scores):
            continue
        if all(map(is_count, counts)) and item.n_failed <= item.n_attempts:
            yield item
