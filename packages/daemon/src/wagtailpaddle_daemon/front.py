"""The front door: callers' HTTP connections."""

import json
from io import BytesIO
from typing import Any
from urllib.parse import unquote
from uuid import uuid4

from twisted.web import http
from twisted.web.http import NO_BODY_CODES
from wagtailpaddle_config import hash_secret
from wagtailpaddle_core import ANSWERS, ErrorKind, RequestId
from wagtailpaddle_node import RequestHead

from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.headers import bearer_key, forwardable, strip_query
from wagtailpaddle_daemon.upstream import AnswerHead, Outgoing

REQUEST_ID_HEADER = b"X-Request-Id"
TIMEOUT_HEADER = b"X-Request-Timeout-Ms"
OUTCOME_HEADER = b"X-Outcome"
IDEMPOTENCY_HEADER = b"Idempotency-Key"
MAX_REQUEST_ID_CHARS = 128
DROPPED_FROM_ANSWER = frozenset({b"content-length"})
PROBLEM_TYPE = "urn:wagtailpaddle:error:"


class FrontRequest(http.Request):
    """One request of a caller."""

    factory: "FrontFactory"

    def __init__(self, channel: Any, queued: Any = http._QUEUED_SENTINEL):
        super().__init__(channel, queued)
        self.id = RequestId("")
        self._n_body = 0
        self._too_large = False
        self._over = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare to receive a body of ``length`` bytes (None: chunked)."""
        self.content = BytesIO()
        limit = self.channel.factory.max_body_bytes
        self._too_large = length is not None and length > limit

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a piece of the body while it is within the limit."""
        self._n_body += len(data)
        if self._n_body > self.channel.factory.max_body_bytes:
            self._too_large = True
        if not self._too_large:
            self.content.write(data)

    def process(self) -> None:
        """Hand the whole request to the gateway."""
        headers = list(self._headers())
        self.id = self._request_id()
        if self._too_large:
            self.setHeader(b"connection", b"close")
            limit = self.channel.factory.max_body_bytes
            self.refuse(ErrorKind.BODY_TOO_LARGE, f"the limit is {limit} bytes", None)
            return
        try:
            timeout_s = self._timeout()
        except ValueError:
            self.refuse(
                ErrorKind.BAD_REQUEST, "X-Request-Timeout-Ms must be above 0", None
            )
            return
        key = bearer_key(self.getHeader(b"authorization"))
        idempotency_key = self.getHeader(IDEMPOTENCY_HEADER)
        head = RequestHead(
            id=self.id,
            host=self.getRequestHostname().decode("ascii", "replace").lower(),
            path=unquote(self.path.decode("latin-1")),
            method=self.method.decode("latin-1"),
            key_hash=None if key is None else hash_secret(key.decode("latin-1")),
            timeout_s=timeout_s,
            idempotency_key=idempotency_key and idempotency_key.decode("latin-1"),
        )
        out = Outgoing(
            self.method,
            strip_query(self.uri, key),
            self._outgoing_headers(headers, key),
            self.content.read() if self.content.seek(0) == 0 else b"",
        )
        self.channel.factory.gateway.take(head, out, self)

    def _headers(self) -> Any:
        for name, values in self.requestHeaders.getAllRawHeaders():
            for value in values:
                yield name, value

    def _outgoing_headers(self, headers: Any, key: bytes | None) -> Any:
        replaced = {REQUEST_ID_HEADER.lower(), TIMEOUT_HEADER.lower()}
        replaced.add(b"content-length")
        kept = [
            (name, value)
            for name, value in forwardable(headers, key)
            if name.lower() not in replaced
        ]
        kept.append((REQUEST_ID_HEADER, self.id.encode("latin-1")))
        return tuple(kept)

    def _request_id(self) -> RequestId:
        given = self.getHeader(REQUEST_ID_HEADER)
        if given and len(given) <= MAX_REQUEST_ID_CHARS and given.isascii():
            self._shown_id = given
        else:
            self._shown_id = uuid4().hex.encode()
        return RequestId(self._shown_id.decode("ascii"))

    def _timeout(self) -> float | None:
        given = self.getHeader(TIMEOUT_HEADER)
        if given is None:
            return None
        timeout_ms = int(given)
        if timeout_ms <= 0:
            raise ValueError(f"timeout {timeout_ms} ms is not above 0")
        return timeout_ms / 1000

    def begin(self, head: AnswerHead) -> None:
        """Send the status line and the headers of an answer."""
        self.setResponseCode(head.status, head.phrase)
        for name, value in head.headers:
            self.responseHeaders.addRawHeader(name, value)
        self.setHeader(REQUEST_ID_HEADER, self._shown_id)

    def end(self) -> None:
        """Finish the answer."""
        if not self._over:
            self._over = True
            self.finish()

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Send a problem document (RFC 9457)."""
        answer = ANSWERS[kind]
        document = {
            "type": PROBLEM_TYPE + kind.value,
            "title": answer.title,
            "status": answer.status,
            "detail": detail,
            "outcome": answer.outcome.value,
            "retry_elsewhere": answer.retry_elsewhere,
        }
        body = json.dumps(document).encode()
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", b"application/problem+json")
        self.setHeader(b"content-length", b"%d" % len(body))
        self.setHeader(OUTCOME_HEADER, answer.outcome.value.encode())
        self.setHeader(REQUEST_ID_HEADER, self._shown_id)
        if retry_after_s is not None:
            self.setHeader(b"retry-after", b"%d" % max(1, round(retry_after_s)))
        if self.code not in NO_BODY_CODES:
            self.write(body)
        self.end()

    def abort(self) -> None:
        """Close the connection without an end of the answer."""
        self._over = True
        if self.channel is not None:
            self.channel.abortConnection()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """The caller went away."""
        channel = self.channel
        super().connectionLost(reason)
        if not self._over and self.id and channel is not None:
            self._over = True
            channel.factory.gateway.caller_gone(self.id)


class FrontFactory(http.HTTPFactory):
    """Accepts callers' connections for one gateway."""

    def __init__(self, gateway: Gateway, *, max_body_bytes: int):
        super().__init__(timeout=60)
        self.gateway = gateway
        self.max_body_bytes = max_body_bytes

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of a new connection."""
        protocol = super().buildProtocol(addr)
        protocol.requestFactory = FrontRequest
        return protocol

    def log(self, request: Any) -> None:
        """Write no access log; histograms tell more at less cost."""
