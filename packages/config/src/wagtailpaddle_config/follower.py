"""Where to read the log next, and when to start from a snapshot."""

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailpaddle_core import Offset

from wagtailpaddle_config.records import SnapshotChunk
from wagtailpaddle_config.snapshots import Snapshot, SnapshotCollector


@dataclass(frozen=True, slots=True)
class Read:
    """Read the log from offset ``start`` on."""

    start: Offset


class LogFollower:
    """Leads a VM through a log whose old records are gone.

    While the log still holds the next record to fold, reading simply goes on.
    Otherwise the log is searched from its first record for the last whole
    snapshot, which is restored, and folding goes on from there.

    >>> follower = LogFollower()
    >>> follower.next_read(next_offset=7)
    Read(start=7)
    """

    def __init__(self) -> None:
        self._search_at: Offset | None = None
        self._collector = SnapshotCollector()
        self._found: Snapshot | None = None

    @property
    def is_searching(self) -> bool:
        """Whether records are searched for a snapshot and must not be folded."""
        return self._search_at is not None

    def next_read(self, next_offset: Offset) -> Read:
        """Return what to read, given the next offset to fold."""
        return Read(next_offset if self._search_at is None else self._search_at)

    def trimmed(self, first: Offset, next_offset: Offset) -> None:
        """The log holds nothing before ``first``."""
        if first > next_offset and (self._search_at is None or first > self._search_at):
            self._search_at = first
            self._collector = SnapshotCollector()
            self._found = None

    def searched(
        self,
        records: Iterable[tuple[Offset, object]],
        first: Offset,
        head: Offset,
        next_offset: Offset,
    ) -> Snapshot | None:
        """Take in records of a search; return the snapshot to restore.

        The search ends at the head of the log. None there means that the log
        holds no snapshot from which all later records are still there; the
        search then starts again, and a peer may help.
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
        self._restart(first)
        if found is None or found.upto < max(first, next_offset):
            return None
        self._search_at = None
        return found

    def caught_up(self, next_offset: Offset, first: Offset) -> None:
        """The fold went on by other means, such as a peer's records."""
        if self._search_at is not None and next_offset >= first:
            self._search_at = None

    def _restart(self, first: Offset) -> None:
        self._search_at = first
        self._collector = SnapshotCollector()
        self._found = None
