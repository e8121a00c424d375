"""A daemon that is stopped grants a tenant's whole quota once more."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

ZONES = ("namur-a", "namur-b", "gembloux") * 2
SERVICE = "packs-booking"
N_SERVERS = 6
STABLE_S = 4.0
LOAD_S = 2.0
AFTER_S = 4.5
"""Together the length of ``hot_tenant`` in the site file, 6.5 s."""
PAUSE_S = 0.025

RATE = 60.0
BURST = 60.0
WINDOW_S = 5.0
EXCESS = 0.1
SLACK = 20.0


async def call_all(rig: rigs.Rig, daemon: rigs.Daemon) -> None:
    """Send requests of the large tenant to one daemon until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(rig.request(daemon, "GET", "/read/1", key="key-1"))
            await asyncio.sleep(PAUSE_S)


async def case(rig: rigs.Rig, is_troubled: bool) -> str | None:
    """Let a tenant ask for more than its quota, and stop one daemon."""
    for index in range(N_SERVERS):
        rig.add_server(f"s{index}", SERVICE, ZONES[index % len(ZONES)])
    await rig.start(
        [
            rigs.route("read", "/read/", SERVICE),
            rigs.service(SERVICE),
            rigs.tenant("large", "key-1", rate=RATE, burst=BURST),
            rigs.limits(),
        ]
    )
    await asyncio.sleep(STABLE_S)
    calls = [asyncio.create_task(call_all(rig, daemon)) for daemon in rig.daemons]
    await asyncio.sleep(LOAD_S)
    if is_troubled:
        stopped = rig.daemons[0]
        rig.record.add(stopped.name, "sigterm")
        stopped.send_signal(signal.SIGTERM)
    await asyncio.sleep(AFTER_S)
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    most, since = most_in_window(rig)
    allowed = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
    found = f"{most} requests of {allowed:.0f} allowed in {WINDOW_S} s from {since:.2f}"
    print(found)
    return found if most > allowed else None


def most_in_window(rig: rigs.Rig) -> tuple[int, float]:
    """Return the most requests both sent and run in a window, and its start."""
    sent_at = {answer.request: answer.sent_at for answer in rig.answers}
    pairs = [
        (sent_at[message.headers["x-request-id"]], at)
        for server in rig.servers.values()
        for at, message in server.runs
        if message.headers["x-request-id"] in sent_at
    ]
    counts = [
        (sum(since <= sent and at <= since + WINDOW_S for sent, at in pairs), since)
        for since, _ in pairs
    ]
    return max(counts)


if __name__ == "__main__":
    sys.exit(rigs.main(FOLDER, ZONES, case))
