"""Parsing and validation of callers' requests."""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from uuid import uuid4

from twisted.web.http_headers import Headers
from wagtailpaddle_config import hash_secret
from wagtailpaddle_core import ErrorKind, WagtailError

from wagtailpaddle_daemon.secrets import KeyFilter

MAX_IDEMPOTENCY_KEY_CHARS = 255
MAX_TIMEOUT_MS = 86_400_000
VALID_TARGET = re.compile(rb"[!\"$-~]+")
PORT = re.compile(rb":[0-9]*$")
ABSOLUTE_TARGET = re.compile(rb"https?://([^/?@]+)(/[^?]*)?(\?.*)?", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Target:
    """The target of a request: host, and path with query."""

    host: bytes
    uri: bytes

    @property
    def host_name(self) -> str:
        """The host in lower case without the port; IPv6 with its brackets.

        >>> Target(b"[::1]:8080", b"/").host_name
        '[::1]'
        """
        return PORT.sub(b"", self.host).decode("latin-1").lower()

    @property
    def path(self) -> bytes:
        """The path without the query."""
        return self.uri.partition(b"?")[0]


def parse_target(uri: bytes, version: bytes, headers: Headers) -> Target:
    """Return the target of a request. Raises ``WagtailError``.

    A target in absolute form overrides the ``Host`` header.
    """
    hosts = headers.getRawHeaders(b"host") or []
    if len(hosts) > 1 or (not hosts and version != b"HTTP/1.0"):
        detail = f"a request needs one Host header, it has {len(hosts)}"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    if not VALID_TARGET.fullmatch(uri):
        detail = "the target has characters that must be percent-encoded"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    absolute = ABSOLUTE_TARGET.fullmatch(uri)
    if absolute is None:
        return Target(hosts[0] if hosts else b"", uri)
    host, path, query = absolute.groups(b"")
    return Target(host, (path or b"/") + query)


def check_framing(headers: Headers) -> None:
    """Raise ``WagtailError`` for a transfer encoding other than 'chunked'.

    Proxy and server could disagree about where such a body ends, which would
    allow request smuggling.
    """
    encodings = headers.getRawHeaders(b"transfer-encoding") or []
    if [value.lower() for value in encodings] not in ([], [b"chunked"]):
        detail = "Transfer-Encoding must be 'chunked', once"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)


def choose_request_id(value: bytes | None) -> bytes:
    """Return the caller's request id as it was sent, or a new one if there is none."""
    return value or uuid4().hex.encode()


def hash_key_candidates(keys: KeyFilter, parts: Iterable[bytes]) -> frozenset[str]:
    """Return the hashes of words in ``parts`` of a request that may be keys.

    ``parts`` are sent to a server as they are, so a request with a key in them has to
    be refused.
    """
    found = frozenset[bytes]().union(*map(keys.find_candidates, parts))
    return frozenset(hash_secret(word.decode("latin-1")) for word in found)


def check_path(path: str) -> None:
    """Raise ``WagtailError`` for a path that a server may normalize to another."""
    if not path.startswith("/"):
        detail = f"path {path[:64]!r} does not start with '/'"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    if "//" in path or {".", ".."} & set(path.split("/")):
        detail = f"path {path[:64]!r} has empty, '.' or '..' parts"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)


def parse_idempotency_key(value: bytes | None) -> str | None:
    """Return the value of an ``Idempotency-Key`` header. Raises ``WagtailError``."""
    if value is None:
        return None
    key = value.strip().strip(b'"')
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS or not key.isascii():
        detail = (
            f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_CHARS} characters"
        )
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    return key.decode("ascii")


def parse_timeout(value: bytes | None) -> float | None:
    """Return the seconds of a timeout header. Raises ``WagtailError``."""
    if value is None:
        return None
    if not value.isdigit() or not 0 < int(value[:9]) <= MAX_TIMEOUT_MS:
        detail = f"X-Request-Timeout-Ms must be 1 to {MAX_TIMEOUT_MS}"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    return int(value) / 1000
