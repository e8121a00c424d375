"""Events that a front end hands to the node, and actions that come back."""

from dataclasses import dataclass

from wagtailpaddle_core import AccountId, RequestId, RouteId
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_replica import NotifyFollowers, ReadStore, WriteMember
from wagtailpaddle_routing import CancelAttempt, Deliver, Dispatch, Refuse


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the decisions need to know of a caller's request.

    ``path`` is decoded and carries no query. ``key_hash`` is the hash of the
    caller's key or None. ``timeout_s`` is what the caller grants, or None.
    ``fingerprint`` tells requests with the same idempotency key apart.
    """

    id: RequestId
    host: str
    path: str
    method: str
    key_hash: str | None
    timeout_s: float | None = None
    idempotency_key: str | None = None
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class RequestView:
    """Whose request it is and by which route it goes, as far as known."""

    account: AccountId | None
    route: RouteId | None


@dataclass(frozen=True, slots=True)
class CallPeer:
    """Send ``body`` to the daemon at ``address`` and report what came of it.

    ``receiver`` is the VM that is meant, empty for whichever runs there. The
    front end answers ``on_peer_reply`` or ``on_peer_failed`` with ``call``.
    """

    call: int
    address: str
    receiver: str
    body: object
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Append:
    """Append ``record`` to ``stream`` of the log, once.

    The front end reports ``on_append_failed`` unless the log confirmed it.
    """

    stream: str
    record: object


@dataclass(frozen=True, slots=True)
class Note:
    """Something that the node now believes, for the log of decisions."""

    event: str
    facts: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the caller the stored answer of the first request with its key."""

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
