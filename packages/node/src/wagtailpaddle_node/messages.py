"""Events that a front end hands to the node."""

from dataclasses import dataclass

from wagtailpaddle_core import RequestId


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the decisions need to know of a caller's request.

    ``path`` is decoded and carries no query. ``key_hash`` is the hash of the
    caller's key or None. ``timeout_s`` is what the caller grants, or None.
    """

    id: RequestId
    host: str
    path: str
    method: str
    key_hash: str | None
    timeout_s: float | None = None
    idempotency_key: str | None = None
    fingerprint: str = ""
