"""Explains where a request would go now, on copies of the state that decides."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from wagtailpaddle_config import ClientAccount, Configuration, Route, Server
from wagtailpaddle_core import (
    ANSWERS,
    AccountId,
    ErrorKind,
    RequestId,
    ServerId,
    ServiceId,
    WagtailError,
)
from wagtailpaddle_health import ServerHealth, ServerState
from wagtailpaddle_quota import RatePreview, Refused, WaitUntil
from wagtailpaddle_routing import (
    Action,
    AttemptOutcome,
    AttemptResult,
    Candidate,
    Dispatch,
    Effect,
    Fact,
    Job,
    Refuse,
)

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.messages import RequestHead
from wagtailpaddle_node.request_table import (
    AdmittedRequest,
    authenticate,
    check_allowed,
    make_job,
)

if TYPE_CHECKING:
    from wagtailpaddle_node.request_pipeline import RequestPipeline

EXPLAINED_ID = RequestId("(explained)")


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestDescription:
    """A request to explain; the client account is named instead of a key.

    ``path`` is decoded and has no query. ``timeout_s`` is the caller's time-out.
    """

    host: str
    path: str
    method: str
    account: AccountId | None = None
    timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal that a caller would get."""

    kind: ErrorKind
    status: int
    detail: str
    retry_elsewhere: bool
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class RateState:
    """What is left of a client account's rate limit, in requests and requests/s.

    ``tokens`` are those that this VM can spend without asking another VM. All three
    numbers are None without a limit. ``decision`` is "granted", "wait" or "refused",
    and ``wait_s`` the time until the request tries again.
    """

    rate: float | None
    burst: float | None
    tokens: float | None
    decision: str
    wait_s: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Where a request would go now, and why.

    ``chosen`` is the server that would get the request; None if it would be
    ``queued`` or refused. ``next`` would get it if the first one failed; without such
    a server ``next_refusal`` is what the caller would get then, or the request would
    be queued. Fields that were not reached before a refusal are empty.
    """

    route: Route | None = None
    account: AccountId | None = None
    rate: RateState | None = None
    service: ServiceId | None = None
    timeout_s: float | None = None
    n_queued: int = 0
    wait_s: float = 0.0
    servers: tuple[Candidate, ...] = ()
    chosen: ServerId | None = None
    queued: bool = False
    next: ServerId | None = None
    next_refusal: Refusal | None = None
    refusal: Refusal | None = None


def explain(
    pipeline: "RequestPipeline", now: float, asked: RequestDescription
) -> Explanation:
    """Return where a request would go now and why.

    The decisions are those of the pipeline's parts, taken on copies of their state.
    """
    explanation = Explanation()
    head = RequestHead(
        EXPLAINED_ID, asked.host, asked.path, asked.method, None, asked.timeout_s
    )
    try:
        route = pipeline.find_route(now, head)
        explanation = replace(explanation, route=route)
        account = _find_account(
            pipeline.control.configuration, head, route, asked.account
        )
        explanation = replace(explanation, account=account.id if account else None)
        admitted = pipeline.admit(now, head, route, account, pipeline.splits.peek)
    except WagtailError as exc:
        refusal = _refusal(Refuse(EXPLAINED_ID, exc.kind, exc.detail))
        return replace(explanation, refusal=refusal)
    return _explain_admitted(pipeline, now, admitted, explanation)


def _explain_admitted(
    pipeline: "RequestPipeline",
    now: float,
    admitted: AdmittedRequest,
    explanation: Explanation,
) -> Explanation:
    """Add the rate limit, the servers and the choice to an explanation."""
    job = make_job(admitted)
    trial = pipeline.backends.copy_for(job.service)
    explanation = replace(
        explanation,
        service=job.service,
        timeout_s=job.deadline_at - now,
        servers=_inspect(trial, now, job, pipeline.control.configuration),
    )
    status = next(iter(trial.dispatcher.status(now)), None)
    if status is not None:
        explanation = replace(
            explanation, n_queued=status.n_queued, wait_s=status.wait_s
        )
    preview = pipeline.preview_token(now, admitted)
    if preview is not None:
        explanation = replace(explanation, rate=_rate_state(now, preview))
        if isinstance(preview.decision, Refused):
            refuse = pipeline.rate_refusal(now, admitted, preview.decision)
            return replace(explanation, refusal=_refusal(refuse))
    return _choose(trial, now, job, explanation)


def _find_account(
    cfg: Configuration, head: RequestHead, route: Route, name: AccountId | None
) -> ClientAccount | None:
    """Return the named account if it may use the route. Raises ``WagtailError``."""
    if route.open or name is None:
        return authenticate(cfg, head, route)
    account = cfg.accounts.get(name)
    if account is None or not account.active:
        detail = f"client account {name!r} does not exist or is cancelled"
        raise WagtailError(ErrorKind.KEY_UNKNOWN, detail)
    check_allowed(account, route)
    return account


def _rate_state(now: float, preview: RatePreview) -> RateState:
    decision, wait_s = "granted", None
    match preview.decision:
        case WaitUntil(at):
            decision, wait_s = "wait", at - now
        case Refused(retry_after_s):
            decision, wait_s = "refused", retry_after_s
    return RateState(preview.rate, preview.burst, preview.tokens, decision, wait_s)


def _inspect(
    trial: Backends, now: float, job: Job, cfg: Configuration
) -> tuple[Candidate, ...]:
    """Return the configured servers of the job's service with their facts."""
    candidates = {item.server: item for item in trial.inspect(now, job)}
    health = {item.id: item for item in trial.server_health(now, job.service)}
    service = cfg.services.get(job.service)
    servers = []
    for server in service.servers if service is not None else ():
        candidate = candidates.get(server.id) or _unused(server)
        if server.id in health:
            state = _state_fact(health[server.id])
            candidate = replace(candidate, facts=(state, *candidate.facts))
        servers.append(candidate)
    return tuple(servers)


