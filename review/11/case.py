"""The store comes back from a copy; later a key is taken away."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_3"))

from rig import (
    BROKEN,
    HELD,
    CannotRunError,
    Deployment,
    Server,
    limits,
    route,
    run_case,
    service,
    tenant,
)

REVOKE_S = 5.0
COPY_AGE_S = 4.0
AWAY_S = 1.0
CALM_S = 6.0
WATCHED_S = 15.0


def document(timeout_s: float, *keys: str) -> list[dict[str, Any]]:
    """Return a configuration with one tenant."""
    return [
        route("read", "/read/", "booking", timeoutS=timeout_s),
        service("booking"),
        tenant("acme", *keys),
        limits(),
    ]


async def play(has_trouble: bool) -> int:
    """Return whether a key that was taken away is used later than it may be."""
    folder = Path(__file__).resolve().parent
    system = Deployment(
        folder,
        servers=lambda record: [
            Server(record, f"i-{n}", "booking", zone)
            for n, zone in enumerate(("namur-a", "namur-b", "gembloux"))
        ],
    )
    try:
        return await play_on(system, has_trouble=has_trouble)
    finally:
        await system.stop()


async def play_on(system: Deployment, *, has_trouble: bool) -> int:
    """Play the case on a deployment that is not started yet."""
    await system.start(document(3.0, "key-one", "key-two"))
    await asyncio.sleep(2.0)
    copied = system.store.copy()
    system.record.write("the store makes the copy")
    # Two versions follow each other, as operators write them.
    system.publish(document(2.5, "key-one", "key-two"))
    await asyncio.sleep(COPY_AGE_S / 2)
    system.publish(document(2.0, "key-one", "key-two"))
    await asyncio.sleep(COPY_AGE_S / 2)
    if has_trouble:
        system.record.write("the store is away")
        system.store.is_away = True
        await asyncio.sleep(AWAY_S)
        system.store.come_back(copied)
        system.record.write(f"the store is back, era {system.store.era}")
        system.write_again("written again")
    await asyncio.sleep(CALM_S)
    answer = await system.ask(0, "GET", "/read/before", key="key-one")
    if answer.status != 200:
        raise CannotRunError(f"no service before the change: {answer.status}")
    system.publish(document(2.0, "key-two"), note="key-one is taken away")
    acknowledged_at = system.record.now()
    late = []
    while system.record.now() < acknowledged_at + REVOKE_S + WATCHED_S:
        for index in range(len(system.daemons)):
            answer = await system.ask(index, "GET", "/read/after", key="key-one")
            if answer.sent_at > acknowledged_at + REVOKE_S:
                late.append(answer.id)
        await asyncio.sleep(0.5)
    kept = await system.ask(0, "GET", "/read/kept", key="key-two")
    if kept.status != 200:
        raise CannotRunError(f"the key that was kept is refused: {kept.status}")
    ran = {run.id for server in system.servers for run in server.runs}
    broken = [id for id in late if id in ran]
    system.record.write(
        f"{len(late)} requests were sent with the key later than {REVOKE_S} s after"
        f" its end, {len(broken)} of them ran"
    )
    print(f"{len(broken)} of {len(late)} requests with the withdrawn key ran")
    return BROKEN if broken else HELD


run_case(play)
