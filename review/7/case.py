"""A lookup whose query holds a long word after ``wp_`` runs without that field."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit_2"))

from fleet import (  # noqa: E402
    Fleet,
    Record,
    Request,
    Server,
    encode_response,
    route,
    run_case,
    service,
    tenant,
)

KEY = "2b9wu3fexd9dnn2ctnfz"
RESOURCES = [
    route("read", "/read/"),
    route("book", "/book/", kind="non_idempotent"),
    service(),
    tenant("portal", KEY),
]
WORD = "wp_furniture-pack_oak-table-four-chairs-namur-jambes-2026"
OTHER_WORD = WORD.replace("wp_", "pk_")


async def answer(
    server: Server, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Answer with the target that the server was asked for."""
    body = request.target.encode()
    writer.write(encode_response(200, server.headers(request), body))


async def case(record: Record, has_trouble: bool) -> bool:
    """Return whether a server ran a request with another query than the client's."""
    word = WORD if has_trouble else OTHER_WORD
    targets = {
        "lookup": ("GET", f"/read/packs?page=1&pack={word}&size=20"),
        "booking": ("POST", f"/book/delivery?pack={word}&street=12"),
    }
    servers = [Server(f"i-{n}", f"zone-{'abc'[n]}", answer) for n in range(3)]
    is_broken = False
    async with Fleet(record, servers, RESOURCES) as fleet:
        for name, (method, target) in targets.items():
            record.write(f"{name} is sent:  {method} {target}")
            status, headers, _ = await fleet.ask(
                fleet.daemons[0],
                method,
                target,
                X_Request_Id=name,
                X_Deadline_Ms="5000",
                Api_Key=KEY,
            )
            stamp = headers.get("x-response-stamp")
            record.write(f"{name} is answered: {status}, stamp {stamp}")
            for server in servers:
                for _, request in server.arrivals:
                    if request.headers.get("x-request-id") != name:
                        continue
                    line = f"{request.method} {request.target}"
                    record.write(f"{name} runs at {server.name}: {line}")
                    is_broken |= request.target != target
    return is_broken


if __name__ == "__main__":
    raise SystemExit(run_case(case, Path(__file__).parent))
