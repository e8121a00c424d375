"""Headers between caller and backend server: what is passed on."""

from collections.abc import Iterable, Iterator
from urllib.parse import unquote_to_bytes

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

Header = tuple[bytes, bytes]


def bearer_key(value: bytes | None) -> bytes | None:
    """Return the key of an ``Authorization: Bearer`` header value, or None."""
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    if scheme.lower() != b"bearer" or not key.strip():
        return None
    return key.strip()


def forwardable(headers: Iterable[Header], key: bytes | None) -> Iterator[Header]:
    """Yield the headers to pass on: no hop-by-hop ones, none with the key."""
    listed = list(headers)
    dropped = set(HOP_BY_HOP)
    for name, value in listed:
        if name.lower() == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    for name, value in listed:
        lowered = name.lower()
        if lowered in dropped or lowered == b"authorization":
            continue
        if key is not None and holds_key(value, key):
            continue
        yield name, value


def strip_query(uri: bytes, key: bytes | None) -> bytes:
    """Return ``uri`` without the query fields that hold the key."""
    path, mark, query = uri.partition(b"?")
    if not mark or key is None:
        return uri
    kept = [field for field in query.split(b"&") if not holds_key(field, key)]
    return path + b"?" + b"&".join(kept) if kept else path


def holds_key(value: bytes, key: bytes) -> bool:
    """Return whether ``value`` holds the key, plain or percent-encoded."""
    return key in value or key in unquote_to_bytes(value)
