"""The load tool's kept connections around the close by a daemon.

A daemon that stops refuses on each kept connection that a further request would
run, and closes it. A caller that has read this must not send on the connection.
"""

import pytest
from twisted.internet.defer import fail
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web._newclient import HTTP11ClientProtocol
from wagtailpaddle_daemon.dialect import DEFAULT_DIALECT
from wagtailpaddle_daemon.problems import draining_response
from wagtailpaddle_standins.kept_connections import KeptConnections

KEY = ("http", b"127.0.0.1", 8080)


class ClosedEndpoint:
    """An endpoint that refuses connections."""

    def connect(self, factory):
        return fail(ConnectionRefusedError())


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def pool(clock):
    pool = KeptConnections(clock)
    pool.retryAutomatically = False
    return pool


@pytest.fixture
def kept(pool):
    conn = HTTP11ClientProtocol()
    conn.makeConnection(StringTransport())
    pool._putConnection(KEY, conn)
    return conn


def test_kept_connection_is_used_again(pool, kept):
    assert pool.getConnection(KEY, ClosedEndpoint()).result is kept


def test_connection_with_a_refusal_read_while_idle_is_not_used(pool, kept):
    kept.dataReceived(draining_response(DEFAULT_DIALECT.outcome))
    found = pool.getConnection(KEY, ClosedEndpoint())
    found.addErrback(lambda failure: failure.check(ConnectionRefusedError))
    assert found.result is ConnectionRefusedError


def test_discarded_connection_leaves_no_timer(pool, kept, clock):
    kept.dataReceived(draining_response(DEFAULT_DIALECT.outcome))
    pool.getConnection(KEY, ClosedEndpoint()).addErrback(lambda _: None)
    assert clock.getDelayedCalls() == []
