"""A server that is gone gets requests because another daemon was frozen before."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

ZONES = ("namur-a", "namur-b", "gembloux")
SERVICE = "packs-booking"
N_SERVERS = 16
STABLE_S = 4.0
FREEZE_S = 4.0
"""The length of ``node_freeze`` in the site file."""

REMOVE_AFTER_S = 0.6
DRAIN_S = 2.0
PAUSE_S = 0.01


async def call_all(rig: rigs.Rig, daemon: rigs.Daemon) -> None:
    """Send requests to one daemon until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(rig.request(daemon, "GET", "/read/1", key="key-1"))
            await asyncio.sleep(PAUSE_S)


async def case(rig: rigs.Rig, is_troubled: bool) -> str | None:
    """Freeze the daemon that reads the store, then remove a server's entry."""
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
    frozen = rig.reader()
    calm = [daemon for daemon in rig.daemons if daemon is not frozen]
    calls = [asyncio.create_task(call_all(rig, daemon)) for daemon in calm]
    if is_troubled:
        rig.record.add(frozen.name, "frozen")
        frozen.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        frozen.send_signal(signal.SIGCONT)
        rig.record.add(frozen.name, "wakes")
    await asyncio.sleep(REMOVE_AFTER_S)
    zones = {daemon.zone for daemon in calm}
    gone = {item.zone: item for item in rig.servers.values() if item.zone in zones}
    removed_at = {item.name: remove(rig, item) for item in gone.values()}
    await asyncio.sleep(DRAIN_S + 2.0)
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    if not all(item.runs for item in gone.values()):
        raise rigs.CannotRunError("a server got no request before it was removed")
    late = [
        at - removed_at[item.name]
        for item in gone.values()
        for at, _ in item.runs
        if at > removed_at[item.name] + DRAIN_S
    ]
    if not late:
        return None
    return (
        f"{len(late)} requests reached removed servers, up to {max(late):.2f} s after"
    )


def remove(rig: rigs.Rig, server: rigs.BackendServer) -> float:
    """Remove the entry of a server; return when the store acknowledged that."""
    server.is_registered = False
    rig.store.put("keyed.servers", server.name, b"")
    return rig.record.add(server.name, "entry-removed")


if __name__ == "__main__":
    sys.exit(rigs.main(FOLDER, ZONES, case))
