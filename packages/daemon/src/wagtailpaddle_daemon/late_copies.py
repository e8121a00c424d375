"""Parsing a response behind late copies of responses to earlier requests."""

from typing import Any

from twisted.web._newclient import ParseError

from wagtailpaddle_daemon.strict_client import StrictParser

FIRST_FINAL_STATUS = 200


class EndlessCopyError(ParseError):
    """The end of a copy cannot be told from the beginning of the next response."""


class SkippingParser(StrictParser):
    """Parses the response to a request, and passes over late copies before it.

    A copy is a response that echoes the id of an earlier request on the connection.
    The server answers one request at a time, so the response that is due follows.
    A copy whose end is not known ends the request. ``request.is_copy`` tells copies by
    their headers, ``request.on_copy`` is told of each one, and ``request.may_skip``
    states whether a length in a copy's head can be relied on.
    """

    _n_bytes_to_skip = 0

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Pass over a copy; leave any other response to its request."""
        response: Any = self.response
        if response.code < FIRST_FINAL_STATUS or not self.request.is_copy(self.headers):
            super().allHeadersReceived()
            return
        self.request.on_copy(response)
        n_bytes = self._stated_length() if self.request.may_skip else None
        if n_bytes is None:
            raise EndlessCopyError("copy of a response without a known end")
        del self.response
        self.connectionMade()
        if n_bytes:
            self._n_bytes_to_skip = n_bytes
            self.setRawMode()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Discard the body of a copy; the next response follows it."""
        if not self._n_bytes_to_skip:
            super().rawDataReceived(data)
            return
        n_skipped = min(self._n_bytes_to_skip, len(data))
        self._n_bytes_to_skip -= n_skipped
        if not self._n_bytes_to_skip:
            self.setLineMode(data[n_skipped:])

    def _stated_length(self) -> int | None:
        """Return the length of the response's body, or None if it is not stated."""
        if self.response.code in self.NO_BODY_CODES:
            return 0
        lengths = self.connHeaders.getRawHeaders(b"Content-Length", ())
        is_stated = len(lengths) == 1 and lengths[0].isdigit()
        if not is_stated or self.connHeaders.hasHeader(b"Transfer-Encoding"):
            return None
        return int(lengths[0])
