"""A daemon whose connections to other daemons go through relays.

``--via PORT=RELAY`` comes before the daemon's own flags: a connection to the
peer at ``PORT`` of the loopback address goes to the port ``RELAY`` instead. The
daemon itself and the addresses in its configuration do not change.
"""

import argparse
import asyncio
import sys
from collections.abc import Mapping
from typing import Any

from wagtailpaddle_daemon.main import main as run_daemon


def connect_through(relays: Mapping[int, int]) -> None:
    """Redirect this process's asyncio connections to relays, by target port."""
    connect: Any = asyncio.BaseEventLoop.create_connection

    async def create_connection(
        loop: Any, factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        return await connect(loop, factory, host, relays.get(port, port), **options)

    asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore[assignment]


def main() -> int:
    """Run the daemon; return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__, allow_abbrev=False)
    parser.add_argument("--via", action="append", default=[], metavar="PORT=RELAY")
    args, rest = parser.parse_known_args()
    pairs = (via.split("=") for via in args.via)
    connect_through({int(port): int(relay) for port, relay in pairs})
    return run_daemon(rest)


if __name__ == "__main__":
    sys.exit(main())
