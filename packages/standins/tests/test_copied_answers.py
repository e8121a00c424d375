"""Stand-in servers that copy a refusal send the copy where the soak expects it."""

import json
from dataclasses import dataclass
from typing import Any

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.server import Site
from wagtailpaddle_platform_standins.server import PlatformServer


@dataclass(frozen=True, slots=True)
class Connection:
    """A connection to a stand-in server, and what that server wrote to it."""

    server: Any
    transport: StringTransport


@pytest.fixture
def conn():
    """A connection to a stand-in server."""
    conn = Connection(Site(PlatformServer("s0")).buildProtocol(None), StringTransport())
    conn.server.makeConnection(conn.transport)
    yield conn
    conn.server.connectionLost(Failure(ConnectionDone()))


def exchange(conn, path, request_id="r1", body=b""):
    """Return the bytes that a connection sends in answer to one request."""
    conn.transport.clear()
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request_id}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    conn.server.dataReceived(head.encode() + body)
    return conn.transport.value()


def set_fault(conn, fault):
    body = json.dumps({"fault": fault, "fraction": 1.0}).encode()
    exchange(conn, "/_control", body=body)


@pytest.mark.parametrize(
    ("fault", "status"),
    [
        ("platform-copied-refusal", b"503"),
        ("platform-copied-429", b"429"),
        ("platform-copied-421", b"421"),
        ("platform-copied-body", b"503"),
    ],
)
def test_copy_of_a_refusal_precedes_the_next_answer(conn, fault, status):
    set_fault(conn, fault)
    refusal = exchange(conn, "/book/1")
    following = exchange(conn, "/book/2", request_id="r2")
    assert refusal.startswith(b"HTTP/1.1 " + status)
    assert b"r1" in refusal
    assert following.startswith(refusal)
    assert b"r2" in following[len(refusal) :]


def test_copied_refusal_is_not_recorded_as_run(conn):
    set_fault(conn, "platform-copied-refusal")
    exchange(conn, "/book/1")
    assert exchange(conn, "/_seen").endswith(b"[]")
