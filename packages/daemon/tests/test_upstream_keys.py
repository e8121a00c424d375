"""The check that no request to a backend server contains an issued key."""

import pytest
from twisted.internet.testing import MemoryReactorClock
from wagtailpaddle_core.invariants import InvariantError
from wagtailpaddle_daemon.upstream import OutgoingRequest, Upstream

KEY = b"wp_" + b"k" * 43


@pytest.fixture
def send():
    reactor = MemoryReactorClock()

    def run(uri=b"/", headers=(), body=b""):
        Upstream(reactor).send(
            "127.0.0.1", 9, OutgoingRequest(b"POST", uri, headers, body)
        )
        return reactor.tcpClients

    return run


@pytest.mark.parametrize(
    "parts",
    [
        {"uri": b"/?k=" + KEY},
        {"headers": ((b"X-Copy", b"a" + KEY),)},
        {"headers": ((KEY, b"a"),)},
        {"body": b"{" + KEY + b"}"},
    ],
)
def test_request_with_a_key_is_not_sent(send, parts):
    with pytest.raises(InvariantError, match="server-sees-no-key"):
        send(**parts)


def test_request_without_a_key_is_sent(send):
    assert len(send(headers=((b"X-Copy", b"wp_short"),))) == 1
