"""The check that no request to a backend server contains its caller's key."""

import pytest
from twisted.internet.testing import MemoryReactorClock
from wagtailpaddle_core.invariants import InvariantError
from wagtailpaddle_daemon.upstream import OutgoingRequest, Upstream, encode_head

KEY = b"wp_" + b"k" * 43


@pytest.fixture
def send():
    reactor = MemoryReactorClock()

    def run(uri=b"/", headers=(), body=b"", key=KEY):
        outgoing = OutgoingRequest(b"POST", uri, headers, body, hidden_key=key)
        Upstream(reactor).send("127.0.0.1", 9, outgoing)
        return reactor.tcpClients

    return run


@pytest.mark.parametrize("key", [KEY, b"2b9wu3fexd9dnn2ctnfz"])
@pytest.mark.parametrize(
    "part",
    [
        lambda key: {"uri": b"/?k=" + key},
        lambda key: {"headers": ((b"X-Copy", b"a" + key),)},
        lambda key: {"headers": ((key, b"a"),)},
        lambda key: {"body": b"{" + key + b"}"},
    ],
    ids=["uri", "header", "header name", "body"],
)
def test_request_with_its_key_is_not_sent(send, part, key):
    with pytest.raises(InvariantError, match="server-sees-no-key"):
        send(**part(key), key=key)


def test_header_that_the_daemon_adds_may_equal_the_key():
    """Guards against a failure where operators name an account like its key."""
    headers = ((b"X-Tenant", KEY),)
    outgoing = OutgoingRequest(b"GET", b"/", (), b"", hidden_key=KEY, added=headers)
    assert not outgoing.shows_key
    assert b"X-Tenant: " + KEY in encode_head(outgoing, b"x")


def test_request_with_a_word_like_a_key_is_sent(send):
    """Guards against a daemon that ends a proper request as one with a key."""
    assert len(send(uri=b"/?k=" + KEY, body=KEY, key=b"another-key")) == 1


def test_request_without_a_key_is_sent(send):
    assert len(send(headers=((b"X-Copy", b"wp_short"),))) == 1
