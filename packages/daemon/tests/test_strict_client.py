"""Every client of the daemon accepts only well-formed status lines."""

import gc
from weakref import ref

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.web._newclient import Request, ResponseFailed
from twisted.web.http_headers import Headers
from wagtailpaddle_daemon.fetch import Fetcher
from wagtailpaddle_daemon.logclient import HttpLogClient
from wagtailpaddle_daemon.strict_client import StatusLineError, StrictConnectionPool
from wagtailpaddle_platform.client import PlatformStore


def send_on(pool):
    """Send a request on a connection of a pool; return both and the response."""
    conn = pool._factory(lambda _: None, "").buildProtocol(None)
    conn.makeConnection(StringTransport())
    req = Request(b"GET", b"/", Headers({b"host": [b"x"]}), None, persistent=True)
    return conn, conn.request(req)


def pool_of_store(reactor):
    return PlatformStore(reactor, "127.0.0.1:9")._agent._pool


def pool_of_log(reactor):
    return HttpLogClient(reactor, "http://127.0.0.1:9")._http._agent._pool


def pool_of_fetcher(reactor):
    return Fetcher(reactor, timeout_s=1.0)._agent._pool


@pytest.mark.parametrize("pool_of", [pool_of_store, pool_of_log, pool_of_fetcher])
@pytest.mark.parametrize("status", [b"000", b"+200", b"2_00", b"101"])
def test_answer_without_a_valid_status_is_an_error(pool_of, status):
    """Guards against a store or log whose odd answer counts as success."""
    pool = pool_of(MemoryReactorClock())
    assert not pool.retryAutomatically
    conn, response = send_on(pool)
    conn.dataReceived(b"HTTP/1.1 %s OK\r\nContent-Length: 0\r\n\r\n" % status)
    failed = []
    response.addErrback(failed.append)
    (failure,) = failed
    assert failure.check(ResponseFailed)
    assert failure.value.reasons[0].check(StatusLineError)


def test_valid_answer_is_returned():
    conn, response = send_on(StrictConnectionPool(MemoryReactorClock()))
    conn.dataReceived(b"HTTP/1.1 204 No Content\r\n\r\n")
    codes = []
    response.addCallback(lambda found: codes.append(found.code))
    assert codes == [204]


def test_finished_response_is_freed_at_once():
    """Guards against responses that take memory until a garbage collection."""
    conn, response = send_on(StrictConnectionPool(MemoryReactorClock()))
    parser = ref(conn._parser)
    gc.disable()
    try:
        conn.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        del conn, response
        assert parser() is None
    finally:
        gc.enable()
