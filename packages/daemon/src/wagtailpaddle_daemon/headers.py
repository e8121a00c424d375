"""Filters for the headers that are passed on between caller and backend server."""

from collections.abc import Iterable, Iterator

from wagtailpaddle_daemon.secrets import KeyFilter

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
AUTHORIZATION = b"authorization"

Header = tuple[bytes, bytes]


def bearer_key(value: bytes | None) -> bytes | None:
    """Return the key of an ``Authorization: Bearer`` header value, or None."""
    if value is None:
        return None
    scheme, _, key = value.strip().partition(b" ")
    if scheme.lower() != b"bearer" or not key.strip():
        return None
    return key.strip()


def end_to_end(headers: Iterable[Header]) -> Iterator[Header]:
    """Yield the headers that are not hop-by-hop."""
    all_headers = list(headers)
    dropped = HOP_BY_HOP
    for name, value in all_headers:
        if name.lower() == b"connection":
            connection_options = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | connection_options
    for name, value in all_headers:
        if name.lower() not in dropped:
            yield name, value


def without_key(
    headers: Iterable[Header], keys: KeyFilter, *, key_header: bytes = AUTHORIZATION
) -> Iterator[Header]:
    """Yield the headers without the key; a cookie loses only the parts with it."""
    for name, value in headers:
        if name.lower() == key_header.lower() or keys.matches(name):
            continue
        if not keys.matches(value):
            yield name, value
        elif name.lower() == b"cookie":
            kept = keys.remove_matches(value, b";").strip()
            if kept:
                yield name, kept
