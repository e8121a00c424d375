"""A stand-in backend server with fault injection.

A fault is set for a whole server through its control path, or for a single
request through its own path: ``/anything/fault/NAME/PARAMETER``.
"""

import argparse
import json
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from random import Random
from time import monotonic
from typing import Any

from twisted.internet import reactor
from twisted.web import resource
from twisted.web.server import NOT_DONE_YET, Site

from wagtailpaddle_standins.faults import FAULTS, REFUSALS, respond
from wagtailpaddle_standins.pages import HEALTH_PAGES

CONTROL_PATH = "/_control"
SEEN_PATH = "/_seen"
HEALTH_PATH = "/_health"
HEALTH_CONTROL_PATH = "/_health_control"
FAULT_PATH_SEGMENT = "fault"


@dataclass(frozen=True, slots=True)
class Mode:
    """The fault that a server injects into a ``fraction`` of its requests."""

    fault: str = ""
    fraction: float = 1.0
    parameter: float = 0.0


@dataclass(frozen=True, slots=True)
class PageMode:
    """The health page that a server returns to probes."""

    page: str = "serving"
    parameter: float = 0.0


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that a server started to process."""

    server: str
    method: str
    uri: str
    headers: tuple[tuple[str, str], ...]
    body: str


class Backend(resource.Resource):
    """Echoes every request as JSON, with the configured fault injected."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, name: str, *, answer_bytes: int = 0, records_requests: bool = True
    ):
        super().__init__()
        self._name = name
        self._fixed_body = b"x" * answer_bytes
        self._mode = Mode()
        self._page = PageMode()
        self._page_set_at = 0.0
        self._due_fraction = Random(name).random()
        self._records_requests = records_requests
        self._received: list[ReceivedRequest] = []

    def render(self, request: Any) -> Any:
        """Handle a request or a control command."""
        path = request.path.decode("latin-1")
        if path == CONTROL_PATH:
            self._mode = Mode(**json.loads(request.content.read()))
            return b"{}"
        if path == HEALTH_CONTROL_PATH:
            self._page = PageMode(**json.loads(request.content.read()))
            self._page_set_at = monotonic()
            return b"{}"
        if path == HEALTH_PATH:
            return self._respond_to_probe(request)
        if path == SEEN_PATH:
            return json.dumps(
                [asdict(received) for received in self._received]
            ).encode()
        if self._fixed_body:
            return self._fixed_body
        received = self._describe(request)
        body = json.dumps(asdict(received)).encode()
        request.setHeader(b"content-type", b"application/json")
        mode = self._select_mode(path)
        if mode.fault not in REFUSALS and self._records_requests:
            self._received.append(received)
        if mode.fault:
            FAULTS[mode.fault](request, body, mode.parameter)
        else:
            respond(request, body)
        return NOT_DONE_YET

    def _respond_to_probe(self, request: Any) -> Any:
        age_s = monotonic() - self._page_set_at
        HEALTH_PAGES[self._page.page](request, self._page.parameter, age_s)
        return NOT_DONE_YET

    def _select_mode(self, path: str) -> Mode:
        parts = path.split("/")
        if FAULT_PATH_SEGMENT in parts:
            index = parts.index(FAULT_PATH_SEGMENT)
            parameter = float(parts[index + 2]) if len(parts) > index + 2 else 0.0
            return Mode(parts[index + 1], 1.0, parameter)
        if self._mode.fault and self._is_fault_due():
            return self._mode
        return Mode()

    def _is_fault_due(self) -> bool:
        """Return whether the fault applies to the next request.

        Faults are spaced evenly, so that the fraction also holds over a few
        consecutive requests and short tests do not depend on chance.
        """
        self._due_fraction += self._mode.fraction
        if self._due_fraction < 1.0:
            return False
        self._due_fraction -= 1.0
        return True

    def _describe(self, request: Any) -> ReceivedRequest:
        return ReceivedRequest(
            server=self._name,
            method=request.method.decode(),
            uri=request.uri.decode("latin-1"),
            headers=tuple(_headers(request)),
            body=request.content.read().decode("latin-1"),
        )


def _headers(request: Any) -> Iterator[tuple[str, str]]:
    for name, values in request.requestHeaders.getAllRawHeaders():
        for value in values:
            yield name.decode("latin-1"), value.decode("latin-1")


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--server", action="append", metavar="NAME=PORT")
    parser.add_argument(
        "--answer-bytes",
        type=int,
        default=0,
        help="respond immediately with a body of this many bytes",
    )
    args = parser.parse_args()
    loop: Any = reactor
    for entry in args.server:
        name, _, port = entry.partition("=")
        site = Site(Backend(name, answer_bytes=args.answer_bytes))
        loop.listenTCP(int(port), site, interface="127.0.0.1")
    loop.run()


if __name__ == "__main__":
    main()
