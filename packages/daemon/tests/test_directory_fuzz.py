"""Fuzz tests of directory queries: each returns the directory or a 400."""

import json
from http.client import HTTPResponse
from io import BytesIO

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from wagtailpaddle_daemon.frontend import FrontendFactory

BOUNDED = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
TEXT = st.binary(max_size=40).map(
    lambda data: bytes(byte for byte in data if byte not in b"\r\n\0 ")
)


class Received(BytesIO):
    def makefile(self, _mode):
        return self


@pytest.fixture
def query_directory():
    """Return a function that queries a front end; its directory echoes the zone."""

    def directory(key_hash, zone):
        return json.dumps({"addresses": [], "keep_s": 1.0, "zone": zone}).encode()

    front = FrontendFactory(Clock(), gateway=None, directory=directory)

    def run(query, headers):
        transport = StringTransport()
        channel = front.buildProtocol(None)
        channel.makeConnection(transport)
        lines = [b"GET " + front.directory_path + query + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        channel.dataReceived(b"\r\n".join([*lines, b"Host: x", b"", b""]))
        answer = HTTPResponse(Received(transport.value()), method="GET")
        answer.begin()
        return answer.status, json.loads(answer.read() or b"{}")

    return run


@BOUNDED
@given(zone=TEXT, extra=TEXT, key=TEXT)
def test_any_directory_query_is_answered_or_refused(query_directory, zone, extra, key):
    query = b"?zone=" + zone + b"&" + extra
    status, answer = query_directory(query, [(b"Authorization", b"Bearer " + key)])
    assert status in (200, 400)
    if status == 200:
        assert answer["keep_s"] == 1.0


def test_directory_receives_the_zone(query_directory):
    assert query_directory(b"?zone=a", []) == (
        200,
        {"addresses": [], "keep_s": 1.0, "zone": "a"},
    )
