"""The coordinator side: one attempt for each request with an idempotency key."""

from collections import deque
from collections.abc import Iterable
from enum import StrEnum

from wagtailpaddle_core import ErrorKind, RequestId, VmId, ensure

from wagtailpaddle_once.messages import (
    AskAttempt,
    AttemptId,
    AttemptState,
    AttemptStatus,
    Claim,
    ClaimKey,
    ClaimState,
    OnceAction,
    Place,
    Placed,
    Reject,
    Replay,
    Run,
    RunOutcome,
    SendPeer,
    Settled,
    Store,
    StoredAnswer,
    Vote,
    Withdraw,
)
from wagtailpaddle_once.table import Replicas, majority

PLACE_TIMEOUT_S = 1.0
PLACE_RETRY_INTERVAL_S = 0.1
SETTLE_RETRY_INTERVAL_S = 0.5
SETTLE_TIMEOUT_S = 30.0
ATTEMPT_RETENTION_S = 120.0
MAX_OPEN_ATTEMPTS = 10_000
MAX_CLOSED_ATTEMPTS = 20_000


class _Phase(StrEnum):
    PLACING = "placing"
    RUNNING = "running"
    WITHDRAWN = "withdrawn"
    FINISHED = "finished"


class _Attempt:
    __slots__ = (
        "contacted",
        "failed",
        "fingerprint",
        "id",
        "key",
        "outcome",
        "phase",
        "placing_deadline_at",
        "replicas",
        "request",
        "retry_at",
        "revision",
        "settling_deadline_at",
        "unsettled",
        "votes",
    )

    def __init__(
        self,
        id: AttemptId,
        request: RequestId,
        key: ClaimKey,
        fingerprint: str,
        placing_deadline_at: float,
        revision: int,
        replicas: Replicas,
    ) -> None:
        self.id = id
        self.request = request
        self.key = key
        self.fingerprint = fingerprint
        self.placing_deadline_at = placing_deadline_at
        self.revision = revision
        self.replicas = replicas
        self.phase: _Phase = _Phase.PLACING
        self.votes: dict[VmId, Placed] = {}
        self.failed: set[VmId] = set()
        self.retry_at: float = 0.0
        self.contacted: set[VmId] = set()
        self.unsettled: set[VmId] = set()
        self.settling_deadline_at: float = 0.0
        self.outcome: Store | None = None

    def settlement(self) -> Withdraw | Store:
        """Return the message that reports the end of the attempt to the replicas."""
        return self.outcome or Withdraw(self.key, self.id)


