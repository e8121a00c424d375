"""Tests of the gateway."""

import pytest
from twisted.internet.defer import fail
from twisted.internet.task import Clock
from twisted.web.client import RequestNotSent
from wagtailpaddle_config import Configuration
from wagtailpaddle_core import ErrorKind
from wagtailpaddle_daemon.caller import DisconnectedCaller
from wagtailpaddle_daemon.gateway import Gateway
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
        return (Dispatch(head.id, "s", "b", attempt, now + 1.0),)

    def on_attempt(self, now, request, result, answer=None):
        self.results.append(result.outcome.name)
        if len(self.results) < 2:
            return self.on_request(now, RequestHead(request, "", "/", "GET", None))
        return (Refuse(request, ErrorKind.NO_HEALTHY_SERVER, "none"),)


class FailingUpstream:
    """An upstream whose requests fail before ``send`` returns."""

    def send(self, address, port, outgoing, *, max_open, is_fresh):
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
