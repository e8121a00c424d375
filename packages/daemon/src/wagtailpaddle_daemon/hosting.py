"""What daemons share: ports, waits and regular calls on the reactor."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall

from wagtailpaddle_daemon.logs import get_logger

STOP_POLL_S = 0.02
BACKLOG = 512
"""Connections that the kernel holds until they are accepted."""

log = get_logger("daemon")


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def sleep(reactor: Any, seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after ``seconds``."""
    waiter: Deferred[None] = Deferred()
    reactor.callLater(seconds, waiter.callback, None)
    return waiter


async def listen(reactor: Any, address: str, factory: Any) -> Any:
    """Listen on ``host:port`` and return the port."""
    host, port = split_address(address)
    endpoint = TCP4ServerEndpoint(reactor, port, backlog=BACKLOG, interface=host)
    return await endpoint.listen(factory)


async def stop_listening(port: Any) -> None:
    """Close a port, but accept first what the kernel already took for it.

    A connection in the kernel's queue may carry a request, whose caller would
    find it reset and could not know whether it ran.
    """
    port.doRead()
    await port.stopListening()


async def wait_until(
    reactor: Any, condition: Callable[[], bool], limit_s: float
) -> bool:
    """Wait until ``condition`` holds, ``limit_s`` seconds at most."""
    give_up_at = reactor.seconds() + limit_s
    while not condition():
        if reactor.seconds() >= give_up_at:
            return False
        await sleep(reactor, STOP_POLL_S)
    return True


class RegularCalls:
    """Functions that are called at intervals until ``stop``."""

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._loops: list[LoopingCall] = []

    def add(self, interval_s: float, function: Callable[[], Any]) -> None:
        """Call ``function`` now and then every ``interval_s`` seconds."""
        loop = LoopingCall(function)
        loop.clock = self._reactor
        self._loops.append(loop)
        loop.start(interval_s).addErrback(
            lambda failure: log.error("Loop died.", failure=failure.getTraceback())
        )

    def stop(self) -> None:
        """Call them no more."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
