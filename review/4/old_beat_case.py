"""A draining server gets requests again after an old heartbeat arrives late."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

ZONES = ("namur-a", "namur-b", "gembloux")
SERVICE = "packs-booking"
N_SERVERS = 6
STABLE_S = 4.0
LOAD_S = 2.0
PAUSE_S = 0.02
DRAIN_S = 2.0

DRAIN_AFTER_S = 3.6
"""The server drains this long after the unanswered write, ``stableWindowS`` is 3."""

DONE_AFTER_S = 5.9
"""The unanswered write is done after this time; ``platform_lost`` has 1 to 6 s."""


async def call_all(rig: rigs.Rig, daemon: rigs.Daemon) -> None:
    """Send requests to one daemon until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(rig.request(daemon, "GET", "/read/1", key="key-1"))
            await asyncio.sleep(PAUSE_S)


async def case(rig: rigs.Rig, is_troubled: bool) -> str | None:
    """Let the store do a server's heartbeat late, after it said that it drains."""
    for index in range(N_SERVERS):
        rig.add_server(f"s{index}", SERVICE, ZONES[index % len(ZONES)])
    await rig.start(
        [
            rigs.route("read", "/read/", SERVICE),
            rigs.service(SERVICE),
            rigs.tenant("large", "key-1"),
            rigs.limits(),
        ]
    )
    await asyncio.sleep(STABLE_S)
    calls = [asyncio.create_task(call_all(rig, daemon)) for daemon in rig.daemons]
    await asyncio.sleep(LOAD_S)
    leaving = rig.servers["s0"]
    unanswered = leaving.entry()
    rig.record.add(leaving.name, "heartbeat-unanswered", entry=unanswered.decode())
    await asyncio.sleep(DRAIN_AFTER_S)
    leaving.state = "draining"
    rig.store.put("keyed.servers", leaving.name, leaving.entry())
    drained_at = rig.record.add(leaving.name, "draining-acknowledged")
    await asyncio.sleep(DONE_AFTER_S - DRAIN_AFTER_S)
    if is_troubled:
        rig.store.put("keyed.servers", leaving.name, unanswered)
        rig.record.add(leaving.name, "heartbeat-done-late")
    await asyncio.sleep(2.0)
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    if not leaving.runs:
        raise rigs.CannotRunError("the server got no request before it drained")
    late = [at - drained_at for at, _ in leaving.runs if at > drained_at + DRAIN_S]
    if not late:
        return None
    return f"{len(late)} requests reached {leaving.name}, up to {max(late):.2f} s after"


if __name__ == "__main__":
    sys.exit(rigs.main(FOLDER, ZONES, case))
