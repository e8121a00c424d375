"""HTTP/1.1 client connections that accept only well-formed status lines.

Twisted reads any integer as a status, such as ``000`` or ``+200``. What is no status
line is no response: the request may have run, and nothing is known of its outcome.
"""

import re
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.web._newclient import HTTP11ClientProtocol, HTTPClientParser, ParseError
from twisted.web.client import HTTPConnectionPool

STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?")
SWITCHING_PROTOCOLS = b"101"


class StatusLineError(ParseError):
    """The first line of a response is not the status line of an HTTP/1 response."""


def check_status_line(line: bytes) -> None:
    """Raise ``StatusLineError`` unless ``line`` may begin a response.

    Statuses have three digits, from 100 to 599. 101 answers only a request for another
    protocol, which is never sent.

    >>> check_status_line(b"HTTP/1.1 204 No Content")
    """
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise StatusLineError("malformed status line", line[:64])
    if match[1] == SWITCHING_PROTOCOLS:
        raise StatusLineError("change of protocol without a request for it", line[:64])


class StrictParser(HTTPClientParser):
    """Parses a response that begins with a well-formed status line."""

    def statusReceived(self, line: bytes) -> None:  # noqa: N802
        """Check the status line before it is parsed."""
        check_status_line(line)
        super().statusReceived(line)


class StrictClientProtocol(HTTP11ClientProtocol):
    """A connection on which a malformed status line ends the request."""

    parser_class: type[StrictParser] = StrictParser

    def request(self, request: Any) -> Deferred[Any]:
        """Send ``request`` and return its response."""
        response = super().request(request)
        if self._parser is not None:
            # Twisted leaves no choice of the parser, and a wrapped method would form
            # a reference cycle that keeps each response until a garbage collection.
            self._parser.__class__ = self.parser_class
        return response


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of such connections, which sends no request a second time."""

    retryAutomatically = False  # noqa: N815

    @staticmethod
    def _factory(on_idle: Any, name: str) -> "_StrictFactory":
        return _StrictFactory(on_idle)


class _StrictFactory(Factory):
    noisy = False

    def __init__(self, on_idle: Any):
        self._on_idle = on_idle

    def buildProtocol(self, addr: Any) -> StrictClientProtocol:  # noqa: N802
        return StrictClientProtocol(self._on_idle)
