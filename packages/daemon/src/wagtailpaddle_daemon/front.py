"""The front door: callers' HTTP connections."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import sha256
from io import BytesIO
from typing import Any
from urllib.parse import unquote
from uuid import uuid4

from twisted.web import http
from wagtailpaddle_config import hash_secret
from wagtailpaddle_core import ANSWERS, ErrorKind, RequestId, WagtailError
from wagtailpaddle_node import RequestHead

from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.headers import (
    Header,
    bearer_key,
    end_to_end,
    query_without_key,
    without_key,
)
from wagtailpaddle_daemon.problems import CONTENT_TYPE, problem_body
from wagtailpaddle_daemon.secrets import KeyFilter
from wagtailpaddle_daemon.upstream import AnswerHead, Outgoing, list_headers

REQUEST_ID_HEADER = b"X-Request-Id"
TIMEOUT_HEADER = b"X-Request-Timeout-Ms"
OUTCOME_HEADER = b"X-Outcome"
IDEMPOTENCY_HEADER = b"Idempotency-Key"
REPLACED_HEADERS = frozenset(
    {REQUEST_ID_HEADER.lower(), TIMEOUT_HEADER.lower(), b"content-length", b"expect"}
)
MAX_REQUEST_ID_CHARS = 128
MAX_IDEMPOTENCY_KEY_CHARS = 255
MAX_TIMEOUT_MS = 86_400_000

Directory = Callable[[str | None, str | None], bytes]
"""Answers a caller's question for addresses: (key hash, zone) to a document."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers may make the daemon hold.

    ``buffered_bytes`` counts the request bodies of all connections together;
    ``receive_s`` bounds the time in which one request must arrive.
    """

    body_bytes: int = 1 << 20
    buffered_bytes: int = 64 << 20
    connections: int = 4096
    receive_s: float = 20.0
    idle_s: float = 60.0


class FrontRequest(http.Request):
    """One request of a caller."""

    def __init__(self, channel: Any, queued: Any = http._QUEUED_SENTINEL):
        super().__init__(channel, queued)
        self.front: FrontFactory = channel.factory
        self.id = RequestId("")
        self._shown_id = b""
        self._n_buffered = 0
        self._fault: WagtailError | None = None
        self._over = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare to receive a body of ``length`` bytes (None: chunked)."""
        self.content = BytesIO()
        if length is not None:
            self._check_size(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body while it is within the limits."""
        self._check_size(self._n_buffered + len(data))
        if self._fault is None and not self.front.reserve(len(data)):
            self._fault = WagtailError(
                ErrorKind.OVERLOADED, "too many request bodies are held"
            )
        if self._fault is None:
            self._n_buffered += len(data)
            self.content.write(data)

    def _check_size(self, n_bytes: int) -> None:
        limit = self.front.limits.body_bytes
        if n_bytes > limit and self._fault is None:
            detail = f"the limit is {limit} bytes"
            self._fault = WagtailError(ErrorKind.BODY_TOO_LARGE, detail)

    def process(self) -> None:
        """Hand the whole request to the gateway, or answer it here."""
        self.channel.received()
        self._release()
        given = self.getHeader(REQUEST_ID_HEADER)
        key = bearer_key(self.getHeader(b"authorization"))
        keys = KeyFilter(key)
        self._shown_id = choose_request_id(given, keys)
        self.id = RequestId(uuid4().hex)
        if self._fault is not None:
            self.setHeader(b"connection", b"close")
        try:
            if self._fault is not None:
                raise self._fault
            if self.path == self.front.directory_path:
                self._answer_directory(key)
                return
            head, out = self._read(key, keys)
        except WagtailError as exc:
            self.refuse(exc.kind, exc.detail, None)
            return
        self.front.gateway.take(head, out, self)

    def _read(self, key: bytes | None, keys: KeyFilter) -> tuple[RequestHead, Outgoing]:
        body = self.content.getvalue()
        path = unquote(self.path.decode("latin-1"), errors="replace")
        check_key_free(keys, self.method, self.path, body)
        check_path(path)
        idempotency_key = read_idempotency_key(self.getHeader(IDEMPOTENCY_HEADER))
        uri = query_without_key(self.uri, keys)
        fingerprint = ""
        if idempotency_key is not None:
            fingerprint = sha256(b"\n".join((self.method, uri, body))).hexdigest()
        host = self.getHeader(b"host") or b""
        head = RequestHead(
            id=self.id,
            host=host.partition(b":")[0].decode("latin-1").lower(),
            path=path,
            method=self.method.decode("latin-1"),
            key_hash=None if key is None else hash_secret(key.decode("latin-1")),
            timeout_s=read_timeout(self.getHeader(TIMEOUT_HEADER)),
            idempotency_key=idempotency_key,
            fingerprint=fingerprint,
        )
        headers = tuple(self._outgoing_headers(keys))
        return head, Outgoing(self.method, uri, headers, body)

    def _outgoing_headers(self, keys: KeyFilter) -> Iterator[Header]:
        passed_on = end_to_end(list_headers(self.requestHeaders))
        for name, value in without_key(passed_on, keys):
            if name.lower() not in REPLACED_HEADERS:
                yield name, value
        yield REQUEST_ID_HEADER, self._shown_id

    def _answer_directory(self, key: bytes | None) -> None:
        key_hash = None if key is None else hash_secret(key.decode("latin-1"))
        zones = self.args.get(b"zone", [])
        zone = zones[0].decode("latin-1") if zones else None
        body = self.front.directory(key_hash, zone)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"cache-control", b"private")
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.end()

    def begin(self, head: AnswerHead) -> None:
        """Send the status line and the headers of an answer."""
        self.setResponseCode(head.status, head.phrase)
        for name, value in head.headers:
            if name.lower() != b"x-request-id":
                self.responseHeaders.addRawHeader(name, value)
        if head.length is not None:
            self.setHeader(b"content-length", b"%d" % head.length)
        self.setHeader(REQUEST_ID_HEADER, self._shown_id)
        if self.front.draining:
            self.setHeader(b"connection", b"close")

    def follow(self, producer: Any) -> None:
        """Let the caller's connection pace ``producer``."""
        self.registerProducer(producer, True)

    def end(self) -> None:
        """Finish the answer."""
        if not self._over:
            self._over = True
            if self.producer is not None:
                self.unregisterProducer()
            self.finish()

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Send a problem document."""
        if self._over:
            return
        answer = ANSWERS[kind]
        body = problem_body(kind, detail)
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", CONTENT_TYPE)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.setHeader(OUTCOME_HEADER, answer.outcome.value.encode())
        self.setHeader(REQUEST_ID_HEADER, self._shown_id)
        if retry_after_s is not None:
            self.setHeader(b"retry-after", b"%d" % max(1, round(retry_after_s)))
        if self.front.draining:
            self.setHeader(b"connection", b"close")
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Close the connection without an end of the answer."""
        self._over = True
        if self.channel is not None:
            self.channel.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """The caller went away."""
        self._release()
        super().connectionLost(reason)
        if not self._over and self.id:
            self._over = True
            self.front.gateway.caller_gone(self.id)

    def _release(self) -> None:
        self.front.release(self._n_buffered)
        self._n_buffered = 0


def choose_request_id(given: bytes | None, keys: KeyFilter) -> bytes:
    """Return the caller's own request id if it is fit, else a new one."""
    fit = (
        given is not None
        and 0 < len(given) <= MAX_REQUEST_ID_CHARS
        and given.isascii()
        and not keys.found_in(given)
    )
    return given if fit and given is not None else uuid4().hex.encode()


def check_key_free(keys: KeyFilter, method: bytes, path: bytes, body: bytes) -> None:
    """Raise ``WagtailError`` if a part that cannot be cut carries a key."""
    for name, value in (("method", method), ("path", path), ("body", body)):
        if keys.found_in(value):
            detail = f"a key stands in the {name}; send it in Authorization only"
            raise WagtailError(ErrorKind.BAD_REQUEST, detail)


def check_path(path: str) -> None:
    """Raise ``WagtailError`` for a path that servers may read as another one."""
    if not path.startswith("/"):
        detail = f"path {path[:64]!r} does not start with '/'"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    if "//" in path or {".", ".."} & set(path.split("/")):
        detail = f"path {path[:64]!r} has empty, '.' or '..' parts"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)


