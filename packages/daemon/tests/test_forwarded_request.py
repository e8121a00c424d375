"""Requests reach the gateway as callers sent them, also with words like keys."""

import pytest
from twisted.internet.testing import StringTransport
from wagtailpaddle_config import hash_secret

WORD = b"wp_furniture-pack_oak-table-four-chairs-namur-jambes-2026"
KEY = b"2b9wu3fexd9dnn2ctnfz"


@pytest.fixture
def receive(front, gateway):
    """Return a function that sends a request and returns what the gateway gets."""

    def receive(uri=b"/", request_id=b"r1", copy=b"c", body=b"", key=KEY):
        channel = front.buildProtocol(None)
        channel.makeConnection(StringTransport())
        channel.dataReceived(
            b"POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
            b"X-Request-Id: %s\r\nX-Copy: %s\r\nContent-Length: %d\r\n\r\n%s"
            % (uri, key, request_id, copy, len(body), body)
        )
        ((head, outgoing),) = gateway.requests
        return head, outgoing, dict(outgoing.headers)

    return receive


@pytest.mark.parametrize("word", [WORD, WORD.replace(b"w", b"%77", 1)])
def test_word_like_a_key_is_forwarded(receive, word):
    """Guards against a server that runs another query than the caller's."""
    uri = b"/%s?page=1&pack=%s&size=20" % (word, word)
    _, outgoing, headers = receive(uri, request_id=word, copy=word, body=word)
    assert (outgoing.uri, outgoing.body) == (uri, word)
    assert (headers[b"X-Request-Id"], headers[b"X-Copy"]) == (word, word)


@pytest.mark.parametrize("request_id", [b"x" * 300, b"caf\xe9", b"a b"])
def test_request_id_is_forwarded_as_sent(receive, request_id):
    """Guards against a request that runs with an id which its caller never sent."""
    _, _, headers = receive(request_id=request_id)
    assert headers[b"X-Request-Id"] == request_id


@pytest.mark.parametrize("key", [b"1", b"page"])
def test_short_key_is_not_searched_for_in_ordinary_text(receive, key):
    """Guards against the refusal of a request that contains the key by chance."""
    head, outgoing, _ = receive(b"/?page=1", key=key, body=b"page 1")
    assert head.key_candidates == frozenset()
    assert outgoing.uri == b"/?page=1"


@pytest.mark.parametrize(
    "parts",
    [
        {"uri": b"/" + KEY},
        {"uri": b"/?k=" + KEY},
        {"body": b"{" + KEY + b"}"},
        {"request_id": KEY},
    ],
)
def test_key_in_a_part_that_stays_as_sent_is_named_to_the_node(receive, parts):
    head, _, _ = receive(**parts)
    assert head.key_candidates == {hash_secret(KEY.decode())}


def test_header_with_the_key_is_left_out(receive):
    head, outgoing, headers = receive(copy=b"a" + KEY)
    assert b"X-Copy" not in headers
    assert (head.key_candidates, outgoing.hidden_key) == (frozenset(), KEY)
