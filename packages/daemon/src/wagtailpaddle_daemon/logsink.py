"""Non-blocking output stream for log lines."""

import json
import os
from collections import deque

MAX_PENDING_BYTES = 1 << 20


class BoundedStream:
    """Writes lines to a file descriptor without blocking.

    Lines that cannot be written immediately are buffered, ``max_pending`` bytes at
    most, and written with the next line or by ``write_pending``. Lines beyond that are
    dropped and counted; the count is logged once the buffer is empty again.

    >>> import os
    >>> reader, writer = os.pipe()
    >>> stream = BoundedStream(writer)
    >>> _ = stream.write("started\\n")
    >>> os.read(reader, 100)
    b'started\\n'
    """

    def __init__(self, descriptor: int, *, max_pending: int = MAX_PENDING_BYTES):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_pending = max_pending
        self._pending: deque[bytes] = deque()
        self._n_pending_bytes = 0
        self.n_dropped = 0
        self._n_unreported = 0

    def write(self, text: str) -> int:
        """Write ``text``, which is a whole line or the end of one."""
        data = text.encode("utf-8", "replace")
        if self._n_pending_bytes + len(data) > self._max_pending:
            self.n_dropped += 1
            self._n_unreported += 1
            return len(text)
        self._enqueue(data)
        self.write_pending()
        return len(text)

    def flush(self) -> None:
        """Do nothing: ``write`` already writes as much as possible."""

    def write_pending(self) -> None:
        """Write buffered data until the descriptor would block."""
        while self._pending:
            data = self._pending[0]
            try:
                n_sent = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._drop_all()
                return
            self._n_pending_bytes -= n_sent
            if n_sent < len(data):
                self._pending[0] = data[n_sent:]
                return
            self._pending.popleft()
        if self._n_unreported:
            line = {"event": "logs: Lines dropped.", "n_dropped": self._n_unreported}
            self._n_unreported = 0
            self._enqueue(json.dumps(line).encode() + b"\n")
            self.write_pending()

    def _enqueue(self, data: bytes) -> None:
        self._pending.append(data)
        self._n_pending_bytes += len(data)

    def _drop_all(self) -> None:
        """Discard and count the buffered lines, as the reader closed the stream."""
        self.n_dropped += len(self._pending)
        self._pending.clear()
        self._n_pending_bytes = 0
