"""A daemon that is stopped closes the connections of requests in its queue."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402

ZONES = ("se-mid-a", "se-mid-b", "se-mid-c")
SERVICE = "hamtning"
N_SERVERS = 2
WORK_S = 0.57
DEADLINE_MS = 10_000
"""Mean work and deadline of ``credit-view`` of retur-sthlm."""

STABLE_S = 4.0
LOAD_S = 25.0
PAUSE_S = 0.055
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
REST_S = 11.0


async def call_all(rig: rigs.Rig, daemon: rigs.Daemon) -> None:
    """Send requests to one daemon for ``LOAD_S``, and wait for the answers."""
    async with asyncio.TaskGroup() as group:
        until = rig.record.now() + LOAD_S
        while rig.record.now() < until:
            request = rig.request(
                daemon, "GET", "/view/1", key="key-1", deadline_ms=DEADLINE_MS
            )
            group.create_task(request)
            await asyncio.sleep(PAUSE_S)


async def case(rig: rigs.Rig, is_troubled: bool) -> str | None:
    """Stop a daemon while requests wait in its queue."""
    for index in range(N_SERVERS):
        server = rig.add_server(f"s{index}", SERVICE, ZONES[index])
        server.work_s = WORK_S
    await rig.start(
        [
            rigs.route("view", "/view/", SERVICE, timeoutS=10.0, targetLatencyS=1.5),
            rigs.service(SERVICE),
            rigs.tenant("large", "key-1"),
            rigs.limits(),
        ]
    )
    await asyncio.sleep(STABLE_S)
    stopped = rig.daemons[0]
    calls = asyncio.create_task(call_all(rig, stopped))
    await asyncio.sleep(LOAD_S)
    stopped_at = rig.record.now()
    if is_troubled:
        rig.record.add(stopped.name, "sigterm")
        stopped.send_signal(signal.SIGTERM)
    await calls
    at_server = {message.headers["x-request-id"] for message in started(rig)}
    lost = [
        answer
        for answer in rig.answers
        if answer.status == 0
        and answer.ended_at - answer.sent_at > LOSS_SLACK_S
        and answer.ended_at - answer.sent_at < DEADLINE_MS / 1000 - 0.5
        and answer.ended_at < stopped_at + GRACE_S + 1.0
        and answer.request not in at_server
    ]
    statuses = [answer.status for answer in rig.answers]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(f"answers by status: {counts}")
    if not lost:
        return None
    return f"{len(lost)} of {len(statuses)} requests were read and never answered"


def started(rig: rigs.Rig) -> list[rigs.Message]:
    """Return the requests that a server began to run."""
    return [item for server in rig.servers.values() for _, item in server.runs]


if __name__ == "__main__":
    sys.exit(rigs.main(FOLDER, ZONES, case))
