"""The gateway: carries out the node's routing decisions over the network."""

import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES
from wagtailpaddle_core import ErrorKind, InvariantError, RequestId
from wagtailpaddle_node import (
    NodeAction,
    Replay,
    RequestHead,
    RequestNode,
)
from wagtailpaddle_routing import (
    LEAVING_PARSERS,
    LIMIT_PARSERS,
    LOAD_PARSERS,
    REST_PARSERS,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Refuse,
    interpret,
)

from wagtailpaddle_daemon.caller import Caller, DisconnectedCaller
from wagtailpaddle_daemon.decisions import DecisionLog
from wagtailpaddle_daemon.dialect import DEFAULT_DIALECT, Dialect
from wagtailpaddle_daemon.echo import Echo, Match
from wagtailpaddle_daemon.exchange import Exchange, stored_answer
from wagtailpaddle_daemon.headers import Header, end_to_end
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.metrics import Metrics
from wagtailpaddle_daemon.ticker import Ticker
from wagtailpaddle_daemon.upstream import (
    BodyReader,
    OutgoingRequest,
    ResponseHead,
    Upstream,
    classify_failure,
    discard,
    is_oversized,
    iter_headers,
    make_response_head,
)

RESPONSE_BUFFER_BYTES = 65536

log = get_logger("gateway")


