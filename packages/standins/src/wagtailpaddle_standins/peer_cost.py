"""Measures processor time and bytes of a call between two daemons.

Caller and receiver run in one process over loopback, so the processor time is
that of both sides and of the proxy that counts the bytes between them.
"""

import argparse
import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wagtailpaddle_core import ServerId, ServiceId, VmId
from wagtailpaddle_fleet import RecordsAnswer, RecordsQuery
from wagtailpaddle_health import HealthDigest, ServerDigest
from wagtailpaddle_peer import PeerClient, PeerServer, Security

HOST = "127.0.0.1"
N_WARM_UP = 50
DIGEST_SIZES = (0, 4, 16, 64)
SECRET = b"a secret of the measurement"
CALLER = VmId("127.0.0.1:8081/0192f0a0")
RECEIVER = VmId("127.0.0.1:8082/0192f0a1")


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one call: processor seconds of both sides, bytes in both directions."""

    processor_s: float
    n_bytes: float


class _Forwarder(asyncio.Protocol):
    """Forwards bytes to its partner and counts them."""

    def __init__(self, count: Callable[[int], None]):
        self._count = count
        self._buffered = b""
        self.partner: _Forwarder | None = None
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Send the bytes that were buffered before the connection was made."""
        self.transport = transport
        transport.write(self._buffered)

    def data_received(self, data: bytes) -> None:
        """Count the bytes and forward them."""
        self._count(len(data))
        if self.partner is not None:
            self.partner.send(data)

    def send(self, data: bytes) -> None:
        """Write, or buffer until the connection is made."""
        if self.transport is None:
            self._buffered += data
        else:
            self.transport.write(data)


class CountingProxy:
    """A proxy on its own port that counts the bytes to and from ``port``."""

    def __init__(self, port: int):
        self.n_bytes = 0
        self._port = port
        self._tasks: set[Any] = set()

    async def start(self) -> int:
        """Listen on a free port and return it."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self._accept, HOST, 0)
        port: int = server.sockets[0].getsockname()[1]
        return port

    def _accept(self) -> _Forwarder:
        client_side, server_side = _Forwarder(self._add), _Forwarder(self._add)
        client_side.partner, server_side.partner = server_side, client_side
        loop = asyncio.get_running_loop()
        connecting = loop.create_connection(lambda: server_side, HOST, self._port)
        self._tasks.add(loop.create_task(connecting))
        return client_side

    def _add(self, n_bytes: int) -> None:
        self.n_bytes += n_bytes


def digest(n_servers: int) -> HealthDigest:
    """Return a health digest of ``n_servers`` servers."""
    lines = tuple(
        ServerDigest(ServerId(f"server-{index:05}"), 20, 1, 0.025, 0, 1)
        for index in range(n_servers)
    )
    return HealthDigest(CALLER, ServiceId("service-0001"), lines, (), 7)


async def measure(body: Any, reply: Any, n_calls: int) -> Cost:
    """Return the average cost of ``n_calls`` calls with ``body``."""
    security = Security(SECRET)
    server = PeerServer(RECEIVER, lambda sender, message: reply, security)
    probe = await asyncio.get_running_loop().create_server(asyncio.Protocol, HOST, 0)
    port = probe.sockets[0].getsockname()[1]
    probe.close()
    await probe.wait_closed()
    await server.start(HOST, port)
    proxy = CountingProxy(port)
    address = f"{HOST}:{await proxy.start()}"
    client = PeerClient(CALLER, security, time.monotonic)
    for _ in range(N_WARM_UP):
        await client.call(address, body)
    proxy.n_bytes, started_at = 0, time.process_time()
    for _ in range(n_calls):
        await client.call(address, body)
    used = time.process_time() - started_at
    cost = Cost(used / n_calls, proxy.n_bytes / n_calls)
    client.close()
    await server.stop()
    return cost


async def report(n_calls: int) -> None:
    """Print a line for each kind and size of message."""
    cost = await measure(RecordsQuery(1), RecordsAnswer(1, 2, ()), n_calls)
    _print("question of an offset", cost)
    for n_servers in DIGEST_SIZES:
        cost = await measure(digest(n_servers), None, n_calls)
        _print(f"digest of {n_servers} servers", cost)


def _print(name: str, cost: Cost) -> None:
    print(f"{name:24} {cost.processor_s * 1e6:6.0f} us {cost.n_bytes:7.0f} bytes")


def main() -> None:
    """Print the costs of calls."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=1000)
    asyncio.run(report(parser.parse_args().calls))


if __name__ == "__main__":
    main()
