"""Pages for clients, on connections whose memory is accounted for."""

from io import BytesIO
from typing import Any

from twisted.web import http, server

from wagtailpaddle_daemon.client_guard import ClientGuard
from wagtailpaddle_daemon.guarded_channel import GuardedChannel

MAX_BODY_BYTES = 1024
"""Pages need no body; this much is read and ignored."""

IDLE_TIMEOUT_S = 30.0


class PageRequest(server.Request):
    """A request for a page, whose body is not kept."""

    is_waited_for = False

    def __init__(self, channel: Any, queued: Any = http._QUEUED_SENTINEL):
        super().__init__(channel, queued, parsePOSTFormSubmission=False)
        self.held_bytes = 0
        self.must_refuse = False
        self._refusal_status = http.REQUEST_ENTITY_TOO_LARGE
        self._n_body_bytes = 0

    def parseCookies(self) -> None:  # noqa: N802
        """Do nothing: pages need no cookies."""

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare to ignore a body of ``length`` bytes, or None if chunked."""
        self.held_bytes = self.channel.head_bytes()
        self.content = BytesIO()
        self.must_refuse = length is not None and length > MAX_BODY_BYTES

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Ignore a piece of the body, unless it is too long."""
        self._n_body_bytes += len(data)
        self.must_refuse |= self._n_body_bytes > MAX_BODY_BYTES

    def refuse_body(self) -> None:
        """Refuse the request, as memory is short."""
        self._refusal_status = http.SERVICE_UNAVAILABLE
        self.must_refuse = True

    def refuse_unread(self) -> None:
        """Refuse the request before its body has arrived, and close."""
        self.method, self.clientproto = b"GET", b"HTTP/1.1"
        self.channel.persistent = 0
        self.setResponseCode(self._refusal_status)
        self.setHeader(b"connection", b"close")
        self.setHeader(b"content-length", b"0")
        self.finish()

    def process(self) -> None:
        """Answer the complete request."""
        self.channel.on_request_received()
        if not self.channel.guard.update(self.channel):
            self.channel.guard.ledger.count_refusal()
            self.refuse_body()
        if self.must_refuse:
            self.refuse_unread()
        else:
            super().process()


class GuardedSite(server.Site):
    """A site of pages that keeps its clients within the bounds of a guard."""

    displayTracebacks = False  # noqa: N815

    def __init__(self, root: Any, guard: ClientGuard):
        super().__init__(root, timeout=IDLE_TIMEOUT_S)
        self._guard = guard

    def buildProtocol(self, addr: Any) -> GuardedChannel:  # noqa: N802
        """Return the protocol of a new connection."""
        channel = GuardedChannel()
        channel.factory = self
        channel.guard = self._guard
        channel.site = self
        channel.requestFactory = PageRequest
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def log(self, request: Any) -> None:
        """Write no access log."""
