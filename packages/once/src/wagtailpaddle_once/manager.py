"""At-most-once claims: the coordinator and the replica of one VM."""

from dataclasses import dataclass

from wagtailpaddle_core import AccountId, ErrorKind, RequestId, VmId

from wagtailpaddle_once.coordinator import Coordinator
from wagtailpaddle_once.messages import (
    AskAttempt,
    AttemptStatus,
    ClaimKey,
    ClaimRoster,
    HandOverClaims,
    HandOverClaimsAnswer,
    OnceAction,
    OnceMessage,
    OnceReply,
    Place,
    Placed,
    Reject,
    RunOutcome,
    SendPeer,
    Settled,
    Store,
    StoredAnswer,
    Sync,
    SyncPage,
    Withdraw,
)
from wagtailpaddle_once.replica import Replica
from wagtailpaddle_once.store import ClaimStore, answer_bytes
from wagtailpaddle_once.table import Replicas, ReplicaTable

N_PARTITIONS = 256
CLAIM_TTL_S = 900.0
MAX_CLAIM_BYTES = 32 * 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class OnceStatus:
    """Counts for operators."""

    n_claims: int
    n_claim_bytes: int
    n_open: int
    n_partitions_syncing: int
    n_bad_messages: int


class ClaimManager:
    """Claims the keys of this VM's requests and stores claims as a replica.

    ``ttl_s`` is how long an outcome is retained, ``max_bytes`` the memory for
    claims and ``max_answer_bytes`` the largest answer that is stored. The repeat
    of a request with a larger answer is refused as ``outcome-unknown``.

    >>> manager = ClaimManager(VmId("a"))
    >>> manager.begin(
    ...     0.0, RequestId("r"), AccountId("kiosk"), "k", "f", deadline_at=1.0
    ... )[0].kind.value
    'idempotency-unavailable'
    """

    def __init__(
        self,
        vm: VmId,
        *,
        n_partitions: int = N_PARTITIONS,
        ttl_s: float = CLAIM_TTL_S,
        max_bytes: int = MAX_CLAIM_BYTES,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ):
        self.vm = vm
        self._max_answer_bytes = max_answer_bytes
        self._n_partitions = n_partitions
        self._store = ClaimStore(ttl_s=ttl_s, max_bytes=max_bytes)
        self._replica = Replica(
            vm, store=self._store, n_partitions=n_partitions, ttl_s=ttl_s
        )
        self._coordinator = Coordinator(vm)
        self._roster: ClaimRoster | None = None
        self._n_bad_messages = 0

    def on_roster(
        self,
        now: float,
        roster: ClaimRoster,
        previous: ClaimRoster | None = None,
        gone: frozenset[VmId] = frozenset(),
    ) -> tuple[OnceAction, ...]:
        """Apply a roster.

        ``previous`` is the roster of the revision before. It is None only if no
        roster was ever in force before. ``gone`` names all VMs that are proven gone
        and were replicas recently.
        """
        self._replica.on_roster(now, roster, previous, gone)
        if self._roster is not None and roster.revision <= self._roster.revision:
            return ()
        self._roster = roster
        keys = self._coordinator.unsettled_keys()
        replicas_of = {key: self._replicas_of(key) for key in keys}
        actions = self._coordinator.on_roster(now, roster.revision, replicas_of)
        return self._deliver_local(now, actions + self._replica.request_sync(now))

    def begin(
        self,
        now: float,
        request: RequestId,
        account: AccountId,
        key: str,
        fingerprint: str,
        deadline_at: float,
    ) -> tuple[OnceAction, ...]:
        """Start to claim ``key``; one ``Run``, ``Replay`` or ``Reject`` follows.

        After ``Run`` the caller dispatches the request at once, and calls
        ``finish`` however the request ends.
        """
        claim_key = ClaimKey(account, key)
        replicas = self._replicas_of(claim_key)
        if self._roster is None or not replicas:
            kind = ErrorKind.IDEMPOTENCY_UNAVAILABLE
            return (Reject(request, kind, "no roster is known yet"),)
        actions = self._coordinator.begin(
            now,
            request,
            claim_key,
            fingerprint,
            deadline_at,
            self._roster.revision,
            replicas,
        )
        return self._deliver_local(now, actions)

    def finish(
        self,
        now: float,
        request: RequestId,
        outcome: RunOutcome,
        answer: StoredAnswer | None = None,
    ) -> tuple[OnceAction, ...]:
        """Record the end of a request for which ``Run`` was returned."""
        key = self._coordinator.key_of(request)
        if key is None:
            return ()
        if answer_bytes(answer) > self._max_answer_bytes:
            answer = None
        replicas = self._replicas_of(key)
        actions = self._coordinator.finish(now, request, outcome, answer, replicas)
        return self._deliver_local(now, actions)

    def on_message(self, now: float, sender: VmId, message: OnceMessage) -> OnceReply:
        """Handle a peer's message and return the reply."""
        if isinstance(message, Place):
            return self._replica.on_place(now, message)
        if isinstance(message, Withdraw):
            return self._replica.on_withdraw(message)
        if isinstance(message, Store):
            return self._replica.on_store(now, message)
        if isinstance(message, AskAttempt):
            return self._coordinator.on_ask_attempt(message)
        if isinstance(message, Sync):
            return self._replica.on_sync(now, message)
        accepted = self._replica.on_hand_over_claims(now, sender, message)
        return HandOverClaimsAnswer(message.partition, message.page, accepted)

    def on_reply(
        self, now: float, vm: VmId, message: OnceMessage, reply: OnceReply
    ) -> tuple[OnceAction, ...]:
        """Handle the reply of ``vm`` to ``message``."""
        actions: tuple[OnceAction, ...] = ()
        if isinstance(message, Place) and isinstance(reply, Placed):
            actions = self._coordinator.on_placed(now, vm, message, reply)
        elif isinstance(message, Withdraw | Store) and isinstance(reply, Settled):
            self._coordinator.on_settled(vm, reply)
        elif isinstance(message, AskAttempt) and isinstance(reply, AttemptStatus):
            self._replica.on_attempt_status(now, message, reply)
        elif isinstance(message, Sync) and isinstance(reply, SyncPage):
            actions = self._replica.on_sync_page(now, vm, message, reply)
        elif isinstance(message, HandOverClaims) and isinstance(
            reply, HandOverClaimsAnswer
        ):
            self._replica.on_hand_over_reply(message)
        else:
            self._n_bad_messages += 1
        return self._deliver_local(now, actions)

    def on_call_failed(
        self, now: float, vm: VmId, message: OnceMessage
    ) -> tuple[OnceAction, ...]:
        """Handle a failed call of ``vm``, which may have received ``message``."""
        if not isinstance(message, Place):
            return ()
        actions = self._coordinator.on_place_failed(now, vm, message)
        return self._deliver_local(now, actions)

    def tick(self, now: float) -> tuple[OnceAction, ...]:
        """Run the timers; called several times a second."""
        self._store.expire(now)
        actions = self._coordinator.tick(now)
        actions += self._replica.request_sync(now)
        actions += self._replica.query_attempts(now)
        actions += self._replica.send_hand_overs(now)
        return self._deliver_local(now, actions)

    def release(self, now: float) -> tuple[OnceAction, ...]:
        """Start to hand over claims for a graceful stop; ``tick`` continues it.

        Call it after the last request has ended. The process may stop once
        ``released`` is True.
        """
        if self._roster is None or self._replica.leaving:
            return ()
        members = tuple(
            member for member in self._roster.members if member.vm != self.vm
        )
        table = ReplicaTable(n_partitions=self._n_partitions)
        next_replicas = table.update(ClaimRoster(self._roster.revision, members))
        successors = self._replica.successors(
            lambda partition: next_replicas[partition]
        )
        self._replica.start_hand_over(now, successors)
        return self._replica.send_hand_overs(now)

    @property
    def released(self) -> bool:
        """Whether all hand-overs are answered and all attempts settled."""
        replica = self._replica
        return replica.leaving and replica.handed_over and self._coordinator.all_settled

    def status(self) -> OnceStatus:
        """Return counts for operators."""
        return OnceStatus(
            n_claims=len(self._store),
            n_claim_bytes=self._store.n_bytes,
            n_open=self._coordinator.n_open,
            n_partitions_syncing=len(self._replica.syncing),
            n_bad_messages=self._n_bad_messages,
        )

    def _replicas_of(self, key: ClaimKey) -> Replicas:
        return self._replica.replicas(self._replica.partition(key))

    def _deliver_local(
        self, now: float, actions: tuple[OnceAction, ...]
    ) -> tuple[OnceAction, ...]:
        """Deliver messages addressed to this VM and return the other actions."""
        remaining: list[OnceAction] = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if not isinstance(action, SendPeer) or action.vm != self.vm:
                remaining.append(action)
                continue
            reply = self.on_message(now, self.vm, action.message)
            pending += self.on_reply(now, self.vm, action.message, reply)
        return tuple(remaining)