class Coordinator:
    """Tracks the attempts of this VM until the replicas know how they ended.

    An attempt runs only if a majority of one set of replicas accepted it before
    ``placing_deadline_at`` on this VM's clock. An attempt that was given up never
    runs, so a ``Withdraw`` is safe however late it arrives.
    """

    def __init__(self, vm: VmId):
        self.vm = vm
        self._n_attempts = 0
        self._open: dict[RequestId, _Attempt] = {}
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._settling: dict[AttemptId, None] = {}
        self._closed: deque[tuple[float, AttemptId]] = deque()

    @property
    def n_open(self) -> int:
        """Number of requests that are being claimed or run."""
        return len(self._open)

    @property
    def all_settled(self) -> bool:
        """Whether no attempt is open and none is still being settled."""
        return not self._open and not self._settling

    def begin(
        self,
        now: float,
        request: RequestId,
        key: ClaimKey,
        fingerprint: str,
        deadline_at: float,
        revision: int,
        replicas: Replicas,
    ) -> tuple[OnceAction, ...]:
        """Start to place a claim on the replicas."""
        if len(self._open) >= MAX_OPEN_ATTEMPTS:
            detail = f"{len(self._open)} claims are open"
            return (Reject(request, ErrorKind.IDEMPOTENCY_BUSY, detail),)
        ensure(request not in self._open, "request-claimed-once", request=request)
        self._n_attempts += 1
        attempt = _Attempt(
            id=AttemptId(self.vm, self._n_attempts),
            request=request,
            key=key,
            fingerprint=fingerprint,
            placing_deadline_at=min(deadline_at, now + PLACE_TIMEOUT_S),
            revision=revision,
            replicas=replicas,
        )
        self._open[request] = attempt
        self._attempts[attempt.id] = attempt
        return self._place(now, attempt, replicas)

    def finish(
        self,
        now: float,
        request: RequestId,
        outcome: RunOutcome,
        answer: StoredAnswer | None,
        replicas: Replicas,
    ) -> tuple[OnceAction, ...]:
        """Report how a run ended to the replicas; an unknown request is ignored."""
        attempt = self._open.get(request)
        if attempt is None or attempt.phase is not _Phase.RUNNING:
            return ()
        if outcome is RunOutcome.NOT_RUN:
            return self._close(now, attempt, _Phase.WITHDRAWN, replicas)
        is_known = outcome is RunOutcome.ANSWERED and answer is not None
        attempt.outcome = Store(
            key=attempt.key,
            fingerprint=attempt.fingerprint,
            attempt=attempt.id,
            state=ClaimState.DONE if is_known else ClaimState.UNKNOWN,
            answer=answer if is_known else None,
        )
        return self._close(now, attempt, _Phase.FINISHED, replicas)

    def key_of(self, request: RequestId) -> ClaimKey | None:
        """Return the key of an open request."""
        attempt = self._open.get(request)
        return None if attempt is None else attempt.key

    def on_placed(
        self, now: float, vm: VmId, message: Place, reply: Placed
    ) -> tuple[OnceAction, ...]:
        """Record a replica's vote."""
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            return ()
        if attempt.phase in (_Phase.WITHDRAWN, _Phase.FINISHED):
            if reply.vote is not Vote.ACCEPTED:
                return ()
            return (SendPeer(vm, attempt.settlement()),)
        if attempt.phase is _Phase.RUNNING or message.revision != attempt.revision:
            return ()
        attempt.votes[vm] = reply
        attempt.failed.discard(vm)
        return self._decide(now, attempt)

    def on_place_failed(
        self, now: float, vm: VmId, message: Place
    ) -> tuple[OnceAction, ...]:
        """Record that the call for a replica's vote failed."""
        attempt = self._attempts.get(message.attempt)
        if attempt is None or attempt.phase is not _Phase.PLACING:
            return ()
        if message.revision == attempt.revision and vm not in attempt.votes:
            attempt.failed.add(vm)
        return self._decide(now, attempt)

    def on_settled(self, vm: VmId, reply: Settled) -> None:
        """Record that a replica knows how an attempt ended."""
        attempt = self._attempts.get(reply.attempt)
        if attempt is None or not reply.kept:
            return
        attempt.unsettled.discard(vm)
        if not attempt.unsettled:
            self._settling.pop(attempt.id, None)

    def on_ask_attempt(self, message: AskAttempt) -> AttemptStatus:
        """Return the state of an attempt to a replica."""
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            state = AttemptState.FORGOTTEN
            return AttemptStatus(message.key, message.attempt, state)
        states = {
            _Phase.WITHDRAWN: AttemptState.WITHDRAWN,
            _Phase.FINISHED: AttemptState.FINISHED,
        }
        state = states.get(attempt.phase, AttemptState.OPEN)
        return AttemptStatus(message.key, message.attempt, state, attempt.outcome)

    def on_roster(
        self, now: float, revision: int, replicas_of: dict[ClaimKey, Replicas]
    ) -> tuple[OnceAction, ...]:
        """Place open claims again under a new roster.

        Attempts that are being settled are settled on the new replicas too.
        """
        actions: tuple[OnceAction, ...] = ()
        for attempt in list(self._open.values()):
            if attempt.phase is _Phase.PLACING:
                actions += self._place_again(
                    now, attempt, revision, replicas_of[attempt.key]
                )
        for attempt_id in list(self._settling):
            attempt = self._attempts[attempt_id]
            attempt.unsettled |= set(replicas_of[attempt.key])
        return actions

    def unsettled_keys(self) -> Iterable[ClaimKey]:
        """Iterate over the keys of open attempts and of those being settled."""
        for attempt in self._open.values():
            yield attempt.key
        for attempt_id in self._settling:
            yield self._attempts[attempt_id].key

    def tick(self, now: float) -> tuple[OnceAction, ...]:
        """Retry calls that are due and give up attempts past their deadline."""
        actions: tuple[OnceAction, ...] = ()
        for attempt in list(self._open.values()):
            if attempt.phase is not _Phase.PLACING:
                continue
            actions += self._decide(now, attempt)
            if attempt.phase is _Phase.PLACING and now >= attempt.retry_at:
                actions += self._place(now, attempt, self._retryable(attempt))
        for attempt_id in list(self._settling):
            actions += self._settle(now, self._attempts[attempt_id])
        self._evict_closed(now)
        return actions

    # Placing claims and counting votes

    def _place(
        self, now: float, attempt: _Attempt, replicas: Iterable[VmId]
    ) -> tuple[OnceAction, ...]:
        attempt.retry_at = now + PLACE_RETRY_INTERVAL_S
        recipients = tuple(replicas)
        attempt.failed -= set(recipients)
        attempt.contacted |= set(recipients)
        message = Place(attempt.revision, attempt.key, attempt.fingerprint, attempt.id)
        return tuple(SendPeer(vm, message) for vm in recipients)

    def _retryable(self, attempt: _Attempt) -> list[VmId]:
        """Return the replicas whose call failed or whose refusal is temporary."""
        temporary = (Vote.REVISION, Vote.NOT_SYNCED)
        return [
            vm
            for vm in attempt.replicas
            if vm in attempt.failed
            or (vm in attempt.votes and attempt.votes[vm].vote in temporary)
        ]

    def _place_again(
        self, now: float, attempt: _Attempt, revision: int, replicas: Replicas
    ) -> tuple[OnceAction, ...]:
        if replicas == attempt.replicas:
            return ()
        attempt.revision = revision
        attempt.replicas = replicas
        attempt.votes = {}
        attempt.failed = set()
        return self._place(now, attempt, replicas)

    def _decide(self, now: float, attempt: _Attempt) -> tuple[OnceAction, ...]:
        """Run, replay or reject the request, or wait for more votes."""
        if attempt.phase is not _Phase.PLACING:
            return ()
        if now < attempt.placing_deadline_at and self._accepted(attempt):
            attempt.phase = _Phase.RUNNING
            return (Run(attempt.request),)
        conflicting = [
            reply.claim for reply in attempt.votes.values() if reply.claim is not None
        ]
        for claim in conflicting:
            result = self._resolve_by_claim(attempt, claim)
            if result is not None:
                return self._give_up(now, attempt, result)
        if now >= attempt.placing_deadline_at or self._majority_unreachable(attempt):
            return self._give_up(now, attempt, self._rejection(attempt, conflicting))
        return ()

    def _accepted(self, attempt: _Attempt) -> bool:
        accepted = [
            vm
            for vm, vote in attempt.votes.items()
            if vote.vote is Vote.ACCEPTED and vm in attempt.replicas
        ]
        return len(accepted) >= majority(attempt.replicas)

    def _majority_unreachable(self, attempt: _Attempt) -> bool:
        """Return whether all calls have ended and retries cannot reach a majority."""
        responded = attempt.failed | set(attempt.votes)
        if not responded.issuperset(attempt.replicas):
            return False
        retryable = self._retryable(attempt)
        n_accepted = sum(vote.vote is Vote.ACCEPTED for vote in attempt.votes.values())
        return n_accepted + len(retryable) < majority(attempt.replicas)

    def _resolve_by_claim(
        self, attempt: _Attempt, claim: Claim
    ) -> Replay | Reject | None:
        """Return the result if this conflicting claim alone decides it."""
        if claim.fingerprint != attempt.fingerprint:
            detail = f"key {attempt.key.key!r} was used for another request"
            return Reject(attempt.request, ErrorKind.IDEMPOTENCY_MISMATCH, detail)
        if claim.state is ClaimState.DONE and claim.answer is not None:
            return Replay(attempt.request, claim.answer)
        return None

    def _rejection(self, attempt: _Attempt, conflicting: list[Claim]) -> Reject:
        states = {claim.state for claim in conflicting}
        votes = {vote.vote for vote in attempt.votes.values()}
        key = attempt.key.key
        if ClaimState.UNKNOWN in states:
            kind, detail = ErrorKind.OUTCOME_UNKNOWN, f"key {key!r} may have run"
        elif states:
            kind, detail = ErrorKind.IN_PROGRESS, f"key {key!r} is claimed"
        elif Vote.FULL in votes:
            kind, detail = ErrorKind.IDEMPOTENCY_BUSY, "the replicas are full"
        else:
            kind = ErrorKind.IDEMPOTENCY_UNAVAILABLE
            detail = (
                f"no majority of {len(attempt.replicas)} replicas accepted the claim"
            )
        return Reject(attempt.request, kind, detail)

    def _give_up(
        self, now: float, attempt: _Attempt, result: Replay | Reject
    ) -> tuple[OnceAction, ...]:
        ensure(
            attempt.phase is _Phase.PLACING,
            "only-placing-attempts-give-up",
            phase=attempt.phase,
        )
        return (result, *self._close(now, attempt, _Phase.WITHDRAWN, ()))

    # Reporting to the replicas how attempts ended

    def _close(
        self, now: float, attempt: _Attempt, phase: _Phase, replicas: Replicas
    ) -> tuple[OnceAction, ...]:
        del self._open[attempt.request]
        attempt.phase = phase
        attempt.votes = {}
        attempt.unsettled = attempt.contacted | set(replicas)
        attempt.settling_deadline_at = now + SETTLE_TIMEOUT_S
        attempt.retry_at = now
        self._settling[attempt.id] = None
        self._closed.append((now, attempt.id))
        return self._settle(now, attempt)

    def _settle(self, now: float, attempt: _Attempt) -> tuple[OnceAction, ...]:
        if now >= attempt.settling_deadline_at:
            self._settling.pop(attempt.id, None)
            return ()
        if now < attempt.retry_at:
            return ()
        attempt.retry_at = now + SETTLE_RETRY_INTERVAL_S
        message = attempt.settlement()
        return tuple(SendPeer(vm, message) for vm in sorted(attempt.unsettled))

    def _evict_closed(self, now: float) -> None:
        while self._closed:
            closed_at, attempt_id = self._closed[0]
            expired = now - closed_at >= ATTEMPT_RETENTION_S
            if not expired and len(self._closed) <= MAX_CLOSED_ATTEMPTS:
                return
            self._closed.popleft()
            self._attempts.pop(attempt_id, None)
            self._settling.pop(attempt_id, None)
