"""One client sends a form of legal size, whose text is percent-encoded."""

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
    Platform,
    Server,
    connected,
    encode_request,
    limits,
    memory_mb,
    read_message,
    route,
    run_case,
    service,
    tenant,
)

KEY = "2b9wu3fexd9dnn2ctnfz"
MEMORY_MB = 300
MAX_BODY_BYTES = 67_108_864
FORM_BYTES = 16_000_000
N_CLIENTS = 8
WORK_S = 1.5
MAX_LOST = 3


async def ask_kept(system: Deployment, counts: dict[str, int]) -> None:
    """Send two requests on one connection: the second one is on a kept connection."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with connected(system.front(0)) as (reader, writer):
            for _ in range(2):
                id = system.new_id()
                system.record.write(f"sent {id} to daemon 0: POST /book/x")
                counts[id] = 0
                writer.write(encode_request(id, "POST", "/book/x", KEY, 0, 3000))
                answer = await asyncio.wait_for(read_message(reader), 5.0)
                counts[id] = int(answer.line.split(" ")[1])
                system.record.write(f"answered {id}: {counts[id]}")


async def send_form(system: Deployment, body: bytes) -> None:
    """Send the form to a public route."""
    id = system.new_id()
    system.record.write(f"sent {id} to daemon 0: POST /form/x, {len(body)} bytes")
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with connected(system.front(0)) as (reader, writer):
            head = encode_request(id, "POST", "/form/x", "", len(body), 10_000)
            writer.write(head + body)
            answer = await asyncio.wait_for(read_message(reader), 12.0)
            system.record.write(f"answered {id}: {answer.line}")


async def play(has_trouble: bool) -> int:
    """Return whether requests of others end without an answer."""
    folder = Path(__file__).resolve().parent
    system = Deployment(
        folder,
        n_daemons=1,
        servers=lambda record: [
            Server(record, f"i-{n}", "booking", "namur-a") for n in range(3)
        ],
        settings={"limits.memoryMb": str(MEMORY_MB)},
    )
    try:
        return await play_on(system, has_trouble=has_trouble)
    finally:
        await system.stop()


async def play_on(system: Deployment, *, has_trouble: bool) -> int:
    """Play the case on a deployment that is not started yet."""
    document: list[dict[str, Any]] = [
        route("book", "/book/", "booking", kind="non_idempotent", maxAttempts=2),
        route("form", "/form/", "booking", public=True, timeoutS=10.0),
        service("booking"),
        tenant("acme", KEY),
        limits(maxBodyBytes=MAX_BODY_BYTES),
    ]
    await system.start(document)
    platform = Platform(system, memory_limit_mb=MEMORY_MB)
    watching = asyncio.ensure_future(platform.watch())
    for server in system.servers:
        server.work_s = WORK_S
    # A form with Cyrillic text, as a browser encodes it; or the same text as it is.
    text = "п" if has_trouble else "п".encode()
    unit = b"%D0%BF" if has_trouble else text
    form = (b"text=" + unit * (FORM_BYTES // len(unit)))[:FORM_BYTES]
    counts: dict[str, int] = {}
    clients = [
        asyncio.ensure_future(ask_kept(system, counts)) for _ in range(N_CLIENTS)
    ]
    await asyncio.sleep(WORK_S + 0.7)
    await send_form(system, form)
    await asyncio.gather(*clients)
    watching.cancel()
    process = system.daemons[0]
    if platform.killed:
        await process.wait()
    peak = 0.0 if platform.killed else memory_mb(process.pid, "VmHWM")
    system.record.write(f"most memory of daemon 0: {peak:.0f} MB (0: it was killed)")
    ran = {run.id for server in system.servers for run in server.runs}
    lost = [id for id, status in counts.items() if not status and id in ran]
    system.record.write(f"{len(lost)} requests ran and got no answer: {lost}")
    print(
        f"killed: {platform.killed}; {len(lost)} requests got no answer; {peak:.0f} MB"
    )
    if len(counts) < 2 * N_CLIENTS and not platform.killed:
        raise CannotRunError("not all requests were sent")
    return BROKEN if len(lost) > MAX_LOST else HELD


run_case(play)
