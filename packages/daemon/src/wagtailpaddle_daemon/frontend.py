"""The HTTP server for callers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import sha256
from io import BytesIO
from typing import Any
from urllib.parse import parse_qs, unquote
from uuid import uuid4

from twisted.web import http
from wagtailpaddle_config import hash_secret
from wagtailpaddle_core import ANSWERS, ErrorKind, RequestId, WagtailError
from wagtailpaddle_node import RequestHead
from wagtailpaddle_resources import make_budget

from wagtailpaddle_daemon.client_guard import ClientGuard
from wagtailpaddle_daemon.dialect import DEFAULT_DIALECT, Dialect
from wagtailpaddle_daemon.frontend_channel import FrontendChannel
from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.headers import (
    Header,
    end_to_end,
    without_key,
)
from wagtailpaddle_daemon.problems import CONTENT_TYPE, problem_body
from wagtailpaddle_daemon.request_parsing import (
    Target,
    check_framing,
    check_path,
    choose_request_id,
    hash_key_candidates,
    parse_idempotency_key,
    parse_target,
    parse_timeout,
)
from wagtailpaddle_daemon.response_spool import ResponseSpool
from wagtailpaddle_daemon.secrets import KeyFilter
from wagtailpaddle_daemon.upstream import OutgoingRequest, ResponseHead, iter_headers

Directory = Callable[[str | None, str | None], bytes]
"""Returns the directory document for a key hash and a zone; either may be None."""

MEMORY_RETRY_S = 1.0
"""When to come back after a refusal for memory; stalled clients are closed by then."""

DEFAULT_BUDGET = make_budget(512.0, 4096)


@dataclass(frozen=True, slots=True)
class FrontendLimits:
    """Bounds on one request of a caller.

    ``receive_s`` is the time in which its head has to arrive, and the longest pause
    within its body.
    """

    body_bytes: int = 1 << 20
    receive_s: float = 20.0
    idle_s: float = 60.0
    header_bytes: int = 16384


class FrontendRequest(http.Request):
    """One request of a caller."""

    def __init__(self, channel: Any, queued: Any = http._QUEUED_SENTINEL):
        super().__init__(channel, queued, parsePOSTFormSubmission=False)
        self.frontend: FrontendFactory = channel.factory
        self.id = RequestId("")
        self._external_id = b""
        self._n_head_bytes = 0
        self._n_body_bytes = 0
        self._error: WagtailError | None = None
        self._spool: ResponseSpool | None = None
        self._ended = False

    @property
    def held_bytes(self) -> int:
        """The memory that the request takes."""
        n_spooled = 0 if self._spool is None else self._spool.n_bytes
        return self._n_head_bytes + self._n_body_bytes + n_spooled

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing: cookies are passed on as they are."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare to receive a body of ``length`` bytes, or None if chunked."""
        self._n_head_bytes = self.channel.head_bytes()
        self.content = BytesIO()
        if length is not None:
            self._check_size(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a chunk of the body as long as the limits allow it."""
        self._check_size(self._n_body_bytes + len(data))
        if self._error is None:
            self._n_body_bytes += len(data)
            self.content.write(data)

    def refuse_body(self) -> None:
        """Keep nothing of the body, as memory is short; refuse the request."""
        detail = "the memory for requests is used up"
        self._set_error(WagtailError(ErrorKind.OVERLOADED, detail))

    def _check_size(self, n_bytes: int) -> None:
        limit = self.frontend.limits.body_bytes
        if n_bytes > limit:
            detail = f"the limit is {limit} bytes"
            self._set_error(WagtailError(ErrorKind.BODY_TOO_LARGE, detail))

    def _set_error(self, error: WagtailError) -> None:
        """Refuse the request and keep nothing of its body; the first error counts."""
        if self._error is None:
            self._error = error
            self._n_body_bytes = 0
            self.content = BytesIO()

    def requestReceived(  # noqa: N802
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Process the complete request; neither its query nor its body is parsed."""
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, self._query = path.partition(b"?")
        self.process()

    def process(self) -> None:
        """Pass the complete request to the gateway, or respond to it here."""
        self.channel.on_request_received()
        if not self.frontend.guard.update(self.channel):
            self.frontend.guard.ledger.count_refusal()
            self.refuse_body()
        dialect = self.frontend.dialect
        received_id = self.getHeader(dialect.request_id)
        key = dialect.read_key(self.getHeader(dialect.key))
        keys = KeyFilter(key)
        self._external_id = choose_request_id(received_id)
        self.id = RequestId(uuid4().hex)
        if self._error is not None:
            self._close_after_response()
        try:
            if self._error is not None:
                raise self._error
            check_framing(self.requestHeaders)
            target = parse_target(self.uri, self.clientproto, self.requestHeaders)
            if target.path == self.frontend.directory_path and self.frontend.directory:
                self._answer_directory(key)
                return
            head, outgoing = self._parse(target, key, keys)
        except WagtailError as exc:
            self._refuse_error(exc)
            return
        self.frontend.gateway.on_request(head, outgoing, self)

    def _parse(
        self, target: Target, key: bytes | None, keys: KeyFilter
    ) -> tuple[RequestHead, OutgoingRequest]:
        body = self.content.getvalue()
        self.content = BytesIO()
        dialect = self.frontend.dialect
        path = target.path.decode("latin-1")
        if dialect.decodes_paths:
            path = unquote(path, errors="replace")
        check_path(path)
        idempotency_key = self._idempotency_key()
        uri = target.uri
        headers = tuple(self._outgoing_headers(target.host, keys))
        header_values = b"\n".join(value for _, value in headers)
        parts = (self.method, uri, header_values, body)
        key_candidates = hash_key_candidates(keys, parts)
        fingerprint = ""
        if idempotency_key is not None:
            fingerprint = sha256(b"\n".join((self.method, uri, body))).hexdigest()
        head = RequestHead(
            id=self.id,
            host=target.host_name,
            path=path,
            method=self.method.decode("latin-1"),
            key_hash=None if key is None else hash_secret(key.decode("latin-1")),
            timeout_s=parse_timeout(self.getHeader(dialect.timeout_ms)),
            idempotency_key=idempotency_key,
            fingerprint=fingerprint,
            n_bytes=len(body),
            key_candidates=key_candidates,
        )
        hidden_key = None if key_candidates else keys.key
        outgoing = OutgoingRequest(
            self.method, uri, headers, body, hidden_key=hidden_key
        )
        return head, outgoing

    def _idempotency_key(self) -> str | None:
        name = self.frontend.dialect.idempotency_key
        return None if name is None else parse_idempotency_key(self.getHeader(name))

    def _outgoing_headers(self, host: bytes, keys: KeyFilter) -> Iterator[Header]:
        end_to_end_headers = end_to_end(iter_headers(self.requestHeaders))
        dialect = self.frontend.dialect
        replaced = self.frontend.replaced_headers
        for name, value in without_key(
            end_to_end_headers, keys, key_header=dialect.key
        ):
            if name.lower() not in replaced:
                yield name, value
        if host:
            yield b"Host", host
        yield dialect.request_id, self._external_id

    def _answer_directory(self, key: bytes | None) -> None:
        key_hash = None if key is None else hash_secret(key.decode("latin-1"))
        zones = parse_qs(self._query).get(b"zone", [])
        zone = zones[0].decode("latin-1") if zones else None
        assert self.frontend.directory is not None
        body = self.frontend.directory(key_hash, zone)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"cache-control", b"private")
        if self.frontend.draining:
            self._close_after_response()
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.end()

    def write_head(self, head: ResponseHead) -> None:
        """Send the status line and the headers of a response."""
        self.setResponseCode(head.status, head.phrase)
        for name, value in head.headers:
            if name.lower() != self.frontend.dialect.request_id.lower():
                self.responseHeaders.addRawHeader(name, value)
        if head.length is not None:
            self.setHeader(b"content-length", b"%d" % head.length)
        self.setHeader(self.frontend.dialect.request_id, self._external_id)
        if self.frontend.draining:
            self._close_after_response()
        # The response begins, so the request is not sent again.
        self._n_body_bytes = 0

    def write(self, data: bytes) -> None:
        """Send a chunk of the body; what is too much for a slow caller is kept."""
        if self._spool is None:
            super().write(data)
        else:
            self._spool.write(data)

    def set_producer(self, producer: Any) -> None:
        """Pause and resume ``producer`` with the caller's connection.

        It is not paused while what the caller has not read may be kept, so that a
        slow caller does not hold up the server.
        """
        guard, channel = self.frontend.guard, self.channel
        self._spool = ResponseSpool(
            producer, super().write, lambda: guard.may_keep_response(channel)
        )
        self.registerProducer(self._spool, True)

    @property
    def is_waited_for(self) -> bool:
        """Whether the response keeps a server's slot that other requests wait for."""
        is_incomplete = self._spool is not None and not self._spool.is_complete
        return is_incomplete and self.frontend.gateway.is_waited_for(self.id)

    def end(self) -> None:
        """Finish the response, once a slow caller has taken it."""
        if self._ended:
            return
        self._ended = True
        if self._spool is None:
            self.finish()
        else:
            self._spool.end(self._finish_spooled)

    def _finish_spooled(self) -> None:
        self.unregisterProducer()
        self.finish()

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Respond with a problem document."""
        if self._ended:
            return
        answer = ANSWERS[kind]
        body = problem_body(kind, detail)
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", CONTENT_TYPE)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.setHeader(self.frontend.dialect.outcome, answer.outcome.value.encode())
        self.setHeader(self.frontend.dialect.request_id, self._external_id)
        retry_after = self.frontend.dialect.retry_after(answer, retry_after_s)
        if retry_after:
            self.setHeader(b"retry-after", retry_after)
        if self.frontend.draining:
            self._close_after_response()
        self.write(body)
        self.end()

    @property
    def must_refuse(self) -> bool:
        """Whether the request is refused whatever is still to come of its body."""
        return self._error is not None

    def refuse_unread(self) -> None:
        """Refuse the request before its body has arrived, and close."""
        assert self._error is not None
        self.method, self.clientproto = b"POST", b"HTTP/1.1"
        dialect = self.frontend.dialect
        received_id = self.getHeader(dialect.request_id)
        self._external_id = choose_request_id(received_id)
        self._close_after_response()
        self._refuse_error(self._error)

    def _refuse_error(self, error: WagtailError) -> None:
        is_short = error.kind is ErrorKind.OVERLOADED
        self.refuse(error.kind, error.detail, MEMORY_RETRY_S if is_short else None)

    def _close_after_response(self) -> None:
        """Announce ``Connection: close`` and close after this response."""
        self.setHeader(b"connection", b"close")
        if self.channel is not None:
            self.channel.persistent = 0

    def abort(self) -> None:
        """Close the connection without finishing the response."""
        self._ended = True
        if self.channel is not None:
            self.channel.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Handle the loss of the caller's connection."""
        super().connectionLost(reason)
        if not self._ended and self.id:
            self._ended = True
            self.frontend.gateway.on_caller_disconnect(self.id)


