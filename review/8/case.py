"""A machine that stood still for 4 s leaves the fleet in two, each with its quotas."""

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_2"))

from fleet import (  # noqa: E402
    HOST,
    ZONES,
    Daemon,
    Fleet,
    Record,
    Request,
    Server,
    encode_response,
    route,
    run_case,
    service,
    tenant,
)

N_DAEMONS = 9
FREEZE_S = 4.0
BEFORE_S = 4.0
HOT_AFTER_S = 6.0
HOT_S = 6.5
AFTER_S = HOT_AFTER_S + HOT_S + 2.0
USUAL_PER_S = 20.5
HOT_PER_S = USUAL_PER_S * 7.5
"""Requests a second that the tenant's clients in each zone send. The limit is 1.6
times the usual of the three zones; the tenant is hot for ``HOT_S``."""

RATE, BURST = 100, 100
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20
KEY = "2b9wu3fexd9dnn2ctnfz"
RESOURCES = [
    route("read", "/read/", timeoutS=2),
    service(),
    tenant("large", KEY, ratePerS=RATE, burst=BURST),
]


async def answer(
    server: Server, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Answer at once."""
    writer.write(encode_response(200, server.headers(request), b"ok"))


class Clients:
    """The tenant's clients in one zone, which use what the directory names."""

    def __init__(self, fleet: Fleet, zone: str):
        self._fleet = fleet
        self._zone = zone
        self._addresses: list[Daemon] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.per_s = USUAL_PER_S
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[int, int] = {}

    async def run(self) -> None:
        """Send requests at an even rate, until cancelled."""
        next_at = resolve_at = time.monotonic()
        while True:
            now = time.monotonic()
            if now >= resolve_at:
                resolve_at = now + 2.0
                await self._resolve()
            if self._addresses:
                task = asyncio.create_task(self._ask(random.choice(self._addresses)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            next_at += 1.0 / self.per_s
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))

    async def _resolve(self) -> None:
        """Ask the directory, the daemons of the own zone first."""
        near = [item for item in self._fleet.daemons if item.zone == self._zone]
        target = f"/resolve?name={HOST}&region=region&zone={self._zone}"
        for daemon in random.sample(near, len(near)):
            try:
                status, _, body = await self._fleet.ask(
                    daemon, "GET", target, port="directory", timeout_s=1.0
                )
            except (OSError, TimeoutError):
                continue
            if status == 200:
                found = json.loads(body)["addresses"]
                by_ip = {item.ip: item for item in self._fleet.daemons}
                self._addresses = [by_ip[item.partition(":")[0]] for item in found]
                return

    async def _ask(self, daemon: Daemon) -> None:
        name = f"{self._zone}-{len(self.sent_at)}"
        self.sent_at[name] = time.monotonic()
        named = {"X_Request_Id": name, "X_Deadline_Ms": "2000", "Api_Key": KEY}
        try:
            status, _, _ = await self._fleet.ask(
                daemon, "GET", "/read/a", timeout_s=2.0, **named
            )
        except (OSError, TimeoutError):
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1


def most_in_a_window(runs: list[tuple[float, float]]) -> tuple[int, float]:
    """Return the most requests both sent and run in a window, and when it begins.

    ``runs`` are the times at which each request was sent and reached its server.
    """
    begins = sorted(sent_at for sent_at, _ in runs)
    counts = (
        (sum(at <= sent and run <= at + WINDOW_S for sent, run in runs), at)
        for at in begins[:: max(1, len(begins) // 400)]
    )
    return max(counts, default=(0, 0.0))


async def freeze(fleet: Fleet, record: Record) -> None:
    """Stop the machine that read the platform's list last, and let it go on."""
    name = fleet.store.reader
    daemon = next(item for item in fleet.daemons if item.name == name)
    record.write(f"{name} in {daemon.zone}, which read the store last, stands still")
    os.kill(daemon.pid, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    os.kill(daemon.pid, signal.SIGCONT)
    record.write(f"{name} goes on")


async def case(record: Record, has_trouble: bool) -> bool:
    """Return whether the tenant got more than its quota."""
    servers = [Server(f"i-{n}", ZONES[n % 3], answer, slots=8) for n in range(6)]
    async with Fleet(record, servers, RESOURCES, n_daemons=N_DAEMONS) as fleet:
        await asyncio.sleep(4.0)
        clients = [Clients(fleet, zone) for zone in ZONES]
        tasks = [asyncio.create_task(item.run()) for item in clients]
        began_at = time.monotonic()
        await asyncio.sleep(BEFORE_S)
        if has_trouble:
            await freeze(fleet, record)
        else:
            await asyncio.sleep(FREEZE_S)
        thawed_at = time.monotonic()
        await asyncio.sleep(HOT_AFTER_S)
        for per_s, for_s in ((HOT_PER_S, HOT_S), (USUAL_PER_S, 2.0)):
            record.write(f"the tenant asks {len(ZONES) * per_s:.0f} requests a second")
            for item in clients:
                item.per_s = per_s
            await asyncio.sleep(for_s)
        for task in tasks:
            task.cancel()
        sent_at = {key: at for item in clients for key, at in item.sent_at.items()}
        runs = [
            (sent_at[request.headers["x-request-id"]], at)
            for server in servers
            for at, request in server.arrivals
        ]
    for second in range(int(BEFORE_S + FREEZE_S + AFTER_S)):
        at = began_at + second
        n_sent = sum(at <= sent < at + 1 for sent in sent_at.values())
        n_run = sum(at <= run < at + 1 for _, run in runs)
        record.write(f"second {second:2}: {n_sent} sent, {n_run} run")
    for item in clients:
        record.write(f"answers by status: {item.statuses}")
    most, at = most_in_a_window(runs)
    allowed = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
    record.write(
        f"{most} were sent and run in {WINDOW_S} s from second {at - began_at:.1f}"
        f" ({at - thawed_at:+.1f} s from the end of the freeze); allowed {allowed:.0f}"
    )
    return most > allowed


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).parent))
