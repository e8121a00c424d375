"""Events that a front end passes to the node, and actions that it returns."""

from dataclasses import dataclass

from wagtailpaddle_core import AccountId, Offset, RequestId, RouteId
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_replica import NotifyFollowers, ReadStore, WriteMember
from wagtailpaddle_routing import CancelAttempt, Deliver, Dispatch, Refuse


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The properties of a caller's request on which decisions depend.

    ``path`` is decoded and has no query. ``key_hash`` is the hash of the
    caller's key or None. ``timeout_s`` is the caller's time-out or None.
    ``fingerprint`` distinguishes requests with the same idempotency key.
    ``n_bytes`` is the size of the body. ``key_candidates`` are the hashes of the words
    that may be keys, in the parts of the request that a server gets as they are.
    """

    id: RequestId
    host: str
    path: str
    method: str
    key_hash: str | None
    timeout_s: float | None = None
    idempotency_key: str | None = None
    fingerprint: str = ""
    n_bytes: int = 0
    key_candidates: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestView:
    """The client account and the route of a request, None where unknown."""

    account: AccountId | None
    route: RouteId | None


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Which configuration decides now, and how current it is proven to be.

    ``version`` is the version of the operators' document and ``age_s`` the time since
    the copy was last proven current, both None where they do not exist.
    """

    revision: Offset
    version: int | None = None
    age_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallPeer:
    """Send ``body`` to the daemon at ``address`` and report the result.

    ``receiver`` is the VM that must receive it, empty for any VM at the address.
    The front end reports ``on_peer_reply`` or ``on_peer_failed`` with ``call``.
    """

    call: int
    address: str
    receiver: str
    body: object
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Append:
    """Append ``record`` to ``stream`` of the log, without retries.

    The front end reports ``on_append_failed`` unless the log confirms it.
    """

    stream: str
    record: object


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A change of the node's view of the fleet or its servers, for the decision log."""

    event: str
    facts: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class Replay:
    """Send the caller the stored answer of the first request with its key."""

    request: RequestId
    answer: StoredAnswer


NodeAction = (
    Dispatch
    | Deliver
    | Refuse
    | CancelAttempt
    | CallPeer
    | Append
    | Replay
    | ReadStore
    | WriteMember
    | NotifyFollowers
)