def read_idempotency_key(given: bytes | None) -> str | None:
    """Return the value of an ``Idempotency-Key`` header. Raises ``WagtailError``."""
    if given is None:
        return None
    key = given.strip().strip(b'"')
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS or not key.isascii():
        detail = (
            f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_CHARS} characters"
        )
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    return key.decode("ascii")


def read_timeout(given: bytes | None) -> float | None:
    """Return the seconds of a timeout header. Raises ``WagtailError``."""
    if given is None:
        return None
    if not given.isdigit() or not 0 < int(given[:9]) <= MAX_TIMEOUT_MS:
        detail = f"X-Request-Timeout-Ms must be 1 to {MAX_TIMEOUT_MS}"
        raise WagtailError(ErrorKind.BAD_REQUEST, detail)
    return int(given) / 1000


class FrontChannel(http.HTTPChannel):
    """A caller's connection whose requests must arrive in bounded time."""

    receiving_since: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start to serve the connection, unless there are too many."""
        super().connectionMade()
        if not self.factory.admit(self):
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in a piece of a request."""
        if self.receiving_since is None and not self._handlingRequest:
            self.receiving_since = self.factory.seconds()
        super().dataReceived(data)

    def received(self) -> None:
        """The request has arrived as a whole."""
        self.receiving_since = None

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget the connection."""
        self.factory.forget(self)
        super().connectionLost(reason)


class FrontFactory(http.HTTPFactory):
    """Accepts callers' connections for one gateway."""

    directory_path = b"/.well-known/wagtailpaddle/addresses"

    def __init__(
        self,
        reactor: Any,
        gateway: Gateway,
        directory: Directory,
        *,
        limits: Limits | None = None,
    ):
        self.limits = limits or Limits()
        super().__init__(timeout=self.limits.idle_s, reactor=reactor)
        self.seconds = reactor.seconds
        self.gateway = gateway
        self.directory = directory
        self.draining = False
        self._channels: set[FrontChannel] = set()
        self._n_buffered = 0

    def buildProtocol(self, addr: Any) -> FrontChannel:  # noqa: N802
        """Return the protocol of a new connection."""
        channel = FrontChannel()
        channel.factory = self
        channel.site = self
        channel.requestFactory = FrontRequest
        channel.timeOut = self.limits.idle_s
        channel.callLater = self.reactor.callLater
        return channel

    def admit(self, channel: FrontChannel) -> bool:
        """Return whether one more connection is within the limit."""
        if len(self._channels) >= self.limits.connections:
            return False
        self._channels.add(channel)
        return True

    def forget(self, channel: FrontChannel) -> None:
        """The connection is lost."""
        self._channels.discard(channel)

    def reserve(self, n_bytes: int) -> bool:
        """Return whether ``n_bytes`` more of request bodies can be held."""
        if self._n_buffered + n_bytes > self.limits.buffered_bytes:
            return False
        self._n_buffered += n_bytes
        return True

    def release(self, n_bytes: int) -> None:
        """``n_bytes`` of request bodies are no longer waited for."""
        self._n_buffered -= n_bytes

    def close_slow(self, now: float) -> None:
        """Close connections whose request takes too long to arrive."""
        oldest = now - self.limits.receive_s
        for channel in tuple(self._channels):
            since = channel.receiving_since
            if since is not None and since < oldest:
                channel.transport.abortConnection()

    def close_idle(self) -> None:
        """Close connections on which no request is in work."""
        for channel in tuple(self._channels):
            if not channel.requests:
                channel.loseConnection()

    def log(self, request: Any) -> None:
        """Write no access log; histograms tell more at less cost."""
