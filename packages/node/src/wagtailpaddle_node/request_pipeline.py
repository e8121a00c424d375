"""The request pipeline: admission, rate limit, claim, dispatch, response."""

from collections.abc import Callable, Iterable
from math import inf
from typing import TYPE_CHECKING

from wagtailpaddle_config import ClientAccount, Route
from wagtailpaddle_core import (
    ANSWERS,
    ErrorKind,
    Offset,
    Outcome,
    RequestId,
    ServiceId,
    WagtailError,
)
from wagtailpaddle_once import Reject, Run, RunOutcome, StoredAnswer
from wagtailpaddle_once import Replay as ClaimReplay
from wagtailpaddle_quota import Granted, RatePreview, Refused, WaitUntil
from wagtailpaddle_routing import (
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Dispatcher,
    Refuse,
)

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.messages import NodeAction, Replay, RequestHead, RequestView
from wagtailpaddle_node.request_table import (
    OPEN_ACCOUNT,
    AdmittedRequest,
    RequestTable,
    Stage,
    authenticate,
    check_contains_no_key,
    make_job,
    match_route,
)
from wagtailpaddle_node.weighted_splits import WeightedSplits

if TYPE_CHECKING:
    from wagtailpaddle_node.control import Control, ControlAction


class RequestPipeline:
    """Advances each request from its arrival to its response.

    ``settle`` receives the decisions of other packages about requests and
    returns actions for the front end. While ``draining`` is set, new requests
    are refused; those whose deadline is after ``ends_at`` are refused in any case.
    """

    def __init__(self, control: "Control", backends: Backends, dispatcher: Dispatcher):
        self.control = control
        self.backends = backends
        self.dispatcher = dispatcher
        self.draining = False
        self.ends_at = inf
        self._requests = RequestTable()
        self.splits = WeightedSplits()
        self._swept_revision: Offset = -1
        self._swept_fresh = False

    def view(self, request: RequestId) -> RequestView:
        """Return the account and route of a pending or recently ended request."""
        return self._requests.view(request)

    @property
    def n_requests(self) -> int:
        """Number of pending requests."""
        return len(self._requests)

    def next_wake(self, now: float) -> float | None:
        """Return when the next timer of a request is due, or None."""
        times = (self._requests.next_retry_at(), self.dispatcher.next_wake(now))
        return min((at for at in times if at is not None), default=None)

    def begin(
        self, now: float, head: RequestHead, *, arrived_at: float | None = None
    ) -> tuple[NodeAction, ...]:
        """Admit a request or refuse it; its time began at ``arrived_at``, or now."""
        if arrived_at is None:
            arrived_at = now
        try:
            route = self.find_route(now, head)
            account = authenticate(self.control.configuration, head, route)
            check_contains_no_key(self.control.configuration, head)
            admitted = self.admit(arrived_at, head, route, account, self.splits.choose)
        except WagtailError as exc:
            return (Refuse(head.id, exc.kind, exc.detail),)
        self._requests.add(admitted)
        return self._acquire_token(now, admitted)

    def finish(
        self,
        now: float,
        request: RequestId,
        result: AttemptResult,
        answer: StoredAnswer | None,
    ) -> tuple[NodeAction, ...]:
        """Record the end of an attempt."""
        pool_actions = self.backends.on_attempt_finished(now, request, result)
        actions = self.dispatcher.finish(now, request, result)
        return self.settle(now, pool_actions + actions, answer=answer)

    def cancel(
        self, now: float, request: RequestId
    ) -> tuple[bool, tuple[NodeAction, ...]]:
        """The caller of ``request`` disconnected; return whether it continues."""
        admitted = self._requests.get(request)
        if admitted is None:
            return False, ()
        if admitted.claimed or admitted.stage is Stage.CLAIM:
            self._requests.update(request, detached=True)
            return True, ()
        self._requests.remove(request)
        cancelled = self.settle(now, self.dispatcher.cancel(now, request))
        self.backends.discard_attempt(request)
        return False, cancelled

    def retry_tokens(self, now: float) -> tuple[NodeAction, ...]:
        """Retry the rate limiter for waiting requests that are due."""
        actions: tuple[NodeAction, ...] = ()
        for admitted in self._requests.pop_due(now):
            actions += self._acquire_token(now, admitted)
        return actions

    def retry_all_tokens(self, now: float) -> tuple[NodeAction, ...]:
        """Retry the rate limiter for every request that waits for a token."""
        self._requests.make_all_due(now)
        return self.retry_tokens(now)

    def settle(
        self,
        now: float,
        actions: "Iterable[ControlAction]",
        *,
        answer: StoredAnswer | None = None,
    ) -> tuple[NodeAction, ...]:
        """Apply actions to their requests and turn claim outcomes into actions."""
        settled: list[NodeAction] = []
        for action in actions:
            match action:
                case Run():
                    settled += self._run(now, action.request)
                case ClaimReplay():
                    if self._requests.remove(action.request) is not None:
                        settled.append(Replay(action.request, action.answer))
                case Reject():
                    if self._requests.remove(action.request) is not None:
                        refusal = Refuse(action.request, action.kind, action.detail)
                        settled.append(refusal)
                case Dispatch():
                    self.backends.on_attempt_started(now, action)
                    settled.append(action)
                case Deliver() | Refuse():
                    settled += self._on_answered(now, action, answer)
                case CancelAttempt():
                    self.backends.discard_attempt(action.request)
                    settled.append(action)
                case _:
                    settled.append(action)
        return tuple(settled)

    def sweep(self, now: float) -> tuple[NodeAction, ...]:
        """Refuse waiting requests that may no longer run; end retries of running ones.

        Does nothing unless the configuration or the freshness of the VM changed.
        """
        fresh = self.control.membership.is_fresh(now)
        revision = self.control.configuration.revision
        if revision == self._swept_revision and (fresh or not self._swept_fresh):
            self._swept_fresh = fresh
            return ()
        self._swept_revision = revision
        self._swept_fresh = fresh
        actions: tuple[NodeAction, ...] = ()
        for admitted in self._requests.pending():
            fault = self._find_fault(now, admitted)
            if fault is not None:
                actions += self._refuse(now, admitted, fault)
        return actions

    def refuse_waiting(self, now: float) -> tuple[NodeAction, ...]:
        """Refuse the waiting requests, since the VM stops; running ones end."""
        fault = WagtailError(ErrorKind.DRAINING, "the VM shuts down")
        actions: tuple[NodeAction, ...] = ()
        for admitted in self._requests.pending():
            if admitted.stage is Stage.CLAIM:
                # A claim that is granted later is withdrawn then.
                self._requests.remove(admitted.head.id)
                actions += (Refuse(admitted.head.id, fault.kind, fault.detail),)
            else:
                actions += self._refuse(now, admitted, fault)
        return actions

    def abandon_running(self, now: float) -> tuple[NodeAction, ...]:
        """Refuse the requests that servers still have, since the VM stops now.

        They may have run, or may still run.
        """
        actions: tuple[NodeAction, ...] = ()
        for admitted in self._requests.pending():
            abandoned = self.dispatcher.abandon(now, admitted.head.id)
            actions += self.settle(now, abandoned)
        return actions

    def find_route(self, now: float, head: RequestHead) -> Route:
        """Return the route of a request that may be served now.

        Raises ``WagtailError``.
        """
        if self.draining:
            raise WagtailError(ErrorKind.DRAINING, "the VM is shutting down")
        cfg = self.control.configuration
        membership = self.control.membership
        route = None
        if membership.is_fresh(now):
            route = match_route(cfg, head)
        elif membership.may_serve_open(now):
            route = cfg.route_for(head.host, head.path, head.method)
        if route is None or not self._may_serve(now, route):
            raise WagtailError(
                ErrorKind.NOT_FRESH, "the configuration was not confirmed in time"
            )
        return route

    def admit(
        self,
        arrived_at: float,
        head: RequestHead,
        route: Route,
        account: ClientAccount | None,
        choose_service: Callable[[Route], ServiceId],
    ) -> AdmittedRequest:
        """Return an admitted request. Raises ``WagtailError`` if it ends too late."""
        timeout_s = min(head.timeout_s or route.timeout_s, route.timeout_s)
        if arrived_at + timeout_s > self.ends_at:
            detail = "the VM shuts down before the request's deadline"
            raise WagtailError(ErrorKind.DRAINING, detail)
        name = OPEN_ACCOUNT if account is None else account.id
        return AdmittedRequest(
            head,
            route,
            name,
            arrived_at,
            arrived_at + timeout_s,
            service=choose_service(route),
            rank=(account.priority if account else 0, route.priority),
        )

    def _may_serve(self, now: float, route: Route) -> bool:
        """Return whether this VM's configuration is current enough for a route."""
        membership = self.control.membership
        if membership.is_fresh(now):
            return True
        return route.open and membership.may_serve_open(now)

    def _acquire_token(
        self, now: float, admitted: AdmittedRequest
    ) -> tuple[NodeAction, ...]:
        if admitted.route.open:
            return self._claim(now, admitted)
        until = self._token_deadline(admitted)
        decision = self.control.quota.acquire(now, admitted.account, until)
        match decision:
            case Granted():
                return self._claim(now, admitted)
            case WaitUntil():
                self._requests.schedule_retry(admitted.head.id, decision.at)
                borrowed = self.control.borrow(now, admitted.account)
                return self.settle(now, borrowed)
        return self.settle(now, (self.rate_refusal(now, admitted, decision),))

    def preview_token(
        self, now: float, admitted: AdmittedRequest
    ) -> RatePreview | None:
        """Return what the rate limiter would decide, None on an open route."""
        if admitted.route.open:
            return None
        until = self._token_deadline(admitted)
        preview: RatePreview = self.control.quota.preview(now, admitted.account, until)
        return preview

    def _token_deadline(self, admitted: AdmittedRequest) -> float:
        """Return until when a request may wait for a token."""
        max_wait_until = admitted.arrived_at + self.control.quota.max_wait_s
        return min(admitted.deadline_at, max_wait_until)

    def rate_refusal(
        self, now: float, admitted: AdmittedRequest, decision: Refused
    ) -> Refuse:
        """Return the refusal of a request that gets no token."""
        kind = ErrorKind.RATE_EXCEEDED
        detail = f"client account {admitted.account!r} is over its rate"
        if decision.holders_unreachable or not self.control.quota.may_spend(now):
            kind = ErrorKind.NOT_FRESH
            detail = f"cannot get tokens for client account {admitted.account!r}"
        return Refuse(
            admitted.head.id, kind, detail, retry_after_s=decision.retry_after_s
        )

    def _claim(self, now: float, admitted: AdmittedRequest) -> tuple[NodeAction, ...]:
        head = admitted.head
        if not admitted.needs_claim:
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
        return self.settle(now, self.control.convert_claim_actions(now, begun))

    def _queue(self, now: float, admitted: AdmittedRequest) -> tuple[NodeAction, ...]:
        self._requests.update(admitted.head.id, stage=Stage.SERVER)
        return self.settle(now, self.backends.arrive(now, make_job(admitted)))

    def _run(self, now: float, request: RequestId) -> tuple[NodeAction, ...]:
        """Dispatch a request whose claim was granted, if it may still run."""
        admitted = self._requests.get(request)
        if admitted is None:
            return self._withdraw_claim(now, request)
        if admitted.detached:
            kind = ErrorKind.IDEMPOTENCY_UNAVAILABLE
            gone = WagtailError(kind, "the caller disconnected")
            return self._release_claim(now, request, gone)
        fault = self._find_fault(now, admitted)
        if fault is not None:
            return self._release_claim(now, request, fault)
        return self._queue(now, self._requests.update(request, claimed=True))

    def _release_claim(
        self, now: float, request: RequestId, fault: WagtailError
    ) -> tuple[NodeAction, ...]:
        """Refuse a request with a granted claim and free its key for a retry."""
        self._requests.remove(request)
        withdrawn = self._withdraw_claim(now, request)
        return (Refuse(request, fault.kind, fault.detail), *withdrawn)

    def _withdraw_claim(self, now: float, request: RequestId) -> tuple[NodeAction, ...]:
        ended = self.control.claims.finish(now, request, RunOutcome.NOT_RUN)
        return self.settle(now, self.control.convert_claim_actions(now, ended))

    def _on_answered(
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
        claim_actions = self.settle(now, self.control.convert_claim_actions(now, ended))
        return (action, *claim_actions)

    def _find_fault(self, now: float, admitted: AdmittedRequest) -> WagtailError | None:
        if not self._may_serve(now, admitted.route):
            return WagtailError(
                ErrorKind.NOT_FRESH, "the configuration was not confirmed in time"
            )
        try:
            authenticate(self.control.configuration, admitted.head, admitted.route)
        except WagtailError as exc:
            return exc
        return None

    def _refuse(
        self, now: float, admitted: AdmittedRequest, fault: WagtailError
    ) -> tuple[NodeAction, ...]:
        request = admitted.head.id
        match admitted.stage:
            case Stage.TOKEN:
                refusal = Refuse(request, fault.kind, fault.detail)
                return self.settle(now, (refusal,))
            case Stage.SERVER:
                dropped = self.dispatcher.drop(now, request, fault.kind, fault.detail)
                return self.settle(now, dropped)
        return ()
