"""Pending requests, and checks of their route and key at admission."""

import heapq
from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum, auto

from wagtailpaddle_config import ClientAccount, Configuration, Route
from wagtailpaddle_core import (
    AccountId,
    ErrorKind,
    RequestId,
    ServiceId,
    WagtailError,
)
from wagtailpaddle_routing import Job

from wagtailpaddle_node.messages import RequestHead, RequestView

MAX_ENDED_REQUESTS = 1024
OPEN_ACCOUNT = AccountId("(open)")


class Stage(Enum):
    """What a request is waiting for."""

    TOKEN = auto()
    CLAIM = auto()
    SERVER = auto()


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request whose route and client account are known.

    ``service`` was chosen by the route's weighted split. ``claimed`` means that
    the claim on its idempotency key was granted, ``detached`` that its caller
    disconnected.
    """

    head: RequestHead
    route: Route
    account: AccountId
    arrived_at: float
    deadline_at: float
    service: ServiceId = ServiceId("")
    rank: tuple[int, int] = (0, 0)
    stage: Stage = Stage.TOKEN
    claimed: bool = False
    detached: bool = False

    @property
    def needs_claim(self) -> bool:
        """Whether repeats of the request must be detected on all VMs."""
        return self.head.idempotency_key is not None and not self.route.idempotent


class RequestTable:
    """The pending requests of one VM, with retry times of those without a token."""

    def __init__(self) -> None:
        self._pending: dict[RequestId, AdmittedRequest] = {}
        self._retries: list[tuple[float, RequestId]] = []
        self._ended: OrderedDict[RequestId, RequestView] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, admitted: AdmittedRequest) -> None:
        """Add a request."""
        self._pending[admitted.head.id] = admitted

    def get(self, request: RequestId) -> AdmittedRequest | None:
        """Return a pending request, or None."""
        return self._pending.get(request)

    def update(self, request: RequestId, **changes: object) -> AdmittedRequest:
        """Replace fields of a request and return it."""
        admitted = replace(self._pending[request], **changes)  # type: ignore[arg-type]
        self._pending[request] = admitted
        return admitted

    def remove(self, request: RequestId) -> AdmittedRequest | None:
        """Remove a request and return it; its view is retained for some time."""
        admitted = self._pending.pop(request, None)
        if admitted is not None:
            view = RequestView(admitted.account, admitted.route.id)
            self._ended[request] = view
            if len(self._ended) > MAX_ENDED_REQUESTS:
                self._ended.popitem(last=False)
        return admitted

    def view(self, request: RequestId) -> RequestView:
        """Return the account and route of a pending or recently ended request."""
        admitted = self._pending.get(request)
        if admitted is not None:
            return RequestView(admitted.account, admitted.route.id)
        return self._ended.get(request, RequestView(None, None))

    def schedule_retry(self, request: RequestId, at: float) -> None:
        """Schedule a retry of the rate limiter for a request at ``at``."""
        heapq.heappush(self._retries, (at, request))

    def pop_due(self, now: float) -> list[AdmittedRequest]:
        """Remove the retries that are due and return their requests."""
        found = []
        while self._retries and self._retries[0][0] <= now:
            _, request = heapq.heappop(self._retries)
            admitted = self._pending.get(request)
            if admitted is not None and admitted.stage is Stage.TOKEN:
                found.append(admitted)
        return found

    def make_all_due(self, now: float) -> None:
        """Make the retries of all waiting requests due now."""
        self._retries = [(min(at, now), request) for at, request in self._retries]
        heapq.heapify(self._retries)

    def next_retry_at(self) -> float | None:
        """Return the time of the next retry, or None."""
        return self._retries[0][0] if self._retries else None

    def pending(self) -> list[AdmittedRequest]:
        """Return all pending requests."""
        return list(self._pending.values())


def match_route(cfg: Configuration, head: RequestHead) -> Route:
    """Return the route of a request. Raises ``WagtailError``."""
    route = cfg.route_for(head.host, head.path, head.method)
    if route is None:
        line = f"{head.method} {head.path[:64]}"
        raise WagtailError(ErrorKind.NO_ROUTE, f"no route matches {line!r}")
    return route


def authenticate(
    cfg: Configuration, head: RequestHead, route: Route
) -> ClientAccount | None:
    """Return the client account of a request, None on an open route.

    Raises ``WagtailError``.
    """
    if route.open:
        return None
    if head.key_hash is None:
        raise WagtailError(ErrorKind.KEY_MISSING, "send Authorization: Bearer")
    account = cfg.account_for(head.key_hash)
    if account is None:
        raise WagtailError(ErrorKind.KEY_UNKNOWN, "unknown or withdrawn key")
    check_allowed(account, route)
    return account


def check_contains_no_key(cfg: Configuration, head: RequestHead) -> None:
    """Raise ``WagtailError`` if a server would see a valid key.

    What merely looks like a key is passed on.
    """
    for key_hash in head.key_candidates:
        if cfg.account_for(key_hash) is not None:
            detail = "the request contains a key beyond the header for it"
            raise WagtailError(ErrorKind.BAD_REQUEST, detail)


def check_allowed(account: ClientAccount, route: Route) -> None:
    """Raise ``WagtailError`` if an account may not use a route."""
    if route.accounts and account.id not in route.accounts:
        detail = f"client account {account.id!r} may not use route {route.id!r}"
        raise WagtailError(ErrorKind.FORBIDDEN, detail)


def make_job(admitted: AdmittedRequest) -> Job:
    """Return the job that sends an admitted request to a backend server."""
    return Job(
        id=admitted.head.id,
        account=admitted.account,
        service=admitted.service,
        idempotent=admitted.route.idempotent,
        arrived_at=admitted.arrived_at,
        deadline_at=admitted.deadline_at,
        max_attempts=admitted.route.max_attempts,
        rank=admitted.rank,
        n_bytes=admitted.head.n_bytes,
    )