class Gateway:
    """Connects callers to backend servers as the node decides.

    Reports requests, attempts and time-outs to the node, and carries out the
    actions that the node returns.
    """

    def __init__(
        self,
        reactor: Any,
        node: RequestNode,
        upstream: Upstream,
        metrics: Metrics,
        *,
        dialect: Dialect = DEFAULT_DIALECT,
    ):
        self._dialect = dialect
        self._decisions = DecisionLog()
        self._reactor = reactor
        self._node = node
        self._upstream = upstream
        self._metrics = metrics
        self._exchanges: dict[RequestId, Exchange] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self._ticker = Ticker(reactor, node, self._tick)

    def register_handlers(self, handlers: Mapping[type, Callable[[Any], None]]) -> None:
        """Set the handlers of actions that concern no request, by action type."""
        self._handlers = dict(handlers)

    @property
    def n_in_flight(self) -> int:
        """The number of requests without a final response."""
        return len(self._exchanges)

    def is_waited_for(self, request: RequestId) -> bool:
        """Return whether other requests wait for the slot that this one keeps."""
        exchange = self._exchanges.get(request)
        return exchange is not None and self._node.has_queued(exchange.server[0])

    def on_request(
        self, head: RequestHead, outgoing: OutgoingRequest, caller: Caller
    ) -> None:
        """Handle a request that a caller has sent completely."""
        now = self._reactor.seconds()
        request_id = self._request_id(outgoing)
        # The internal id stands in the log for one that may contain a key.
        external_id = str(head.id).encode() if head.key_candidates else request_id
        self._exchanges[head.id] = Exchange(
            caller,
            outgoing,
            Echo(self._dialect.request_id, request_id, self._dialect.must_echo),
            external_id=external_id,
            arrived_at=now,
        )
        self.carry_out(self._node.on_request(now, head))

    def on_caller_disconnect(self, request: RequestId) -> None:
        """Handle the loss of a caller's connection before its response."""
        exchange = self._exchanges.get(request)
        if exchange is None:
            return
        exchange.caller = DisconnectedCaller()
        self._decisions.caller_disconnected(exchange.external_id)
        continues, actions = self._node.on_cancel(self._reactor.seconds(), request)
        self.carry_out(actions)
        if not continues:
            self._exchanges.pop(request, None)

    def carry_out(self, actions: tuple[NodeAction, ...]) -> None:
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
                case Replay():
                    self._replay(action)
                case _:
                    self._handlers[type(action)](action)
        self._ticker.schedule()

    def start(self) -> None:
        """Start calling the node's tick at the times that it requests."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop calling the node's tick."""
        self._ticker.stop()

    def _tick(self, now: float) -> None:
        self.carry_out(self._node.on_tick(now))
        self._metrics.flush()

    def _dispatch(self, action: Dispatch) -> None:
        exchange = self._exchanges[action.request]
        exchange.server = (action.service, action.server)
        exchange.queued_s += action.queued_s
        address, port = self._node.server_address(action.service, action.server)
        now = self._reactor.seconds()
        exchange.attempt = action.attempt
        exchange.n_attempts = action.attempt
        exchange.started_at = now
        exchange.deadline_at = action.deadline_at
        exchange.head = None
        exchange.load = None
        exchange.stated_limit = None
        exchange.rest_s = None
        exchange.buffer = []
        exchange.n_buffered = 0
        remaining_s = max(0.0, action.deadline_at - now)
        account = self._node.request_view(action.request).account
        added = self._dialect.attempt_headers(remaining_s, action.server, account)
        outgoing = replace(exchange.outgoing, added=tuple(added))
        view = self._node.request_view(action.request)
        self._decisions.dispatched(
            now,
            exchange.external_id,
            action,
            self._node.config_state(now),
            route=view.route,
            account=view.account,
        )
        attempt = action.attempt
        request = action.request
        self._set_timeout(exchange, now, action.timeout_at, request, attempt)
        # The attempt may end before the callbacks are added.
        pending = maybeDeferred(
            self._upstream.send,
            address,
            port,
            outgoing,
            max_open=action.connections,
            echo=exchange.echo,
            on_copy=lambda copy: self._record_unmatched(exchange, copy, Match.COPY),
        )
        exchange.pending = pending
        pending.addCallbacks(
            lambda response: self._on_response(request, attempt, response),
            lambda failure: self._on_attempt_failed(request, attempt, failure),
        )
        pending.addErrback(self._on_handling_error, request, attempt)

    def _set_timeout(
        self,
        exchange: Exchange,
        now: float,
        at: float,
        request: RequestId,
        attempt: int,
    ) -> None:
        exchange.timer = self._reactor.callLater(
            max(0.0, at - now), self._on_attempt_timeout, request, attempt
        )

    def _on_response(self, request: RequestId, attempt: int, response: Any) -> None:
        exchange = self._running_exchange(request, attempt)
        if exchange is None:
            discard(response)
            return
        headers = tuple(end_to_end(iter_headers(response.headers)))
        # The body of a response without one ends as soon as it is asked for.
        is_own = exchange.echo.is_own(response.headers)
        if not is_own:
            carried = response.connection.carried
            match = exchange.echo.match(response.headers, carried)
            self._record_unmatched(exchange, response, match)
        if not is_own or is_oversized(headers):
            log.warning("Response mismatched or oversized.", request=request)
            discard(response)
            self._finish_attempt(request, exchange, AttemptOutcome.FAILED)
            return
        exchange.head = make_response_head(response, headers)
        exchange.outcome = self._outcome_of(exchange.head)
        exchange.reader = BodyReader(
            lambda data: self._on_body_data(request, attempt, data),
            lambda reason: self._on_body_end(request, attempt, reason),
            lambda: response.connection.was_closed,
        )
        response.deliverBody(exchange.reader)

    def _record_unmatched(
        self, exchange: Exchange, response: Any, match: Match
    ) -> None:
        self._metrics.unmatched[match.value] += 1
        echoed = exchange.echo.echoed(response.headers)
        self._decisions.unmatched(
            exchange.external_id, exchange.server[1], match, response.code, echoed
        )

    def _on_body_data(self, request: RequestId, attempt: int, data: bytes) -> None:
        exchange = self._running_exchange(request, attempt)
        if exchange is None:
            return
        if exchange.committed:
            exchange.caller.write(data)
            return
        exchange.n_buffered += len(data)
        is_full = exchange.n_buffered > RESPONSE_BUFFER_BYTES
        if exchange.outcome is AttemptOutcome.ANSWERED:
            exchange.buffer.append(data)
            if is_full:
                self._start_streaming(exchange)
        elif is_full:
            # The caller never sees this body, so it is not read to its end.
            self._abort_attempt(exchange)
            self._finish_attempt(request, exchange, AttemptOutcome.FAILED)

    def _start_streaming(self, exchange: Exchange) -> None:
        assert exchange.head is not None
        exchange.committed = True
        exchange.outgoing = replace(exchange.outgoing, body=b"")
        exchange.caller.write_head(exchange.head)
        if exchange.reader is not None and exchange.reader.transport is not None:
            exchange.caller.set_producer(exchange.reader.transport)
        exchange.caller.write(b"".join(exchange.buffer))
        exchange.buffer = []

    def _on_body_end(
        self, request: RequestId, attempt: int, reason: Failure | None
    ) -> None:
        exchange = self._running_exchange(request, attempt)
        if exchange is None:
            return
        assert exchange.head is not None
        if reason is not None:
            self._finish_attempt(request, exchange, AttemptOutcome.CUT_SHORT)
            return
        status = exchange.head.status
        headers = by_lower_name(exchange.head.headers)
        exchange.load = LOAD_PARSERS[self._dialect.load](headers)
        exchange.stated_limit = LIMIT_PARSERS[self._dialect.limit](headers)
        parse_rest = REST_PARSERS[self._dialect.rest]
        exchange.rest_s = parse_rest(status, headers, time.time())
        self._report_leaving(exchange, headers)
        self._finish_attempt(request, exchange, exchange.outcome, status)

    def _outcome_of(self, head: ResponseHead) -> AttemptOutcome:
        """Return the outcome of an attempt whose complete response has this head."""
        headers = by_lower_name(head.headers)
        outcome = interpret(head.status, headers, self._dialect.shed_answers)
        is_answer = outcome is AttemptOutcome.ANSWERED
        if is_answer and head.status in self._dialect.not_run_statuses:
            return AttemptOutcome.FAILED
        return outcome

    def _report_leaving(self, exchange: Exchange, headers: dict[str, str]) -> None:
        if LEAVING_PARSERS[self._dialect.leaving](headers):
            service, server = exchange.server
            now = self._reactor.seconds()
            self.carry_out(self._node.on_server_leaving(now, service, server))

    def _on_attempt_failed(
        self, request: RequestId, attempt: int, failure: Failure
    ) -> None:
        if failure.check(InvariantError):
            log.error("Attempt broke an invariant.", failure=failure.getTraceback())
        exchange = self._running_exchange(request, attempt)
        if exchange is not None:
            self._finish_attempt(request, exchange, classify_failure(failure))

    def _on_attempt_timeout(self, request: RequestId, attempt: int) -> None:
        exchange = self._running_exchange(request, attempt)
        if exchange is None:
            return
        now = self._reactor.seconds()
        timeout_at = (
            exchange.deadline_at
            if exchange.committed
            else self._node.extend_timeout(now, request)
        )
        if timeout_at > now:
            self._set_timeout(exchange, now, timeout_at, request, attempt)
            return
        self._abort_attempt(exchange)
        self._finish_attempt(request, exchange, AttemptOutcome.TIMED_OUT)

    def _on_handling_error(
        self, failure: Failure, request: RequestId, attempt: int
    ) -> None:
        log.error("Attempt handling failed.", failure=failure.getTraceback())
        exchange = self._running_exchange(request, attempt)
        if exchange is not None:
            self._finish_attempt(request, exchange, AttemptOutcome.FAILED)

    def _finish_attempt(
        self,
        request: RequestId,
        exchange: Exchange,
        outcome: AttemptOutcome,
        status: int = 0,
    ) -> None:
        now = self._reactor.seconds()
        if exchange.timer is not None and exchange.timer.active():
            exchange.timer.cancel()
        exchange.pending = None
        exchange.reader = None
        exchange.attempt = 0
        latency_s = now - exchange.started_at
        result = AttemptResult(
            outcome,
            latency_s,
            status,
            exchange.load,
            committed=exchange.committed,
            stated_limit=exchange.stated_limit,
            rest_s=exchange.rest_s,
        )
        self._metrics.record_attempt(now, *exchange.server, latency_s, outcome)
        self._decisions.attempt_ended(
            now, exchange.external_id, exchange.server[1], result
        )
        answer = stored_answer(exchange) if outcome is AttemptOutcome.ANSWERED else None
        self.carry_out(self._node.on_attempt(now, request, result, answer))

    def _deliver(self, request: RequestId) -> None:
        exchange = self._exchanges.pop(request)
        self._record_request(request, exchange, None)
        if not exchange.committed:
            assert exchange.head is not None
            body = b"".join(exchange.buffer)
            head = exchange.head
            if head.status in NO_BODY_CODES:
                head = replace(head, length=None)
            elif exchange.outgoing.method != b"HEAD":
                head = replace(head, length=len(body))
            exchange.caller.write_head(head)
            exchange.caller.write(body)
        exchange.caller.end()

    def _replay(self, action: Replay) -> None:
        exchange = self._exchanges.pop(action.request)
        self._record_request(action.request, exchange, None)
        headers = tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in action.answer.headers
        )
        body = action.answer.body
        exchange.caller.write_head(
            ResponseHead(action.answer.status, b"", headers, len(body))
        )
        exchange.caller.write(body)
        exchange.caller.end()

    def _refuse(self, action: Refuse) -> None:
        exchange = self._exchanges.pop(action.request)
        self._record_request(action.request, exchange, action.kind)
        now = self._reactor.seconds()
        self._decisions.refused(
            exchange.external_id,
            action.kind,
            action.detail,
            action.retry_after_s,
            self._node.config_state(now),
            attempts=exchange.n_attempts,
            waited_s=round(now - exchange.arrived_at, 4),
        )
        if exchange.committed:
            exchange.caller.abort()
            return
        exchange.caller.refuse(action.kind, action.detail, action.retry_after_s)

    def _cancel(self, action: CancelAttempt) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is not None:
            self._abort_attempt(exchange)

    def _abort_attempt(self, exchange: Exchange) -> None:
        exchange.attempt = 0
        if exchange.timer is not None and exchange.timer.active():
            exchange.timer.cancel()
        if exchange.reader is not None:
            exchange.reader.abort()
        elif exchange.pending is not None:
            exchange.pending.cancel()

    def _request_id(self, outgoing: OutgoingRequest) -> bytes:
        """Return the id that the server sees and echoes."""
        values = (v for name, v in outgoing.headers if name == self._dialect.request_id)
        return next(values, b"")

    def _running_exchange(self, request: RequestId, attempt: int) -> Exchange | None:
        exchange = self._exchanges.get(request)
        if exchange is None or exchange.attempt != attempt:
            return None
        return exchange

    def _record_request(
        self, request: RequestId, exchange: Exchange, kind: ErrorKind | None
    ) -> None:
        now = self._reactor.seconds()
        view = self._node.request_view(request)
        self._metrics.record_request(
            now,
            view.account,
            view.route,
            now - exchange.arrived_at,
            kind,
            n_attempts=exchange.n_attempts,
        )
        if exchange.n_attempts and view.account and view.route:
            self._metrics.record_queue_wait(
                now, view.account, view.route, exchange.queued_s
            )


def by_lower_name(headers: tuple[Header, ...]) -> dict[str, str]:
    """Return headers by lower-case name; the last of several equal names wins."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in headers
    }