class FrontendFactory(http.HTTPFactory):
    """Makes the protocols of callers' connections and tracks them."""

    directory_path = b"/.well-known/wagtailpaddle/addresses"

    def __init__(
        self,
        reactor: Any,
        gateway: Gateway,
        directory: Directory | None,
        *,
        guard: ClientGuard | None = None,
        limits: FrontendLimits | None = None,
        dialect: Dialect = DEFAULT_DIALECT,
    ):
        self.guard = guard or ClientGuard(reactor, DEFAULT_BUDGET)
        self.dialect = dialect
        self.replaced_headers = dialect.replaced_headers()
        self.limits = limits or FrontendLimits()
        super().__init__(timeout=self.limits.idle_s, reactor=reactor)
        self.gateway = gateway
        self.directory = directory
        self.draining = False

    def buildProtocol(self, addr: Any) -> FrontendChannel:  # noqa: N802
        """Return the protocol of a new connection."""
        channel = FrontendChannel()
        channel.factory = self
        channel.guard = self.guard
        channel.site = self
        channel.requestFactory = FrontendRequest
        channel.timeOut = self.limits.idle_s
        channel.totalHeadersSize = self.limits.header_bytes
        channel.callLater = self.reactor.callLater
        return channel

    @property
    def n_connections(self) -> int:
        """The number of open connections of callers."""
        return len(self.guard.channels_of(self))

    def close_inactive(self, since: float) -> None:
        """Close connections without a request that received nothing after ``since``.

        See ``FrontendChannel.refuse_and_close``.
        """
        for channel in self.guard.channels_of(self):
            is_active = channel.requests or channel.receiving_since is not None
            if not is_active and channel.received_at < since:
                channel.refuse_and_close()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for channel in self.guard.channels_of(self):
            if not channel.requests:
                channel.loseConnection()

    def log(self, request: Any) -> None:
        """Write no access log; the histograms of the metrics cost less."""
