"""The read position in the log, including recovery from a snapshot."""

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailpaddle_core import Offset

from wagtailpaddle_config.records import SnapshotChunk
from wagtailpaddle_config.snapshots import Snapshot, SnapshotCollector


@dataclass(frozen=True, slots=True)
class LogRead:
    """Request to read the log from offset ``start`` on."""

    start: Offset


class LogCursor:
    """Decides which part of the log a VM reads next.

    Reading continues at the next record to fold while the log still contains
    it. If retention has trimmed that record, the log is searched from its first
    record for the last complete snapshot. That snapshot is restored, and
    folding continues from it.

    >>> cursor = LogCursor()
    >>> cursor.next_read(next_offset=7)
    LogRead(start=7)
    """

    def __init__(self) -> None:
        self._search_at: Offset | None = None
        self._collector = SnapshotCollector()
        self._found: Snapshot | None = None

    @property
    def is_searching(self) -> bool:
        """Whether a snapshot is being searched for; records must not be folded."""
        return self._search_at is not None

    def next_read(self, next_offset: Offset) -> LogRead:
        """Return the next read, given the next offset to fold."""
        return LogRead(next_offset if self._search_at is None else self._search_at)

    def on_trimmed(self, first: Offset, next_offset: Offset) -> None:
        """Handle the trimming of the log: its first record is now ``first``."""
        if first > next_offset and (self._search_at is None or first > self._search_at):
            self._search_at = first
            self._collector = SnapshotCollector()
            self._found = None

    def on_search_records(
        self,
        records: Iterable[tuple[Offset, object]],
        first: Offset,
        head: Offset,
        next_offset: Offset,
    ) -> Snapshot | None:
        """Process records of a search and return the snapshot to restore.

        The search ends at the head of the log. It returns None there if the log
        contains no snapshot whose later records are all still present. The
        search then starts again; meanwhile a peer may send the missing state.
        """
        if self._search_at is None:
            return None
        for offset, record in records:
            self._search_at = max(self._search_at, offset + 1)
            if isinstance(record, SnapshotChunk):
                self._found = self._collector.add(record) or self._found
        if self._search_at < head:
            return None
        found = self._found
        self._restart_search(first)
        if found is None or found.upto < max(first, next_offset):
            return None
        self._search_at = None
        return found

    def on_caught_up(self, next_offset: Offset, first: Offset) -> None:
        """End the search if the fold has progressed by other means.

        For instance, a peer may have sent the missing records.
        """
        if self._search_at is not None and next_offset >= first:
            self._search_at = None

    def _restart_search(self, first: Offset) -> None:
        self._search_at = first
        self._collector = SnapshotCollector()
        self._found = None
