"""A crowd sends requests ahead whose heads are made of very many short fields."""

import asyncio
import contextlib
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
    connected,
    encode_request,
    limits,
    read_message,
    route,
    run_case,
    service,
    tenant,
)

KEY = "2b9wu3fexd9dnn2ctnfz"
MAX_BODY_BYTES = 67_108_864
TIMEOUT_S = 3.0
LATE_S = 0.5
N_CROWD = 400
N_AHEAD = 40
N_FIELDS = 4_000
PAUSE_S = 0.1
WATCHED_S = 12.0
MIN_UNANSWERED = 10


async def join_crowd(system: Deployment, fields: bytes, done: asyncio.Event) -> None:
    """Send requests without reading their answers, and stay until ``done``."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with connected(system.front(0)) as (_, writer):
            for _ in range(N_AHEAD):
                head = encode_request(system.new_id(), "GET", "/none/x", "", 0, 3000)
                writer.write(head[:-2] + fields + b"\r\n")
                await writer.drain()
            await done.wait()


async def ask(system: Deployment, waits: list[float]) -> None:
    """Send an ordinary request, and note how long its answer took."""
    id = system.new_id()
    began_at = system.record.now()
    system.record.write(f"sent {id} to daemon 0: GET /read/x")
    text = "nothing"
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with connected(system.front(0)) as (reader, writer):
            writer.write(encode_request(id, "GET", "/read/x", KEY, 0, 3000))
            answer = await asyncio.wait_for(read_message(reader), 30.0)
            text = answer.line
    waited_s = system.record.now() - began_at
    waits.append(waited_s)
    system.record.write(f"answered {id} after {waited_s:.2f} s: {text}")


async def play(has_trouble: bool) -> int:
    """Return whether ordinary requests stay without an answer at their time-out."""
    system = Deployment(
        Path(__file__).resolve().parent,
        n_daemons=1,
        servers=lambda record: [
            Server(record, f"i-{n}", "booking", "namur-a") for n in range(3)
        ],
    )
    try:
        return await play_on(system, has_trouble=has_trouble)
    finally:
        await system.stop()


async def play_on(system: Deployment, *, has_trouble: bool) -> int:
    """Play the case on a deployment that is not started yet."""
    document: list[dict[str, Any]] = [
        route("read", "/read/", "booking", timeoutS=TIMEOUT_S),
        route("open", "/open/", "booking", public=True, timeoutS=TIMEOUT_S),
        service("booking"),
        tenant("acme", KEY),
        limits(maxBodyBytes=MAX_BODY_BYTES, headerTimeoutS=3, idleTimeoutS=15),
    ]
    await system.start(document)
    await asyncio.sleep(1.0)
    done = asyncio.Event()
    waits: list[float] = []
    # As many bytes, in very many fields or in a few.
    fields = b"a:b\r\n" * N_FIELDS
    if not has_trouble:
        fields = b"a:%b\r\n" % (b"b" * 1000) * (len(fields) // 1004 // 2)
    crowd = [
        asyncio.ensure_future(join_crowd(system, fields, done)) for _ in range(N_CROWD)
    ]
    clients = []
    until = system.record.now() + WATCHED_S
    while system.record.now() < until:
        clients.append(asyncio.ensure_future(ask(system, waits)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*clients)
    done.set()
    await asyncio.gather(*crowd)
    unanswered = [item for item in waits if item > TIMEOUT_S]
    late = [item for item in unanswered if item > TIMEOUT_S + LATE_S]
    print(
        f"{len(waits)} ordinary requests: {len(unanswered)} unanswered at the time-out,"
        f" {len(late)} of them half a second later; longest {max(waits):.1f} s;"
        f" ended {system.ended()}"
    )
    if not waits:
        raise CannotRunError("no request was sent")
    is_broken = len(unanswered) >= MIN_UNANSWERED and 2 * len(late) > len(unanswered)
    return BROKEN if is_broken else HELD


run_case(play)
