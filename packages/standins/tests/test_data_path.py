"""Bad callers and bad backend servers, seen from the caller's side."""

import base64
import socket
from http.client import IncompleteRead
from urllib.parse import quote

import pytest
from wagtailpaddle_standins.client import Client, wait_for


@pytest.fixture(scope="module")
def secret(system):
    path = "/v1/accounts/account-0/keys"
    issued = system.operator(0).send("POST", path, {}).json()["secret"]
    assert wait_for(
        lambda: system.caller(0, issued).request("GET", "/catalogue").status == 200
    )
    return issued


@pytest.fixture
def caller(system, secret):
    client = system.caller(0, secret)
    yield client
    client.close()


@pytest.fixture
def raw(system):
    host, _, port = system.daemons[0].caller.partition(":")
    sock = socket.create_connection((host, int(port)), timeout=10)
    yield sock
    sock.close()


def key_forms(secret):
    data = secret.encode()
    twice = "".join(f"%25{byte:02x}" for byte in data)
    return {
        "plain": secret,
        "percent": "".join(f"%{byte:02x}" for byte in data),
        "percent twice": twice,
        "base64": base64.b64encode(b"u:" + data).decode(),
        "base64 url": base64.urlsafe_b64encode(b"user:" + data).decode(),
        "hexadecimal": data.hex(),
        "upper hexadecimal": data.hex().upper(),
    }


@pytest.mark.parametrize("form", key_forms("x"))
def test_no_form_of_the_key_reaches_a_server(caller, secret, form):
    value = key_forms(secret)[form]
    headers = {
        "X-Copy": f"a{value}b",
        "Cookie": f"session=1; key={value}",
        "Proxy-Authorization": value,
    }
    reply = caller.request("GET", "/catalogue/1?a=1&b=2", headers=headers)
    assert reply.status == 200
    seen = reply.json()
    assert seen["uri"] == "/catalogue/1?a=1&b=2"
    assert ["Cookie", "session=1"] in seen["headers"]
    assert value not in reply.body.decode()
    assert quote(secret) not in reply.body.decode()


@pytest.mark.parametrize("form", key_forms("x"))
def test_key_in_a_part_that_stays_as_sent_is_refused(system, caller, secret, form):
    value = key_forms(secret)[form]
    body = f'{{"note": "{value}"}}'.encode()
    n_received = len(system.received_requests())
    assert caller.request("POST", "/deliveries", body).status == 400
    assert caller.request("GET", f"/catalogue/{value}").status == 400
    assert caller.request("GET", f"/catalogue/1?a=1&k={value}&b=2").status == 400
    headers = {"X-Request-Id": value}
    assert caller.request("GET", "/catalogue/1", headers=headers).status == 400
    assert len(system.received_requests()) == n_received


@pytest.mark.parametrize("fault", ["cut", "crossed", "garbage", "close"])
def test_bad_answer_is_never_passed_on(system, caller, fault):
    reply = caller.request("POST", f"/deliveries/fault/{fault}", b"one bed")
    assert (reply.status, reply.headers["x-outcome"]) == (502, "unknown")
    runs = [item for item in system.received_requests() if item["uri"].endswith(fault)]
    assert len(runs) == 1


def test_answer_cut_after_its_begin_ends_the_connection(caller):
    with pytest.raises((IncompleteRead, ConnectionError)):
        caller.request("GET", "/catalogue/fault/cut-late/300000")


def test_stray_second_answer_goes_to_nobody(caller):
    for number in range(20):
        reply = caller.request("GET", f"/catalogue/{number}/fault/double")
        assert reply.json()["uri"] == f"/catalogue/{number}/fault/double"


def test_header_bomb_of_a_server_costs_that_server_only(system, caller):
    assert caller.request("POST", "/deliveries/fault/bomb/5000", b"x").status == 502
    assert caller.request("GET", "/catalogue/1").status == 200


def test_large_answer_comes_whole(caller):
    reply = caller.request("GET", "/catalogue/fault/big/3000000")
    assert len(reply.body) == 3_000_000


def test_timeout_of_the_caller_is_honoured(caller):
    headers = {"X-Request-Timeout-Ms": "300"}
    reply = caller.request("POST", "/deliveries/fault/hang", b"x", headers)
    assert reply.headers["x-outcome"] == "unknown"
    assert (
        caller.request(
            "GET", "/catalogue", headers={"X-Request-Timeout-Ms": "soon"}
        ).status
        == 400
    )


def test_deadline_and_request_id_are_passed_on(caller):
    headers = {"X-Request-Timeout-Ms": "900", "X-Request-Id": "mine"}
    reply = caller.request("GET", "/catalogue", headers=headers)
    seen = dict(reply.json()["headers"])
    assert reply.headers["x-request-id"] == seen["X-Request-Id"] == "mine"
    assert 0 < int(seen["X-Request-Timeout-Ms"]) <= 900


def test_hop_by_hop_headers_stay(caller):
    headers = {"Connection": "keep-alive, X-Hop", "X-Hop": "1", "X-End": "2"}
    seen = dict(caller.request("GET", "/catalogue", headers=headers).json()["headers"])
    assert "X-Hop" not in seen
    assert seen["X-End"] == "2"


