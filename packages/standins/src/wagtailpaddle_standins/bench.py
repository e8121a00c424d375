"""Benchmark of the whole request path against minimal forwarders, interleaved.

Latency is measured with one request in flight, throughput with several persistent
connections. The main result is the latency that a path adds to a direct request.
"""

import argparse
import asyncio
import json
import socket
import time
from dataclasses import dataclass
from functools import partial

from wagtailpaddle_standins.client import wait_for
from wagtailpaddle_standins.processes import ReservedPorts
from wagtailpaddle_standins.system import System

PATH = "/catalogue/item"
ANSWER_BYTES = 1024
N_CONNECTIONS = 16
BLOCK_REQUESTS = 100


@dataclass(frozen=True, slots=True)
class Target:
    """One path from the client to the backend server."""

    name: str
    port: int
    request: bytes


@dataclass(frozen=True, slots=True)
class Figures:
    """Latencies in seconds and throughput in requests/s of one target."""

    name: str
    p50_s: float
    p99_s: float
    throughput: float


class Connection:
    """A persistent connection with a minimal HTTP client."""

    def __init__(self, target: Target):
        self._request = target.request
        self._socket = socket.create_connection(("127.0.0.1", target.port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def exchange(self) -> float:
        """Send one request; return the seconds until the response is complete."""
        started_at = time.perf_counter()
        self._socket.sendall(self._request)
        data = self._socket.recv(65536)
        while not is_complete(data):
            more = self._socket.recv(65536)
            if not more:
                raise ConnectionError("the connection ended within an answer")
            data += more
        if not data.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"response is not 200: {data[:200]!r}")
        return time.perf_counter() - started_at

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def is_complete(data: bytes) -> bool:
    """Return whether ``data`` is a complete response, with a length or chunked."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    lowered = head.lower()
    index = lowered.find(b"content-length:")
    if index >= 0:
        return len(body) >= int(lowered[index + 15 :].split(b"\r\n")[0])
    return body.endswith(b"0\r\n\r\n")


def measure_latency(targets: list[Target], n_blocks: int) -> dict[str, list[float]]:
    """Return latencies per target, measured in alternating blocks."""
    conns = {target.name: Connection(target) for target in targets}
    samples: dict[str, list[float]] = {target.name: [] for target in targets}
    for block in range(n_blocks + 1):
        for target in targets:
            conn = conns[target.name]
            latencies_s = [conn.exchange() for _ in range(BLOCK_REQUESTS)]
            if block:
                samples[target.name].extend(latencies_s)
    for conn in conns.values():
        conn.close()
    return samples


async def measure_throughput(target: Target, n_requests: int) -> float:
    """Return requests a second over several persistent connections."""

    async def work(n_own: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", target.port)
        for _ in range(n_own):
            writer.write(target.request)
            data = b""
            while not is_complete(data):
                more = await reader.read(65536)
                if not more:
                    raise ConnectionError("the connection ended within an answer")
                data += more
        writer.close()

    started_at = time.perf_counter()
    share = n_requests // N_CONNECTIONS
    await asyncio.gather(*(work(share) for _ in range(N_CONNECTIONS)))
    return share * N_CONNECTIONS / (time.perf_counter() - started_at)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of the ``values`` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def run(system: System, n_blocks: int, n_requests: int) -> list[Figures]:
    """Measure every target in one run."""
    targets = prepare_targets(system)
    samples = measure_latency(targets, n_blocks)
    rates: dict[str, list[float]] = {target.name: [] for target in targets}
    for _ in range(3):
        for target in targets:
            rate = asyncio.run(measure_throughput(target, n_requests))
            rates[target.name].append(rate)
    return [
        Figures(
            target.name,
            quantile(samples[target.name], 0.50),
            quantile(samples[target.name], 0.99),
            sorted(rates[target.name])[1],
        )
        for target in targets
    ]


def prepare_targets(system: System) -> list[Target]:
    """Start the forwarders, issue a key and return all targets."""
    document = system.base_document()
    reserved = ReservedPorts(3)
    backend_port, klein_port, web_port = (reserved.acquire() for _ in range(3))
    system.processes.start(
        "bench-backend",
        "wagtailpaddle_standins.backend",
        [f"--server=bench={backend_port}", f"--answer-bytes={ANSWER_BYTES}"],
    )
    for kind, port in (("klein", klein_port), ("web", web_port)):
        system.processes.start(
            f"bench-{kind}",
            "wagtailpaddle_standins.forwarders",
            [
                f"--kind={kind}",
                f"--port={port}",
                f"--target=http://127.0.0.1:{backend_port}",
            ],
        )
    document["accounts"] = {"account-0": {"rate": 1e6, "burst": 1e6}}
    document["services"]["booking"]["servers"] = {
        "bench": {
            "address": "127.0.0.1",
            "port": backend_port,
            "zone": "a",
            "slots": 64,
        }
    }
    system.publish(document)
    reply = system.operator(0).send("POST", "/v1/accounts/account-0/keys", {})
    secret = reply.json()["secret"]
    caller = int(system.daemons[0].caller.rpartition(":")[2])
    if not wait_for(
        lambda: system.caller(0, secret).request("GET", PATH).status == 200
    ):
        raise RuntimeError("the daemon does not serve requests with the issued key")
    ports = {
        "direct": backend_port,
        "klein-treq": klein_port,
        "twisted.web": web_port,
        "wagtailpaddled": caller,
    }
    targets = []
    for name, port in ports.items():
        if not wait_for(partial(_listens, port)):
            raise RuntimeError(f"{name} does not listen on port {port}")
        targets.append(Target(name, port, _request(secret)))
    return targets


def _listens(port: int) -> bool:
    socket.create_connection(("127.0.0.1", port)).close()
    return True


def _request(secret: str) -> bytes:
    lines = [
        f"GET {PATH} HTTP/1.1",
        "Host: bench",
        f"Authorization: Bearer {secret}",
        "Accept: */*",
        "User-Agent: bench",
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def report(figures: list[Figures]) -> str:
    """Format the table of the run."""
    direct = figures[0]
    klein = figures[1]
    lines = [
        f"{'path':<15} {'p50 ms':>8} {'p99 ms':>8} {'added p50':>10}"
        f" {'added p99':>10} {'req/s':>8} {'of klein':>9}"
    ]
    base = klein.p50_s - direct.p50_s
    for item in figures:
        added = item.p50_s - direct.p50_s
        lines.append(
            f"{item.name:<15} {item.p50_s * 1e3:8.3f} {item.p99_s * 1e3:8.3f}"
            f" {added * 1e3:10.3f} {(item.p99_s - direct.p99_s) * 1e3:10.3f}"
            f" {item.throughput:8.0f} {added / base:9.2f}"
        )
    return "\n".join(lines)


def main() -> int:
    """Run the benchmark and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--blocks", type=int, default=20)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    with System(n_daemons=1) as system:
        figures = run(system, args.blocks, args.requests)
    if args.json:
        print(json.dumps([[f.name, f.p50_s, f.p99_s, f.throughput] for f in figures]))
    else:
        print(report(figures))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
