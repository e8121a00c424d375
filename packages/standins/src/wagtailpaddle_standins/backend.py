"""A stand-in backend server with faults."""

import argparse
import json
from typing import Any

from twisted.internet import reactor
from twisted.web import resource
from twisted.web.server import NOT_DONE_YET, Site


class Backend(resource.Resource):
    """Answers every request with what it saw of it."""

    isLeaf = True  # noqa: N815

    def __init__(self, name: str, *, delay_s: float = 0.0, answer_bytes: int = 0):
        super().__init__()
        self._name = name
        self._delay_s = delay_s
        self._answer = b"x" * answer_bytes
        self._n_served = 0

    def render(self, request: Any) -> Any:
        """Answer after the delay."""
        self._n_served += 1
        if self._answer:
            return self._answer
        seen = {
            "server": self._name,
            "method": request.method.decode(),
            "uri": request.uri.decode("latin-1"),
            "headers": [
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, values in request.requestHeaders.getAllRawHeaders()
                for value in values
            ],
            "body": request.content.read().decode("latin-1"),
        }
        body = json.dumps(seen).encode()
        request.setHeader(b"content-type", b"application/json")
        if not self._delay_s:
            return body
        loop: Any = reactor
        call = loop.callLater(self._delay_s, self._finish, request, body)
        request.notifyFinish().addErrback(lambda _: call.active() and call.cancel())
        return NOT_DONE_YET

    def _finish(self, request: Any, body: bytes) -> None:
        request.write(body)
        request.finish()


def main() -> None:
    """Serve until ended; the first port belongs to the first name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--server", action="append", metavar="NAME=PORT")
    parser.add_argument("--delay", type=float, default=0.0, help="seconds")
    parser.add_argument(
        "--answer-bytes", type=int, default=0, help="answer so many bytes at once"
    )
    args = parser.parse_args()
    loop: Any = reactor
    for entry in args.server:
        name, _, port = entry.partition("=")
        site = Site(Backend(name, delay_s=args.delay, answer_bytes=args.answer_bytes))
        loop.listenTCP(int(port), site, interface="127.0.0.1")
    loop.run()


if __name__ == "__main__":
    main()
