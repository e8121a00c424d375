"""Parsing a response behind late copies of responses to earlier requests."""

from typing import Any

from wagtailpaddle_daemon.strict_client import StrictParser

FIRST_FINAL_STATUS = 200


class SkippingParser(StrictParser):
    """Parses the response to a request, and passes over late copies before it.

    A copy is a response that echoes the id of an earlier request on the connection.
    The server answers one request at a time, so the response that is due follows. A
    copy without a stated length is not passed over, as its end cannot be told from
    the beginning of that response. ``request.is_copy`` tells copies by their headers
    and ``request.on_copy`` is told of each one that is passed over.
    """

    _n_bytes_to_skip = 0

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Pass over a copy; leave any other response to its request."""
        n_bytes = self._copy_length()
        if n_bytes is None:
            super().allHeadersReceived()
            return
        response = self.response
        del self.response
        self.connectionMade()
        if n_bytes:
            self._n_bytes_to_skip = n_bytes
            self.setRawMode()
        self.request.on_copy(response)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Discard the body of a copy; the next response follows it."""
        if not self._n_bytes_to_skip:
            super().rawDataReceived(data)
            return
        n_skipped = min(self._n_bytes_to_skip, len(data))
        self._n_bytes_to_skip -= n_skipped
        if not self._n_bytes_to_skip:
            self.setLineMode(data[n_skipped:])

    def _copy_length(self) -> int | None:
        """Return the length of a copy's body, or None if the response is no copy."""
        response: Any = self.response
        if response.code < FIRST_FINAL_STATUS or not self.request.is_copy(self.headers):
            return None
        if response.code in self.NO_BODY_CODES:
            return 0
        lengths = self.connHeaders.getRawHeaders(b"Content-Length", ())
        is_stated = len(lengths) == 1 and lengths[0].isdigit()
        if not is_stated or self.connHeaders.hasHeader(b"Transfer-Encoding"):
            return None
        return int(lengths[0])
