"""The node: composes the decision packages behind one interface."""

from collections.abc import Iterable
from typing import Any

from wagtailpaddle_config import Configuration
from wagtailpaddle_core import (
    ANSWERS,
    ErrorKind,
    Offset,
    Outcome,
    RequestId,
    ServerId,
    ServiceId,
    VmId,
    WagtailError,
    ZoneId,
)
from wagtailpaddle_fleet import CallerAddresses, ListedVm, Vm
from wagtailpaddle_health import HealthBook
from wagtailpaddle_once import Reject, Run, RunOutcome, StoredAnswer
from wagtailpaddle_once import Replay as ClaimReplay
from wagtailpaddle_quota import Granted, WaitUntil
from wagtailpaddle_routing import (
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Dispatcher,
    Job,
    Refuse,
)

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.control import Codec, Control, ControlAction
from wagtailpaddle_node.follow import RawLogRecord
from wagtailpaddle_node.messages import (
    Append,
    NodeAction,
    Replay,
    RequestHead,
    RequestView,
)
from wagtailpaddle_node.requests import (
    OPEN_ACCOUNT,
    Admitted,
    Requests,
    Stage,
    authenticate,
    match_route,
)

STALL_S = 1.0


class Node:
    """All decisions of one daemon.

    Events and the present time (seconds of a clock that never goes back) come
    in, frozen actions go out. No method blocks or does I/O, so any front end
    can drive it. ``codec`` is only used to relay records between VMs.
    """

    def __init__(
        self,
        vm: Vm,
        codec: Codec,
        *,
        site: str,
        seed: int = 0,
        policy: str = "scan",
        max_waiting: int = 1024,
    ):
        self.vm = vm
        self.health = HealthBook(vm.id, policy=policy, seed=seed)
        self.dispatcher = Dispatcher(zone=vm.zone, max_waiting=max_waiting, seed=seed)
        self.backends = Backends(self.health, self.dispatcher)
        self.control = Control(vm, self.backends, codec, site=site, seed=seed)
        self.draining = False
        self._requests = Requests()
        self._event_at: float | None = None
        self._swept_revision: Offset = -1
        self._swept_fresh = False

    # State

    @property
    def fold(self) -> Any:
        """The fold of the log, for operators' commands."""
        return self.control.fold

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this VM."""
        return self.control.configuration

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        return self.control.membership.is_fresh(now)

    def is_ready(self, now: float) -> bool:
        """Return whether this VM serves, with usable shares and claims."""
        shares = self.control.quota.status(now)
        claims = self.control.claims.status()
        unsettled = shares.n_waiting + shares.n_vacant + claims.n_partitions_syncing
        seated = self.control.membership.roster.members
        knows = self.control.knows_roster and shares.may_spend
        knows = knows and any(vm.id == self.vm.id for vm in seated)
        return self.is_fresh(now) and knows and not unsettled

    def request_view(self, request: RequestId) -> RequestView:
        """Return whose request it is, or was if it ended a short time ago."""
        return self._requests.view(request)

    def server_address(self, service: ServiceId, server: ServerId) -> tuple[str, int]:
        """Return where a configured server listens. Raises ``LookupError``."""
        for known in self.configuration.services[service].servers:
            if known.id == server:
                return known.address, known.port
        raise LookupError(f"server {server!r} is not in service {service!r}")

    def addresses(
        self, now: float, key_hash: str | None, zone: ZoneId | None
    ) -> CallerAddresses:
        """Return the addresses that a caller should use, best first."""
        account = None
        if key_hash is not None:
            account = self.configuration.account_for(key_hash)
        membership = self.control.membership
        homes: tuple[VmId, ...] = ()
        if account is not None:
            vms = [vm.id for vm in membership.vms(now)]
            homes = self.control.quota.homes(account.id, vms)
        name = account.id if account is not None else None
        return membership.addresses_for(now, account=name, zone=zone, homes=homes)

    def next_wake(self, now: float) -> float | None:
        """Return when ``on_tick`` is worth a call before the regular one."""
        times = (self._requests.next_due(), self.dispatcher.next_wake(now))
        return min((at for at in times if at is not None), default=None)

    # Events of the log, of peers and of time

    @property
    def read_from(self) -> tuple[Offset, Offset]:
        """Where to read the ``config`` and the ``shares`` stream next."""
        return self.control.stream.read_from, self.control.quota.next_offset

    def on_config_trimmed(self, first: Offset) -> None:
        """The ``config`` stream holds nothing before ``first``."""
        self.control.stream.on_trimmed(first)

    def on_config_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> tuple[NodeAction, ...]:
        """The log answered a read of ``config`` that was sent at ``sent_at``."""
        self._note_time(now)
        actions = self.control.on_config_read(now, sent_at, records, first, head)
        return self._settle(now, actions) + self._sweep(now)

    def on_shares_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> tuple[NodeAction, ...]:
        """The log answered a read of ``shares`` that was sent at ``sent_at``."""
        self._note_time(now)
        self.control.on_shares_read(now, sent_at, records, first, head)
        return ()

    def on_append_failed(self, now: float, append: Append) -> None:
        """An append was not confirmed by the log."""
        self.control.on_append_failed(now, append)

    def on_vm_list(
        self, now: float, entries: Iterable[ListedVm]
    ) -> tuple[NodeAction, ...]:
        """The platform answered with its list of VMs."""
        return self._settle(now, self.control.on_vm_list(now, entries))

    def on_message(self, now: float, sender: VmId, body: Any) -> Any:
        """Return the reply to a peer's message, None if there is nothing to say."""
        self._note_time(now)
        return self.control.on_message(now, sender, body)

    def on_peer_reply(
        self, now: float, call: int, reply: Any
    ) -> tuple[NodeAction, ...]:
        """A peer answered a ``CallPeer``."""
        self._note_time(now)
        actions = self.control.on_peer_reply(now, call, reply)
        return self._settle(now, actions) + self._retry_tokens(now)

    def on_peer_failed(self, now: float, call: int) -> tuple[NodeAction, ...]:
        """A ``CallPeer`` brought no reply; it may have arrived."""
        return self._settle(now, self.control.on_peer_failed(now, call))

    def on_tick(self, now: float) -> tuple[NodeAction, ...]:
        """Act on the passing of time; called about 20 times a second."""
        self._note_time(now)
        actions = self._settle(now, self.control.tick(now))
        actions += self._settle(now, self.backends.tick(now))
        actions += self._retry_tokens(now)
        actions += self._settle(now, self.dispatcher.tick(now))
        return actions + self._sweep(now)

    def snapshots(self, wall_s: float) -> tuple[Append, ...]:
        """Return the snapshot records to append now; ask once a second."""
        return self.control.snapshots(wall_s)

    def track(self, now: float, offset: Offset) -> tuple[NodeAction, ...]:
        """Begin to count the VMs that confirm the change at ``offset``."""
        return self._settle(now, self.control.track(now, offset))

    # Graceful stop

    def release(self, now: float) -> tuple[NodeAction, ...]:
        """Hand over shares and claims, once no request is in flight."""
        return self._settle(now, self.control.release(now))

    def leave(self, now: float) -> tuple[NodeAction, ...]:
        """Hand over the seats, once shares and claims are handed over."""
        return self._settle(now, self.control.leave(now))

    @property
    def has_released(self) -> bool:
        """Whether shares and claims are in other hands."""
        return self.control.quota.released and self.control.claims.released

    @property
    def has_left(self) -> bool:
        """Whether nothing in the fleet depends on this VM any more."""
        return self.control.membership.has_left

    # Events of requests

    def on_request(self, now: float, head: RequestHead) -> tuple[NodeAction, ...]:
        """Admit a request or refuse it."""
        self._note_time(now)
        try:
            admitted = self._admit(now, head)
        except WagtailError as exc:
            return (Refuse(head.id, exc.kind, exc.detail),)
        self._requests.add(admitted)
        return self._take_token(now, admitted)

    def on_attempt(
        self,
        now: float,
        request: RequestId,
        result: AttemptResult,
        answer: StoredAnswer | None = None,
    ) -> tuple[NodeAction, ...]:
        """Take in the end of an attempt.

        ``answer`` is the whole answer if it can be kept for repeats.
        """
        self._note_time(now)
        freed = self.backends.finished(now, request, result)
        actions = self.dispatcher.finish(now, request, result)
        return self._settle(now, freed + actions, answer=answer)

    def on_cancel(
        self, now: float, request: RequestId
    ) -> tuple[bool, tuple[NodeAction, ...]]:
        """The caller of ``request`` went away; return whether it goes on.

        A request whose repeats are caught does, so that its outcome is kept
        for the caller's next try.
        """
        admitted = self._requests.get(request)
        if admitted is None:
            return False, ()
        if admitted.claimed or admitted.stage is Stage.CLAIM:
            self._requests.update(request, detached=True)
            return True, ()
        self._requests.remove(request)
        cancelled = self._settle(now, self.dispatcher.cancel(now, request))
        self.backends.forget(request)
        return False, cancelled

    def on_server_leaving(
        self, now: float, service: ServiceId, server: ServerId
    ) -> tuple[NodeAction, ...]:
        """A server said in an answer that it gets no new work."""
        marked = self.dispatcher.mark_leaving(now, service, server)
        return self._settle(now, marked)

    # Admission

    def _admit(self, now: float, head: RequestHead) -> Admitted:
        if self.draining:
            raise WagtailError(ErrorKind.DRAINING, "the VM is shutting down")
        if not self.is_fresh(now):
            raise WagtailError(ErrorKind.NOT_FRESH, "no confirmation in time")
        route = match_route(self.configuration, head)
        account = authenticate(self.configuration, head, route)
        timeout_s = min(head.timeout_s or route.timeout_s, route.timeout_s)
        name = OPEN_ACCOUNT if account is None else account.id
        return Admitted(head, route, name, now, now + timeout_s)

    def _take_token(self, now: float, admitted: Admitted) -> tuple[NodeAction, ...]:
        if admitted.route.open:
            return self._claim(now, admitted)
        quota = self.control.quota
        decision = quota.take(now, admitted.account, admitted.deadline_at)
        match decision:
            case Granted():
                return self._claim(now, admitted)
            case WaitUntil():
                self._requests.wait(admitted.head.id, decision.at)
                borrowed = self.control.borrow(now, admitted.account)
                return self._settle(now, borrowed)
        kind = ErrorKind.RATE_EXCEEDED
        detail = f"client account {admitted.account!r} is over its rate"
        if decision.cut_off or not quota.may_spend(now):
            kind = ErrorKind.NOT_FRESH
            detail = f"this VM reaches no share of {admitted.account!r}"
        refusal = Refuse(
            admitted.head.id, kind, detail, retry_after_s=decision.retry_after_s
        )
        return self._settle(now, (refusal,))

    def _retry_tokens(self, now: float) -> tuple[NodeAction, ...]:
        actions: tuple[NodeAction, ...] = ()
        for admitted in self._requests.due(now):
            actions += self._take_token(now, admitted)
        return actions

    def _claim(self, now: float, admitted: Admitted) -> tuple[NodeAction, ...]:
        head = admitted.head
        if not admitted.wants_claim:
            return self._queue(now, admitted)
        self._requests.update(head.id, stage=Stage.CLAIM)
        begun = self.control.claims.begin(
            now,
            head.id,
            admitted.account,
            head.idempotency_key or "",
            head.fingerprint,
            admitted.deadline_at,
        )
        return self._settle(now, self.control.outcomes(now, begun))

    def _queue(self, now: float, admitted: Admitted) -> tuple[NodeAction, ...]:
        self._requests.update(admitted.head.id, stage=Stage.SERVER)
        job = Job(
            id=admitted.head.id,
            account=admitted.account,
            service=admitted.route.service,
            idempotent=admitted.route.idempotent,
            arrived_at=admitted.arrived_at,
            deadline_at=admitted.deadline_at,
        )
        return self._settle(now, self.dispatcher.arrive(now, job))

    def _run(self, now: float, request: RequestId) -> tuple[NodeAction, ...]:
        """The claim stands: dispatch, unless the caller went away before."""
        admitted = self._requests.get(request)
        if admitted is None or admitted.detached:
            self._requests.remove(request)
            ended = self.control.claims.finish(now, request, RunOutcome.NOT_RUN)
            told = self._settle(now, self.control.outcomes(now, ended))
            kind = ErrorKind.IDEMPOTENCY_UNAVAILABLE
            return (Refuse(request, kind, "the caller went away"), *told)
        admitted = self._requests.update(request, claimed=True)
        return self._queue(now, admitted)

    # What follows from actions

    def _settle(
        self,
        now: float,
        actions: Iterable[ControlAction],
        *,
        answer: StoredAnswer | None = None,
    ) -> tuple[NodeAction, ...]:
        """Note what actions mean for requests; turn claims into actions."""
        settled: list[NodeAction] = []
        for action in actions:
            match action:
                case Run():
                    settled += self._run(now, action.request)
                case ClaimReplay():
                    self._requests.remove(action.request)
                    settled.append(Replay(action.request, action.answer))
                case Reject():
                    self._requests.remove(action.request)
                    settled.append(Refuse(action.request, action.kind, action.detail))
                case Dispatch():
                    self.backends.started(now, action)
                    self._requests.update(action.request, dispatched=True)
                    settled.append(action)
                case Deliver() | Refuse():
                    settled += self._answered(now, action, answer)
                case CancelAttempt():
                    self.backends.forget(action.request)
                    settled.append(action)
                case _:
                    settled.append(action)
        return tuple(settled)

    def _answered(
        self, now: float, action: Deliver | Refuse, answer: StoredAnswer | None
    ) -> tuple[NodeAction, ...]:
        admitted = self._requests.remove(action.request)
        if admitted is None or not admitted.claimed:
            return (action,)
        if isinstance(action, Deliver):
            outcome = RunOutcome.ANSWERED
        elif ANSWERS[action.kind].outcome is Outcome.NOT_RUN:
            outcome = RunOutcome.NOT_RUN
        else:
            outcome = RunOutcome.UNKNOWN
        ended = self.control.claims.finish(now, action.request, outcome, answer)
        told = self._settle(now, self.control.outcomes(now, ended))
        return (action, *told)

    def _sweep(self, now: float) -> tuple[NodeAction, ...]:
        """Refuse what waits and may no longer run."""
        fresh = self.is_fresh(now)
        revision = self.configuration.revision
        if revision == self._swept_revision and (fresh or not self._swept_fresh):
            self._swept_fresh = fresh
            return ()
        self._swept_revision = revision
        self._swept_fresh = fresh
        actions: tuple[NodeAction, ...] = ()
        for admitted in self._requests.not_dispatched():
            fault = self._fault_of(admitted, fresh)
            if fault is not None:
                actions += self._drop(now, admitted, fault)
        return actions

    def _fault_of(self, admitted: Admitted, fresh: bool) -> WagtailError | None:
        if not fresh:
            return WagtailError(ErrorKind.NOT_FRESH, "no confirmation in time")
        try:
            authenticate(self.configuration, admitted.head, admitted.route)
        except WagtailError as exc:
            return exc
        return None

    def _drop(
        self, now: float, admitted: Admitted, fault: WagtailError
    ) -> tuple[NodeAction, ...]:
        request = admitted.head.id
        match admitted.stage:
            case Stage.TOKEN:
                refusal = Refuse(request, fault.kind, fault.detail)
                return self._settle(now, (refusal,))
            case Stage.SERVER:
                dropped = self.dispatcher.drop(now, request, fault.kind, fault.detail)
                return self._settle(now, dropped)
        return ()

    def _note_time(self, now: float) -> None:
        """Find out whether the loop stood still since the last event."""
        last = self._event_at
        self._event_at = now
        if last is not None and now - last > STALL_S:
            self.control.on_stall(now, now - last)