@pytest.mark.parametrize(
    "path", ["/catalogue/../claims", "/catalogue//x", "/a/%2e%2e/b"]
)
def test_ambiguous_path_is_refused(caller, path):
    assert caller.request("GET", path).status == 400


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET / HTTP/1.1\r\n" + b"X-Header: 1\r\n" * 2000 + b"\r\n",
        b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n",
    ],
    ids=["line", "length", "both-lengths", "chunk", "headers", "long-line"],
)
def test_malformed_request_gets_an_answer_or_a_close(raw, data):
    try:
        raw.sendall(data)
        answer = raw.recv(65536)
    except ConnectionError:
        answer = b""
    assert answer == b"" or answer.startswith(b"HTTP/1.1 4")


def test_body_over_the_limit_in_chunks_is_refused(raw, secret):
    head = f"POST /deliveries HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {secret}"
    raw.sendall(head.encode() + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    for _ in range(20):
        raw.sendall(chunk)
    raw.sendall(b"0\r\n\r\n")
    assert raw.recv(65536).startswith(b"HTTP/1.1 413")


def test_server_hears_of_a_caller_that_goes_away(system, secret):
    client = system.caller(0, secret)
    with pytest.raises(OSError):
        client.request("GET", "/catalogue/gone/fault/hang", timeout_s=0.3)
    client.close()
    index = "/v1/status"
    assert wait_for(
        lambda: system.operator(0).request("GET", index).json()["in_flight"] == 0
    )


def test_directory_names_addresses(system, caller):
    path = "/.well-known/wagtailpaddle/addresses"
    for client in (caller, Client(system.daemons[0].caller)):
        reply = client.request("GET", path).json()
        assert system.daemons[0].caller in reply["addresses"]
        assert reply["keep_s"] > 0


@pytest.fixture
def ask(system, secret):
    """Send bytes on a connection of their own; return all that comes."""
    host, _, port = system.daemons[0].caller.partition(":")

    def send(line, headers=(), body=b"", last=(b"Connection: close",)):
        lines = [line, f"Authorization: Bearer {secret}".encode(), *headers, *last]
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + body)
            return b"".join(iter(lambda: sock.recv(65536), b""))

    return send


HOST = b"Host: x"


@pytest.mark.parametrize(
    ("line", "headers"),
    [
        (b"GET /catalogue/\x7f HTTP/1.1", [HOST]),
        (b"GET /catalogue/1#part HTTP/1.1", [HOST]),
        (b"GET http://u@x/catalogue HTTP/1.1", [HOST]),
        (b"OPTIONS * HTTP/1.1", [HOST]),
        (b"CONNECT x:80 HTTP/1.1", [HOST]),
        (b"GET /catalogue HTTP/1.1", []),
        (b"GET /catalogue HTTP/1.1", [HOST, HOST]),
        (b"GET /catalogue HTTP/1.1", [HOST, b"Content-Length: 0, 0"]),
        (b"GET /catalogue HTTP/1.1", [HOST, b"Content-Length: 0"] * 2),
        (b"GET /catalogue HTTP/1.1", [HOST, b"Transfer-Encoding : chunked"]),
        (b"GET /catalogue HTTP/1.1", [HOST, b"Transfer-Encoding: gzip, chunked"]),
        (
            b"POST /deliveries HTTP/1.1",
            [HOST, b"Transfer-Encoding: identity", b"Content-Length: 0"],
        ),
        (b"GET /catalogue HTTP/1.1", [HOST, b"X-A: 1\rX-B: 2"]),
        (b"GET /catalogue HTTP/1.1", [HOST, b"X-A: 1\0"]),
    ],
)
def test_ambiguous_request_is_refused_and_harms_no_server(ask, caller, line, headers):
    for _ in range(8):
        assert ask(line, headers).startswith(b"HTTP/1.1 400")
    assert caller.request("GET", "/catalogue/1").status == 200


def test_target_in_absolute_form_is_served(ask):
    answer = ask(b"GET http://other/catalogue/1?a=2 HTTP/1.1", [HOST])
    assert b'"uri": "/catalogue/1?a=2"' in answer
    assert b'["Host", "other"]' in answer


def test_folded_header_becomes_one_line(ask):
    answer = ask(b"GET /catalogue/1 HTTP/1.1", [HOST, b"X-A: 1\r\n\t2"])
    assert b'["X-A", "1 2"]' in answer


def test_body_announced_too_large_is_refused_before_it_is_sent(ask):
    headers = [HOST, b"Content-Length: 90000000", b"Expect: 100-continue"]
    answer = ask(b"POST /deliveries HTTP/1.1", headers)
    assert answer.startswith(b"HTTP/1.1 413")
    assert b"100 Continue" not in answer
    assert b"Connection: close" in answer


def test_continue_is_said_once_the_headers_are_accepted(ask):
    headers = [HOST, b"Content-Length: 3", b"Expect: 100-continue"]
    answer = ask(b"POST /deliveries HTTP/1.1", headers, b"one")
    assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert b'"body": "one"' in answer


def test_pipelined_requests_are_answered_in_order(ask, secret):
    later = [
        b"GET /catalogue/%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
        % (number, secret.encode())
        for number in (2, 3)
    ]
    body = later[0] + b"\r\n" + later[1] + b"Connection: close\r\n\r\n"
    answer = ask(b"GET /catalogue/1 HTTP/1.1", [HOST], body, last=())
    places = [answer.find(b"/catalogue/%d" % number) for number in (1, 2, 3)]
    assert places == sorted(places)
    assert min(places) > 0
