"""The store comes back from a copy; later a server leaves, and its entry is removed."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_3"))

from rig import (
    BROKEN,
    HELD,
    ZONES,
    CannotRunError,
    Deployment,
    Headers,
    Message,
    Record,
    Server,
    limits,
    route,
    run_case,
    service,
    tenant,
)

KEY = "2b9wu3fexd9dnn2ctnfz"
N_SERVERS = 8
DRAIN_S = 2.0
COPY_AGE_S = 8.0
AWAY_S = 1.0
CALM_S = 4.0
IDLE_S = 5.0
ASKED_S = 8.0
PAUSE_S = 0.15


class LeavingServer(Server):
    """A server that says so in all its answers once it leaves."""

    def answer_headers(self, request: Message) -> Headers:
        """Return the headers of the answer to a request that ran."""
        leaving = {} if self.state else {"Server-Leaving": "1"}
        return super().answer_headers(request) | leaving


async def play(has_trouble: bool) -> int:
    """Return whether a server gets requests long after its entry was removed."""

    def make_servers(record: Record) -> list[Server]:
        return [
            LeavingServer(record, f"i-{n}", "booking", ZONES[n % len(ZONES)])
            for n in range(N_SERVERS)
        ]

    system = Deployment(
        Path(__file__).resolve().parent, n_daemons=2, servers=make_servers
    )
    try:
        return await play_on(system, has_trouble=has_trouble)
    finally:
        await system.stop()


async def play_on(system: Deployment, *, has_trouble: bool) -> int:
    """Play the case on a deployment that is not started yet."""
    document: list[dict[str, Any]] = [
        route("read", "/read/", "booking"),
        service("booking"),
        tenant("acme", KEY),
        limits(),
    ]
    await system.start(document)
    await asyncio.sleep(3.0)
    copied = system.store.copy()
    system.record.write("the store makes the copy")
    await asyncio.sleep(COPY_AGE_S)
    if has_trouble:
        system.record.write("the store is away")
        system.store.is_away = True
        await asyncio.sleep(AWAY_S)
        system.store.come_back(copied)
        system.record.write(f"the store is back, era {system.store.era}")
    await asyncio.sleep(CALM_S)
    leaving = system.servers[-1]
    leaving.state = ""
    offset = system.store.put("keyed.servers", leaving.name, b"")
    acknowledged_at = system.record.now()
    system.record.write(f"acknowledged: {leaving.name} is removed, offset {offset}")
    await asyncio.sleep(IDLE_S)
    asked = []
    until = system.record.now() + ASKED_S
    while system.record.now() < until:
        asked.append(asyncio.ensure_future(system.ask(1, "GET", "/read/late", key=KEY)))
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*asked)
    if not any(answer.status == 200 for answer in answers):
        raise CannotRunError("no request was served")
    late = {item.id for item in answers if item.sent_at > acknowledged_at + DRAIN_S}
    reached = [run.id for run in leaving.runs if run.id in late]
    system.record.write(f"reached {leaving.name} too late: {reached}")
    print(f"{len(reached)} of {len(late)} requests reached the server that had left")
    return BROKEN if reached else HELD


run_case(play)
