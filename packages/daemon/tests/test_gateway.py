"""Tests of the gateway."""

import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock
from twisted.web.client import RequestNotSent
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH
from wagtailpaddle_config import Configuration
from wagtailpaddle_core import ErrorKind, InvariantError
from wagtailpaddle_daemon.caller import DisconnectedCaller
from wagtailpaddle_daemon.gateway import RESPONSE_BUFFER_BYTES, Gateway
from wagtailpaddle_daemon.upstream import OutgoingRequest
from wagtailpaddle_node import ConfigState, RequestHead, RequestView
from wagtailpaddle_routing import Dispatch, Refuse


class TwoAttemptNode:
    """A node that dispatches a request twice and then refuses it."""

    configuration = Configuration()

    def __init__(self):
        self.results = []

    def config_state(self, now):
        return ConfigState(self.configuration.revision)

    def next_wake(self, now):
        return now + 1.0

    def server_address(self, service, server):
        return "127.0.0.1", 9

    def request_view(self, request):
        return RequestView(None, None)

    def on_request(self, now, head):
        attempt = len(self.results) + 1
        return (Dispatch(head.id, "s", "b", attempt, now + 1.0, now + 1.0),)

    def on_attempt(self, now, request, result, answer=None):
        self.results.append(result.outcome.name)
        if len(self.results) < 2:
            return self.on_request(now, RequestHead(request, "", "/", "GET", None))
        return (Refuse(request, ErrorKind.NO_HEALTHY_SERVER, "none"),)


class FailingUpstream:
    """An upstream whose requests fail before ``send`` returns."""

    def send(self, address, port, outgoing, **options):
        return fail(RequestNotSent())


class RecordingCaller(DisconnectedCaller):
    """A caller that records the kind of its refusal."""

    refusal_kind = None

    def refuse(self, kind, detail, retry_after_s):
        self.refusal_kind = kind


@pytest.fixture
def node():
    return TwoAttemptNode()


def test_attempt_that_fails_synchronously_ends_at_once(node, metrics):
    clock = Clock()
    gateway = Gateway(clock, node, FailingUpstream(), metrics)
    caller = RecordingCaller()
    outgoing = OutgoingRequest(b"GET", b"/", (), b"")
    gateway.on_request(RequestHead("r", "", "/", "GET", None), outgoing, caller)
    assert node.results == ["NOT_SENT", "NOT_SENT"]
    assert caller.refusal_kind is ErrorKind.NO_HEALTHY_SERVER
    assert not clock.getDelayedCalls()


class BrokenUpstream:
    """An upstream that breaks an invariant with each request."""

    def send(self, address, port, outgoing, **options):
        raise InvariantError("an invariant does not hold")


def test_attempt_that_breaks_an_invariant_ends_and_so_do_those_behind_it(node, metrics):
    """Guards against requests of the same tick that are left without an answer."""
    gateway = Gateway(Clock(), node, BrokenUpstream(), metrics)
    caller = RecordingCaller()
    outgoing = OutgoingRequest(b"POST", b"/", (), b"")
    gateway.on_request(RequestHead("r", "", "/", "POST", None), outgoing, caller)
    assert node.results == ["FAILED", "FAILED"]
    assert caller.refusal_kind is ErrorKind.NO_HEALTHY_SERVER
    assert gateway.n_in_flight == 0


class SlowNode(TwoAttemptNode):
    """A node whose attempt times out after 1 s and may go on until its deadline."""

    may_extend = True

    def on_request(self, now, head):
        return (Dispatch(head.id, "s", "b", 1, now + 1.0, now + 3.0),)

    def extend_timeout(self, now, request):
        return 3.0 if self.may_extend and now < 3.0 else now

    def on_attempt(self, now, request, result, answer=None):
        self.results.append((now, result.outcome.name))
        return (Refuse(request, ErrorKind.SERVER_FAILED, "timed out"),)


class SilentUpstream:
    """An upstream whose servers never answer."""

    sent = None

    def send(self, address, port, outgoing, **options):
        self.sent = outgoing
        return Deferred()


@pytest.mark.parametrize(("may_extend", "ends_at"), [(True, 3.0), (False, 1.0)])
def test_attempt_goes_on_after_its_timeout_if_the_node_extends_it(
    metrics, may_extend, ends_at
):
    clock, node, upstream = Clock(), SlowNode(), SilentUpstream()
    node.may_extend = may_extend
    gateway = Gateway(clock, node, upstream, metrics)
    outgoing = OutgoingRequest(b"GET", b"/", (), b"")
    head = RequestHead("r", "", "/", "GET", None)
    gateway.on_request(head, outgoing, RecordingCaller())
    clock.pump([0.5] * 8)
    assert node.results == [(ends_at, "TIMED_OUT")]


def test_server_may_work_until_the_deadline_of_the_request(metrics):
    """A server stops work at the time that it is told, so that is not the time-out."""
    upstream = SilentUpstream()
    gateway = Gateway(Clock(), SlowNode(), upstream, metrics)
    outgoing = OutgoingRequest(b"GET", b"/", (), b"")
    head = RequestHead("r", "", "/", "GET", None)
    gateway.on_request(head, outgoing, RecordingCaller())
    assert dict(upstream.sent.added)[b"X-Request-Timeout-Ms"] == b"3000"


class EndlessResponse:
    """A response whose body has begun and does not end."""

    code, phrase, length, headers = 200, b"OK", UNKNOWN_LENGTH, Headers()

    def deliverBody(self, reader):  # noqa: N802
        reader.dataReceived(b"x" * (RESPONSE_BUFFER_BYTES + 1))


class StreamingUpstream:
    """An upstream whose server answers at once, with a body that does not end."""

    def send(self, address, port, outgoing, **options):
        return succeed(EndlessResponse())


def test_answer_on_its_way_to_the_caller_goes_on_until_the_deadline(metrics):
    """Guards against answers that are broken off when no other attempt is possible."""
    clock, node = Clock(), SlowNode()
    node.may_extend = False
    gateway = Gateway(clock, node, StreamingUpstream(), metrics)
    outgoing = OutgoingRequest(b"GET", b"/", (), b"")
    head = RequestHead("r", "", "/", "GET", None)
    gateway.on_request(head, outgoing, RecordingCaller())
    clock.pump([0.5] * 8)
    assert node.results == [(3.0, "TIMED_OUT")]
