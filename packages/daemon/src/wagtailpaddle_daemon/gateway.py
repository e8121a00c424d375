"""The gateway: carries out the node's actions on callers and servers."""

from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES
from wagtailpaddle_core import ErrorKind, RequestId
from wagtailpaddle_node import Node, RequestHead
from wagtailpaddle_routing import (
    Action,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Refuse,
)

from wagtailpaddle_daemon.headers import end_to_end
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.upstream import (
    AnswerHead,
    BodyReader,
    Outgoing,
    Upstream,
    classify,
    is_oversized,
    list_headers,
    read_head,
)

ANSWER_BUFFER_BYTES = 65536
REQUEST_ID_HEADER = b"X-Request-Id"

log = get_logger("gateway")


class Caller(Protocol):
    """The side of a request that faces its caller."""

    def begin(self, head: AnswerHead) -> None:
        """Send the status line and the headers."""

    def follow(self, producer: Any) -> None:
        """Pace ``producer`` by what the caller takes."""

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    def end(self) -> None:
        """Finish the answer."""

    def refuse(self, kind: ErrorKind, detail: str, retry_after_s: float | None) -> None:
        """Send a refusal in place of an answer."""

    def abort(self) -> None:
        """Close the connection, so that a part is not taken for the whole."""


@dataclass(slots=True)
class _Exchange:
    """A request in flight, with the running attempt if there is one."""

    caller: Caller
    out: Outgoing
    attempt: int = 0
    started_at: float = 0.0
    pending: Deferred[Any] | None = None
    reader: BodyReader | None = None
    head: AnswerHead | None = None
    buffer: list[bytes] = field(default_factory=list)
    n_buffered: int = 0
    committed: bool = False
    timer: Any = None