def _unused(server: Server) -> Candidate:
    """Return the candidate of a server that this VM sends no requests to."""
    fact = Fact("used_by_this_vm", False, Effect.AGAINST)
    return Candidate(server.id, server.zone, available=False, facts=(fact,))


def _state_fact(health: ServerHealth) -> Fact:
    """Return the state of a server's health, with the reason."""
    text = f"{health.state}: {health.reason}" if health.reason else str(health.state)
    is_healthy = health.state is ServerState.HEALTHY
    return Fact("state", text, Effect.FOR if is_healthy else Effect.AGAINST)


def _choose(
    trial: Backends, now: float, job: Job, explanation: Explanation
) -> Explanation:
    """Let the job arrive at the copy, and let its first attempt fail there."""
    match _own_action(trial.arrive(now, job)):
        case Refuse() as refuse:
            return replace(explanation, refusal=_refusal(refuse))
        case Dispatch() as dispatch:
            explanation = replace(explanation, chosen=dispatch.server)
        case _:
            return replace(explanation, queued=True)
    # A non-idempotent request goes to another server only if it was not sent.
    outcome = AttemptOutcome.FAILED if job.idempotent else AttemptOutcome.NOT_SENT
    result = AttemptResult(outcome, 0.0)
    match _own_action(trial.dispatcher.finish(now, job.id, result)):
        case Dispatch() as dispatch:
            return replace(explanation, next=dispatch.server)
        case Refuse() as refuse:
            return replace(explanation, next_refusal=_refusal(refuse))
    return explanation


def _own_action(actions: Iterable[Action]) -> Action | None:
    """Return the action that concerns the explained request, None if it is queued."""
    own = (action for action in actions if action.request == EXPLAINED_ID)
    return next(own, None)


def _refusal(refuse: Refuse) -> Refusal:
    answer = ANSWERS[refuse.kind]
    retry_after_s = refuse.retry_after_s
    if retry_after_s is None:
        retry_after_s = answer.retry_after_s
    return Refusal(
        refuse.kind, answer.status, refuse.detail, answer.retry_elsewhere, retry_after_s
    )
