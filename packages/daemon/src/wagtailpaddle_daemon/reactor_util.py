"""Helpers on the reactor: listening ports, waits and periodic calls."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall

from wagtailpaddle_daemon.logs import get_logger

CONDITION_POLL_INTERVAL_S = 0.02
LISTEN_BACKLOG = 512
"""Length of the kernel's queue of connections that are not yet accepted."""

log = get_logger("daemon")


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def sleep(reactor: Any, seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after ``seconds``."""
    waiter: Deferred[None] = Deferred()
    reactor.callLater(seconds, waiter.callback, None)
    return waiter


def start_coroutine(coroutine: Any) -> Deferred[Any]:
    """Run a coroutine; log its exceptions instead of raising them."""
    return Deferred.fromCoroutine(coroutine).addErrback(
        lambda failure: log.error("Task failed.", failure=failure.getTraceback())
    )


async def listen(reactor: Any, address: str, factory: Any) -> Any:
    """Listen on ``host:port`` and return the port."""
    host, port = split_address(address)
    endpoint = TCP4ServerEndpoint(reactor, port, backlog=LISTEN_BACKLOG, interface=host)
    return await endpoint.listen(factory)


async def stop_listening(port: Any) -> None:
    """Accept the connections in the kernel's queue, then close the port.

    A queued connection may carry a request. If the port were closed without
    accepting it, the connection would be reset and its caller could not know
    whether the request ran. ``stopListening`` closes the port in the next turn of
    the reactor, so the queue is emptied once more immediately before.
    """
    _accept_queued(port)
    port.reactor.callLater(0, _accept_queued, port)
    await port.stopListening()


def _accept_queued(port: Any) -> None:
    """Accept every connection in the kernel's queue.

    Twisted adapts the number of connections accepted at once to the traffic seen
    before; after a quiet moment it is 1. The loop's ports bound it as well.
    """
    port.max_accepts = port.numberAccepts = LISTEN_BACKLOG + 1
    port.doRead()


async def wait_until(
    reactor: Any, condition: Callable[[], bool], timeout_s: float
) -> bool:
    """Wait at most ``timeout_s`` seconds for ``condition``; return whether it holds."""
    deadline_at = reactor.seconds() + timeout_s
    while not condition():
        if reactor.seconds() >= deadline_at:
            return False
        await sleep(reactor, CONDITION_POLL_INTERVAL_S)
    return True


class PeriodicCalls:
    """Calls functions periodically until ``stop``."""

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._looping_calls: list[LoopingCall] = []

    def add(self, interval_s: float, function: Callable[[], Any]) -> None:
        """Call ``function`` at once and then every ``interval_s`` seconds."""
        loop = LoopingCall(function)
        loop.clock = self._reactor
        self._looping_calls.append(loop)
        loop.start(interval_s).addErrback(
            lambda failure: log.error(
                "Periodic call failed.", failure=failure.getTraceback()
            )
        )

    def stop(self) -> None:
        """Stop all periodic calls."""
        for loop in self._looping_calls:
            if loop.running:
                loop.stop()