class Gateway:
    """Joins callers, the node's decisions and backend servers."""

    def __init__(self, reactor: Any, node: Node, upstream: Upstream):
        self._reactor = reactor
        self._node = node
        self._upstream = upstream
        self._exchanges: dict[RequestId, _Exchange] = {}

    @property
    def n_in_flight(self) -> int:
        """How many requests are not yet answered."""
        return len(self._exchanges)

    def take(self, head: RequestHead, out: Outgoing, caller: Caller) -> None:
        """Take in a whole request from a caller."""
        self._exchanges[head.id] = _Exchange(caller, out)
        self.carry_out(self._node.on_request(self._reactor.seconds(), head))

    def caller_gone(self, request: RequestId) -> None:
        """The caller's connection is lost; nobody waits for the answer."""
        exchange = self._exchanges.get(request)
        if exchange is None:
            return
        self.carry_out(self._node.on_cancel(self._reactor.seconds(), request))
        self._drop(request)

    def carry_out(self, actions: tuple[Action, ...]) -> None:
        """Carry out actions in order."""
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(action)
                case Deliver():
                    self._deliver(action.request)
                case Refuse():
                    self._refuse(action)
                case CancelAttempt():
                    self._cancel(action)

    def _dispatch(self, action: Dispatch) -> None:
        exchange = self._exchanges[action.request]
        address, port = self._node.server_address(action.service, action.server)
        now = self._reactor.seconds()
        exchange.attempt = action.attempt
        exchange.started_at = now
        exchange.head = None
        exchange.buffer = []
        exchange.n_buffered = 0
        left = max(0.0, action.timeout_at - now)
        deadline = (b"X-Request-Timeout-Ms", b"%d" % int(left * 1000))
        out = Outgoing(
            exchange.out.method,
            exchange.out.uri,
            (*exchange.out.headers, deadline),
            exchange.out.body,
        )
        attempt = action.attempt
        request = action.request
        exchange.pending = self._upstream.send(address, port, out)
        exchange.timer = self._reactor.callLater(
            left, self._timed_out, request, attempt
        )
        exchange.pending.addCallbacks(
            lambda response: self._answered(request, attempt, response),
            lambda failure: self._failed(request, attempt, failure),
        )
        exchange.pending.addErrback(self._broken, request, attempt)

    def _answered(self, request: RequestId, attempt: int, response: Any) -> None:
        exchange = self._current(request, attempt)
        reader = BodyReader(
            lambda data: self._body(request, attempt, data),
            lambda reason: self._body_done(request, attempt, reason),
        )
        if exchange is not None:
            exchange.reader = reader
            headers = tuple(end_to_end(list_headers(response.headers)))
            exchange.head = read_head(response, headers)
        response.deliverBody(reader)
        if exchange is None:
            reader.abort()
        elif is_crossed(exchange.out, response.headers) or is_oversized(headers):
            log.warning("Answer is crossed or oversized.", request=request)
            reader.abort()
            self._finish(request, exchange, AttemptOutcome.FAILED)

    def _body(self, request: RequestId, attempt: int, data: bytes) -> None:
        exchange = self._current(request, attempt)
        if exchange is None:
            return
        if exchange.committed:
            exchange.caller.write(data)
            return
        exchange.buffer.append(data)
        exchange.n_buffered += len(data)
        if exchange.n_buffered > ANSWER_BUFFER_BYTES:
            self._commit(exchange)

    def _commit(self, exchange: _Exchange) -> None:
        assert exchange.head is not None
        exchange.committed = True
        exchange.caller.begin(exchange.head)
        if exchange.reader is not None and exchange.reader.transport is not None:
            exchange.caller.follow(exchange.reader.transport)
        exchange.caller.write(b"".join(exchange.buffer))
        exchange.buffer = []

    def _body_done(
        self, request: RequestId, attempt: int, reason: Failure | None
    ) -> None:
        exchange = self._current(request, attempt)
        if exchange is None:
            return
        assert exchange.head is not None
        outcome = AttemptOutcome.CUT_SHORT if reason else AttemptOutcome.ANSWERED
        self._finish(request, exchange, outcome, exchange.head.status)

    def _failed(self, request: RequestId, attempt: int, failure: Failure) -> None:
        exchange = self._current(request, attempt)
        if exchange is not None:
            self._finish(request, exchange, classify(failure))

    def _timed_out(self, request: RequestId, attempt: int) -> None:
        exchange = self._current(request, attempt)
        if exchange is None:
            return
        self._stop_attempt(exchange)
        self._finish(request, exchange, AttemptOutcome.TIMED_OUT)

    def _broken(self, failure: Failure, request: RequestId, attempt: int) -> None:
        log.error("Attempt handling failed.", failure=failure.getTraceback())
        exchange = self._current(request, attempt)
        if exchange is not None:
            self._finish(request, exchange, AttemptOutcome.FAILED)

    def _finish(
        self,
        request: RequestId,
        exchange: _Exchange,
        outcome: AttemptOutcome,
        status: int = 0,
    ) -> None:
        now = self._reactor.seconds()
        if exchange.timer is not None and exchange.timer.active():
            exchange.timer.cancel()
        exchange.pending = None
        exchange.reader = None
        exchange.attempt = 0
        result = AttemptResult(
            outcome, now - exchange.started_at, status, committed=exchange.committed
        )
        self.carry_out(self._node.on_attempt(now, request, result))

    def _deliver(self, request: RequestId) -> None:
        exchange = self._drop(request)
        if not exchange.committed:
            assert exchange.head is not None
            body = b"".join(exchange.buffer)
            head = exchange.head
            if head.status in NO_BODY_CODES:
                head = replace(head, length=None)
            elif exchange.out.method != b"HEAD":
                head = replace(head, length=len(body))
            exchange.caller.begin(head)
            exchange.caller.write(body)
        exchange.caller.end()

    def _refuse(self, action: Refuse) -> None:
        exchange = self._drop(action.request)
        if exchange.committed:
            exchange.caller.abort()
            return
        exchange.caller.refuse(action.kind, action.detail, action.retry_after_s)

    def _cancel(self, action: CancelAttempt) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is not None:
            self._stop_attempt(exchange)

    def _stop_attempt(self, exchange: _Exchange) -> None:
        exchange.attempt = 0
        if exchange.timer is not None and exchange.timer.active():
            exchange.timer.cancel()
        if exchange.reader is not None:
            exchange.reader.abort()
        elif exchange.pending is not None:
            exchange.pending.cancel()

    def _current(self, request: RequestId, attempt: int) -> _Exchange | None:
        exchange = self._exchanges.get(request)
        if exchange is None or exchange.attempt != attempt:
            return None
        return exchange

    def _drop(self, request: RequestId) -> _Exchange:
        return self._exchanges.pop(request)


def is_crossed(out: Outgoing, headers: Any) -> bool:
    """Return whether an answer names another request than the one sent."""
    echoed = headers.getRawHeaders(REQUEST_ID_HEADER)
    if not echoed:
        return False
    sent = [value for name, value in out.headers if name == REQUEST_ID_HEADER]
    return bool(sent) and echoed[0] != sent[0]
