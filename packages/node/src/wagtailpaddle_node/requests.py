"""Requests between their arrival and their answer."""

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

from wagtailpaddle_node.messages import RequestHead, RequestView

MAX_ENDED = 1024
OPEN_ACCOUNT = AccountId("(open)")


class Stage(Enum):
    """What a request waits for."""

    TOKEN = auto()
    CLAIM = auto()
    SERVER = auto()


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request whose route and client account are known.

    ``service`` is the one that the route chose for it. ``claimed`` says that its
    idempotency key is held for it, ``detached`` that its caller went away.
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
    def wants_claim(self) -> bool:
        """Whether its repeats must be caught on every VM."""
        return self.head.idempotency_key is not None and not self.route.idempotent


class Requests:
    """The requests of one VM, and when those that lack a token try again."""

    def __init__(self) -> None:
        self._admitted: dict[RequestId, Admitted] = {}
        self._waiting: list[tuple[float, RequestId]] = []
        self._ended: OrderedDict[RequestId, RequestView] = OrderedDict()

    def __len__(self) -> int:
        return len(self._admitted)

    def add(self, admitted: Admitted) -> None:
        """Take in a request."""
        self._admitted[admitted.head.id] = admitted

    def get(self, request: RequestId) -> Admitted | None:
        """Return a request that is not answered yet."""
        return self._admitted.get(request)

    def update(self, request: RequestId, **changes: object) -> Admitted:
        """Change what is known of a request and return it."""
        admitted = replace(self._admitted[request], **changes)  # type: ignore[arg-type]
        self._admitted[request] = admitted
        return admitted

    def remove(self, request: RequestId) -> Admitted | None:
        """Forget a request and return what was known of it."""
        admitted = self._admitted.pop(request, None)
        if admitted is not None:
            view = RequestView(admitted.account, admitted.route.id)
            self._ended[request] = view
            if len(self._ended) > MAX_ENDED:
                self._ended.popitem(last=False)
        return admitted

    def view(self, request: RequestId) -> RequestView:
        """Return whose a request is, or was if it ended a short time ago."""
        admitted = self._admitted.get(request)
        if admitted is not None:
            return RequestView(admitted.account, admitted.route.id)
        return self._ended.get(request, RequestView(None, None))

    def wait(self, request: RequestId, at: float) -> None:
        """Let a request ask for its token again at ``at``."""
        heapq.heappush(self._waiting, (at, request))

    def due(self, now: float) -> list[Admitted]:
        """Return the requests whose time to ask again has come."""
        found = []
        while self._waiting and self._waiting[0][0] <= now:
            _, request = heapq.heappop(self._waiting)
            admitted = self._admitted.get(request)
            if admitted is not None and admitted.stage is Stage.TOKEN:
                found.append(admitted)
        return found

    def hasten(self, now: float) -> None:
        """Let every request that waits for a token ask again now."""
        self._waiting = [(min(at, now), request) for at, request in self._waiting]
        heapq.heapify(self._waiting)

    def next_due(self) -> float | None:
        """Return when ``due`` has something next, or None."""
        return self._waiting[0][0] if self._waiting else None

    def open(self) -> list[Admitted]:
        """Return the requests that are not answered yet."""
        return list(self._admitted.values())


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
    if route.accounts and account.id not in route.accounts:
        detail = f"client account {account.id!r} may not use route {route.id!r}"
        raise WagtailError(ErrorKind.FORBIDDEN, detail)
    return account
