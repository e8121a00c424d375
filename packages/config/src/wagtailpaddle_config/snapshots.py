"""Snapshots in the log: scheduling, splitting into chunks and reassembly."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import Offset

from wagtailpaddle_config.records import SnapshotChunk, SnapshotItem

MAX_CHUNK_ITEMS = 500
MAX_COLLECTED_SNAPSHOTS = 4
SNAPSHOT_INTERVAL_RECORDS = 5_000
SNAPSHOT_INTERVAL_S = 6 * 3600.0
SNAPSHOT_JITTER_S = 30.0
SNAPSHOT_JITTER_PER_VM_S = 1.0
OFFER_TTL_S = 30.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A complete snapshot: the state after all records before ``upto``."""

    upto: Offset
    at: float
    items: tuple[SnapshotItem, ...]


def split_snapshot(
    upto: Offset,
    items: Iterable[SnapshotItem],
    *,
    writer: str,
    at: float,
    max_chunk_items: int = MAX_CHUNK_ITEMS,
) -> tuple[SnapshotChunk, ...]:
    """Split a snapshot into chunks; an empty one yields one empty chunk."""
    listed = tuple(items)
    parts = [
        listed[start : start + max_chunk_items]
        for start in range(0, len(listed), max_chunk_items)
    ] or [()]
    return tuple(
        SnapshotChunk(upto, index, len(parts), writer, at, part)
        for index, part in enumerate(parts)
    )


class SnapshotCollector:
    """Reassembles snapshots from chunks of any writers, in any order.

    Only the latest ``MAX_COLLECTED_SNAPSHOTS`` incomplete snapshots are kept,
    to bound memory.
    """

    def __init__(self) -> None:
        self._chunks: dict[Offset, dict[int, SnapshotChunk]] = {}

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Add a chunk; return the snapshot if the chunk completes it."""
        if not 0 <= chunk.index < chunk.n_chunks:
            return None
        chunks = self._chunks.setdefault(chunk.upto, {})
        if any(other.n_chunks != chunk.n_chunks for other in chunks.values()):
            return None
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.n_chunks:
            self._trim()
            return None
        ordered = [chunks[index] for index in range(chunk.n_chunks)]
        for upto in [upto for upto in self._chunks if upto <= chunk.upto]:
            del self._chunks[upto]
        items = tuple(item for part in ordered for item in part.items)
        return Snapshot(chunk.upto, max(part.at for part in ordered), items)

    def _trim(self) -> None:
        while len(self._chunks) > MAX_COLLECTED_SNAPSHOTS:
            del self._chunks[min(self._chunks)]


class SnapshotScheduler:
    """Decides when this VM writes a snapshot.

    It must receive every chunk in the log. Once a snapshot is due, each VM
    waits for a random jitter, which grows with the fleet, and checks again, so
    that only one or a few VMs write it. While the chunks of a snapshot arrive,
    the other VMs wait. Times are in wall-clock seconds, because they must stay
    comparable across restarts of a VM.
    """

    def __init__(
        self,
        *,
        rng: Random,
        interval_records: int = SNAPSHOT_INTERVAL_RECORDS,
        interval_s: float = SNAPSHOT_INTERVAL_S,
        jitter_s: float = SNAPSHOT_JITTER_S,
    ):
        self.latest_upto: Offset = 0
        self.latest_at = float("-inf")
        self._rng = rng
        self._interval_records = interval_records
        self._interval_s = interval_s
        self._jitter_s = jitter_s
        self._indexes_by_upto: dict[Offset, set[int]] = {}
        self._write_at: float | None = None
        self._deferred_until = float("-inf")

    def on_chunk(self, chunk: SnapshotChunk) -> None:
        """Record a chunk read from the log."""
        if chunk.upto < self.latest_upto:
            return
        indexes = self._indexes_by_upto.setdefault(chunk.upto, set())
        indexes.add(chunk.index)
        self._deferred_until = max(self._deferred_until, chunk.at + 2 * self._jitter_s)
        if len(indexes) < chunk.n_chunks:
            return
        self.latest_upto = chunk.upto
        self.latest_at = max(self.latest_at, chunk.at)
        self._indexes_by_upto = {
            upto: s for upto, s in self._indexes_by_upto.items() if upto > chunk.upto
        }
        self._write_at = None

    def is_due(self, wall_s: float, first: Offset, head: Offset) -> bool:
        """Return whether a new snapshot is needed.

        The log contains the offsets from ``first`` up to, but not including,
        ``head``. A snapshot is due after ``interval_records`` records or
        ``interval_s`` seconds, and at once when retention has trimmed half of
        the records between the last snapshot and the head.
        """
        if head == 0:
            return False
        if first > 0 and first >= (self.latest_upto + head) // 2:
            return True
        if head - self.latest_upto >= self._interval_records:
            return True
        return wall_s - self.latest_at >= self._interval_s

    def should_write(
        self, wall_s: float, first: Offset, head: Offset, *, n_vms: int = 1
    ) -> bool:
        """Return whether this VM must write a snapshot now.

        True is returned once per due snapshot. After twice the jitter it is
        returned again if no snapshot has arrived. ``n_vms`` is the number of
        VMs that may write.
        """
        if not self.is_due(wall_s, first, head):
            self._write_at = None
            return False
        if self._write_at is None:
            max_jitter_s = max(self._jitter_s, n_vms * SNAPSHOT_JITTER_PER_VM_S)
            self._write_at = wall_s + self._rng.uniform(0, max_jitter_s)
        if wall_s < max(self._write_at, self._deferred_until):
            return False
        self._write_at = wall_s + 2 * self._jitter_s
        return True


class SnapshotProvider:
    """Provides chunks of this VM's state to VMs that start without the log.

    ``capture_state`` returns the next offset and the items of the whole state.
    The resulting snapshot is reused for all requests within ``OFFER_TTL_S``
    seconds.
    """

    def __init__(
        self,
        capture_state: Callable[[], tuple[Offset, Iterable[SnapshotItem]]],
        *,
        writer: str,
    ):
        self._capture_state = capture_state
        self._writer = writer
        self._chunks: tuple[SnapshotChunk, ...] = ()
        self._captured_at = float("-inf")

    def chunk(self, now: float, upto: Offset, index: int) -> SnapshotChunk | None:
        """Return one chunk of the snapshot at ``upto``; -1 means the latest.

        None if there is no such chunk or the snapshot has been replaced.
        """
        if upto == -1 and now - self._captured_at > OFFER_TTL_S:
            offset, items = self._capture_state()
            self._chunks = split_snapshot(offset, items, writer=self._writer, at=now)
            self._captured_at = now
        if not 0 <= index < len(self._chunks):
            return None
        chunk = self._chunks[index]
        return chunk if upto in (-1, chunk.upto) else None
