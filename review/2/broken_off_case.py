"""After a SIGTERM a daemon gives up requests at which their servers are at work."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

ZONES = ("namur-a", "namur-b", "gembloux")
SERVICE = "tenant-inventory"
N_SERVERS = 6
WORK_S = 0.46
LONG_WORK_S = 2.2
"""Mean work of ``inventory-read``, and one of its long requests (3,600 ms at most)."""

DEADLINE_MS = 3000
STABLE_S = 4.0
LOAD_S = 6.0
PAUSE_S = 0.1
N_LONG = 3
GRACE_S = 6.0
MARGIN_S = 0.3


async def call_all(rig: rigs.Rig, daemon: rigs.Daemon) -> None:
    """Send usual requests to one daemon until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(rig.request(daemon, "GET", "/view/1", key="key-1"))
            await asyncio.sleep(PAUSE_S)


async def case(rig: rigs.Rig, is_troubled: bool) -> str | None:
    """Stop a daemon, and send some long requests just after."""
    for index in range(N_SERVERS):
        server = rig.add_server(f"s{index}", SERVICE, ZONES[index % len(ZONES)])
        server.work_s = WORK_S
        server.work_by_path["/view/long"] = LONG_WORK_S
    await rig.start(
        [
            rigs.route("view", "/view/", SERVICE, targetLatencyS=1.2),
            rigs.service(SERVICE),
            rigs.tenant("large", "key-1"),
            rigs.limits(),
        ]
    )
    await asyncio.sleep(STABLE_S)
    stopped = rig.daemons[0]
    usual = asyncio.create_task(call_all(rig, stopped))
    await asyncio.sleep(LOAD_S)
    stopped_at = rig.record.now()
    if is_troubled:
        rig.record.add(stopped.name, "sigterm")
        stopped.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    async with asyncio.TaskGroup() as group:
        for _ in range(N_LONG):
            call = rig.request(
                stopped, "GET", "/view/long", key="key-1", deadline_ms=DEADLINE_MS
            )
            group.create_task(call)
            await asyncio.sleep(PAUSE_S)
    usual.cancel()
    await asyncio.gather(usual, return_exceptions=True)
    began_at = {
        message.headers["x-request-id"]: (at, message.start[1])
        for server in rig.servers.values()
        for at, message in server.runs
    }
    long = [
        answer
        for answer in rig.answers
        if began_at.get(answer.request, (0.0, ""))[1] == "/view/long"
    ]
    print(f"long requests were answered {sorted(item.status for item in long)}")
    given_up = [
        answer
        for answer in long
        if answer.status >= 500
        and not answer.stamp
        and answer.ended_at < began_at[answer.request][0] + LONG_WORK_S - MARGIN_S
        and answer.ended_at < answer.sent_at + DEADLINE_MS / 1000 - MARGIN_S
        and stopped_at < answer.ended_at < stopped_at + GRACE_S + 1.0
    ]
    if not is_troubled or not given_up:
        return None
    return f"{len(given_up)} of {N_LONG} requests were given up while a server worked"


if __name__ == "__main__":
    sys.exit(rigs.main(FOLDER, ZONES, case))
