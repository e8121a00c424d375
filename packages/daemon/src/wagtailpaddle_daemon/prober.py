"""Active health checks of backend servers."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from wagtailpaddle_node import NodeAction, RequestNode
from wagtailpaddle_routing import AttemptOutcome, Probe, ProbeOutcome, ProbeResult

from wagtailpaddle_daemon.healthpage import MAX_PAGE_BYTES, PageError, parse_page
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.upstream import (
    BodyReader,
    OutgoingRequest,
    Upstream,
    classify_failure,
    is_oversized,
    iter_headers,
)

MAX_CHECK_INTERVAL_S = 1.0
MIN_CHECK_INTERVAL_S = 0.02
PROBE_HEADERS = ((b"Accept", b"application/json, text/plain"),)

log = get_logger("probes")


class Prober:
    """Sends the probes that the node schedules and reports their results.

    No response raises: one that cannot be parsed is a failed probe.
    """

    def __init__(
        self,
        reactor: Any,
        node: RequestNode,
        upstream: Upstream,
        carry_out: Callable[[tuple[NodeAction, ...]], None],
    ):
        self._reactor = reactor
        self._node = node
        self._upstream = upstream
        self._carry_out = carry_out
        self._timer: Any = None

    def start(self) -> None:
        """Start probing."""
        self._timer = self._reactor.callLater(0.0, self._send_due_probes)

    def stop(self) -> None:
        """Stop probing; responses to probes already sent are still reported."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _send_due_probes(self) -> None:
        now = self._reactor.seconds()
        for probe in self._node.due_probes(now):
            self._send(probe)
        next_at = self._node.next_probe_at()
        pause_s = MAX_CHECK_INTERVAL_S if next_at is None else next_at - now
        pause_s = min(MAX_CHECK_INTERVAL_S, max(MIN_CHECK_INTERVAL_S, pause_s))
        self._timer = self._reactor.callLater(pause_s, self._send_due_probes)

    def _send(self, probe: Probe) -> None:
        try:
            address = self._node.server_address(probe.service, probe.server)
        except LookupError:
            return
        outgoing = OutgoingRequest(
            b"GET", probe.path.encode("ascii"), PROBE_HEADERS, b""
        )
        pending = self._upstream.send(*address, outgoing)
        pending.addCallback(_read_result)
        pending.addTimeout(probe.timeout_s, self._reactor, _on_timeout)
        pending.addErrback(_failed_result)
        pending.addCallback(lambda result: self._report(probe, result))
        pending.addErrback(
            lambda failure: log.error(
                "Probe handling failed.", failure=failure.getTraceback()
            )
        )

    def _report(self, probe: Probe, result: ProbeResult) -> None:
        now = self._reactor.seconds()
        self._carry_out(self._node.on_probe(now, probe, result))


class _OversizedPageError(Exception):
    """The body of a health page exceeds ``MAX_PAGE_BYTES``."""


def _read_result(response: Any) -> Deferred[ProbeResult]:
    """Return the result of a probe once the response's body has arrived."""
    chunks: list[bytes] = []
    n_bytes = 0

    def on_data(chunk: bytes) -> None:
        nonlocal n_bytes
        n_bytes += len(chunk)
        if n_bytes <= MAX_PAGE_BYTES:
            chunks.append(chunk)
        elif not done.called:
            done.errback(_OversizedPageError())
            reader.abort()

    def on_end(reason: Failure | None) -> None:
        if done.called:
            return
        if reason is None:
            done.callback(_parse_result(response, b"".join(chunks)))
        else:
            done.errback(reason)

    reader = BodyReader(on_data, on_end)
    done: Deferred[ProbeResult] = Deferred(lambda _: reader.abort())
    response.deliverBody(reader)
    return done


def _parse_result(response: Any, body: bytes) -> ProbeResult:
    headers = tuple(iter_headers(response.headers))
    if is_oversized(headers):
        return ProbeResult(ProbeOutcome.UNREADABLE, response.code)
    by_name = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in headers
    }
    try:
        page = parse_page(by_name, body)
    except PageError:
        return ProbeResult(ProbeOutcome.UNREADABLE, response.code)
    return ProbeResult(
        ProbeOutcome.ANSWERED, response.code, page.state, page.load, page.cold_s
    )


def _on_timeout(_: Any, __: float) -> Any:
    return ProbeResult(ProbeOutcome.TIMED_OUT)


def _failed_result(failure: Failure) -> ProbeResult:
    """Return the result of a failed probe, for every kind of failure."""
    if failure.check(CancelledError):
        return ProbeResult(ProbeOutcome.TIMED_OUT)
    if classify_failure(failure) is AttemptOutcome.NOT_SENT:
        return ProbeResult(ProbeOutcome.UNREACHABLE)
    return ProbeResult(ProbeOutcome.UNREADABLE)
