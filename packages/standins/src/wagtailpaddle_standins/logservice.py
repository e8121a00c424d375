"""A stand-in for the platform's log service, list of VMs included."""

import argparse
import json
from typing import Any

from klein import Klein
from twisted.internet import reactor
from twisted.web.server import Site


class Stream:
    """One append-only stream with limited retention."""

    def __init__(self, *, retention: int):
        self._retention = retention
        self.first = 0
        self._records: list[str] = []

    @property
    def head(self) -> int:
        """The offset of the next append."""
        return self.first + len(self._records)

    def append(self, data: str) -> int:
        """Append a record and return its offset."""
        self._records.append(data)
        surplus = len(self._records) - self._retention
        if surplus > 0:
            del self._records[:surplus]
            self.first += surplus
        return self.head - 1

    def read(self, start: int, limit: int) -> list[tuple[int, str]]:
        """Return up to ``limit`` records from ``start`` on."""
        begin = start - self.first
        part = self._records[begin : begin + limit]
        return [(start + index, data) for index, data in enumerate(part)]


class LogService:
    """The HTTP face of the streams and the list of VMs."""

    app = Klein()

    def __init__(self, *, retention: int = 100_000):
        self._retention = retention
        self._streams: dict[str, Stream] = {}
        self.vms: list[dict[str, str]] = []

    def stream(self, name: str) -> Stream:
        """Return the stream called ``name``."""
        if name not in self._streams:
            self._streams[name] = Stream(retention=self._retention)
        return self._streams[name]

    @app.route("/streams/<name>", methods=["GET"])
    def read(self, request: Any, name: str) -> bytes:
        """Read records."""
        stream = self.stream(name)
        start = int(request.args[b"from"][0])
        limit = int(request.args[b"limit"][0])
        if start < stream.first:
            request.setResponseCode(410)
        records = [
            {"offset": offset, "data": data}
            for offset, data in stream.read(max(start, stream.first), limit)
        ]
        return json.dumps(
            {"first": stream.first, "head": stream.head, "records": records}
        ).encode()

    @app.route("/streams/<name>", methods=["POST"])
    def append(self, request: Any, name: str) -> bytes:
        """Append one record."""
        offset = self.stream(name).append(request.content.read().decode())
        return json.dumps({"offset": offset}).encode()

    @app.route("/vms", methods=["GET"])
    def list_vms(self, request: Any) -> bytes:
        """Return live and leaving VMs."""
        return json.dumps({"vms": self.vms}).encode()


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()
    loop: Any = reactor
    site = Site(LogService().app.resource())
    loop.listenTCP(args.port, site, interface="127.0.0.1")
    loop.run()


if __name__ == "__main__":
    main()
