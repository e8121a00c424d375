"""A stopped machine cuts bookings that wait for their turn at a server."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_2"))

from fleet import (  # noqa: E402
    Daemon,
    Fleet,
    Record,
    Request,
    Server,
    encode_request,
    encode_response,
    read_response,
    route,
    run_case,
    service,
    tenant,
)

GRACE_S = 6.0
N_DAEMONS = 4
WORK_S = 2.25
SLOTS = 4
KEY = "2b9wu3fexd9dnn2ctnfz"
RESOURCES = [
    route("book", "/book/", kind="non_idempotent", timeoutS=10),
    service(),
    tenant("portal", KEY),
]


class Slots:
    """The servers' slots: requests take them in the order in which they came."""

    def __init__(self, record: Record):
        self.record = record
        self.slots: dict[str, asyncio.Semaphore] = {}
        self.n_waiting: dict[str, int] = {}
        self.begun: dict[str, float] = {}

    async def answer(
        self, server: Server, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Wait for a slot, work and answer; drop the request of a lost caller."""
        name = request.headers["x-request-id"]
        self.record.write(f"{name} reaches {server.name}")
        slots = self.slots.setdefault(server.name, asyncio.Semaphore(SLOTS))
        self.n_waiting[server.name] = self.n_waiting.get(server.name, 0) + 1
        async with slots:
            self.n_waiting[server.name] -= 1
            if request.has_left():
                self.record.write(f"{name} is dropped by {server.name}, never begun")
                return
            self.begun[name] = time.monotonic()
            self.record.write(f"{server.name} begins to work on {name}")
            await asyncio.sleep(WORK_S)
        load = f"0,{self.n_waiting[server.name]},{SLOTS}"
        head = server.headers(request, X_Server_Load=load)
        writer.write(encode_response(200, head, b"booked"))


async def book(fleet: Fleet, daemon: Daemon, name: str) -> int:
    """Send a booking; return the status, 0 if the connection ends without an answer."""
    reader, writer = await asyncio.open_connection(*fleet.address(daemon, "front"))
    named = {"X_Request_Id": name, "X_Deadline_Ms": "10000", "Api_Key": KEY}
    writer.write(encode_request("POST", "/book/a", b"date=1", **named))
    fleet.record.write(f"{name} is sent to {daemon.name}")
    try:
        status, _, _ = await asyncio.wait_for(read_response(reader), 15.0)
    except (ConnectionError, TimeoutError):
        status = 0
    writer.close()
    text = f"answered {status}" if status else "ends without an answer"
    fleet.record.write(f"{name}: {text}")
    return status


async def case(record: Record, has_trouble: bool) -> bool:
    """Return whether a booking was passed on, not begun and never answered."""
    slots = Slots(record)
    names = ("i-0", "i-1")
    servers = [Server(name, "zone-a", slots.answer, slots=SLOTS) for name in names]
    async with Fleet(record, servers, RESOURCES, n_daemons=N_DAEMONS) as fleet:
        await asyncio.sleep(5.0)
        tasks: dict[str, asyncio.Task[int]] = {}
        stopped, *others = fleet.daemons
        for daemon in (*others, stopped):
            for n in range(len(servers) * SLOTS):
                name = f"booking-{n}-by-{daemon.name}"
                tasks[name] = asyncio.create_task(book(fleet, daemon, name))
                await asyncio.sleep(0.01)
        if has_trouble:
            record.write(f"SIGTERM to {stopped.name}")
            os.kill(stopped.pid, signal.SIGTERM)
            began_at = time.monotonic()
            assert stopped.process is not None
            while stopped.process.poll() is None:
                if time.monotonic() - began_at > GRACE_S:
                    stopped.process.kill()
                await asyncio.sleep(0.02)
            ended_s = time.monotonic() - began_at
            record.write(f"{stopped.name} has ended after {ended_s:.2f} s")
        statuses = {name: await task for name, task in tasks.items()}
        passed_on = {
            request.headers["x-request-id"]
            for server in servers
            for _, request in server.arrivals
        }
        lost = [
            name
            for name, status in statuses.items()
            if not status and name in passed_on and name not in slots.begun
        ]
        record.write(f"passed on, never begun and never answered: {lost}")
        return bool(lost)


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).parent))
