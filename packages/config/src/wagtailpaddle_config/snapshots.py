"""Snapshots in the log: when to write them, how to cut and collect them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import Offset

from wagtailpaddle_config.records import SnapshotChunk, SnapshotItem

CHUNK_ITEMS = 500
MAX_COLLECTED_SNAPSHOTS = 4
SNAPSHOT_RECORDS = 5_000
SNAPSHOT_AGE_S = 6 * 3600.0
SNAPSHOT_JITTER_S = 30.0
SNAPSHOT_JITTER_S_PER_VM = 1.0
OFFER_S = 30.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole snapshot: the state that the records before ``upto`` leave."""

    upto: Offset
    at: float
    items: tuple[SnapshotItem, ...]


def cut_snapshot(
    upto: Offset,
    items: Iterable[SnapshotItem],
    *,
    writer: str,
    at: float,
    chunk_items: int = CHUNK_ITEMS,
) -> tuple[SnapshotChunk, ...]:
    """Return the chunks of a snapshot; there is always at least one."""
    listed = tuple(items)
    parts = [
        listed[start : start + chunk_items]
        for start in range(0, len(listed), chunk_items)
    ] or [()]
    return tuple(
        SnapshotChunk(upto, index, len(parts), writer, at, part)
        for index, part in enumerate(parts)
    )


class SnapshotCollector:
    """Puts chunks together, from whichever writers and in any order.

    Only the latest few snapshots are collected, so memory stays bounded.
    """

    def __init__(self) -> None:
        self._chunks: dict[Offset, dict[int, SnapshotChunk]] = {}

    def add(self, chunk: SnapshotChunk) -> Snapshot | None:
        """Take in a chunk; return the snapshot that it completes."""
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


class SnapshotWatch:
    """Decides when this VM writes a snapshot.

    Feed it every chunk that stands in the log. Once a snapshot is due, each
    VM waits for a random time, longer in larger fleets, and looks again, so
    that one or few write; while the chunks of one arrive, the others wait.
    Times are wall-clock seconds because they outlive a VM.
    """

    def __init__(
        self,
        *,
        rng: Random,
        records: int = SNAPSHOT_RECORDS,
        age_s: float = SNAPSHOT_AGE_S,
        jitter_s: float = SNAPSHOT_JITTER_S,
    ):
        self.latest_upto: Offset = 0
        self.latest_at = float("-inf")
        self._rng = rng
        self._records = records
        self._age_s = age_s
        self._jitter_s = jitter_s
        self._seen: dict[Offset, set[int]] = {}
        self._write_at: float | None = None
        self._busy_until = float("-inf")

    def on_chunk(self, chunk: SnapshotChunk) -> None:
        """Take notice of a chunk in the log."""
        if chunk.upto < self.latest_upto:
            return
        seen = self._seen.setdefault(chunk.upto, set())
        seen.add(chunk.index)
        self._busy_until = max(self._busy_until, chunk.at + 2 * self._jitter_s)
        if len(seen) < chunk.n_chunks:
            return
        self.latest_upto = chunk.upto
        self.latest_at = max(self.latest_at, chunk.at)
        self._seen = {upto: s for upto, s in self._seen.items() if upto > chunk.upto}
        self._write_at = None

    def is_due(self, wall_s: float, first: Offset, head: Offset) -> bool:
        """Return whether a new snapshot is needed.

        ``first`` and ``head`` bound what the log holds. One is due after
        ``records`` records or ``age_s`` seconds, and at once when half of the
        records between the last snapshot and the head ran out of retention.
        """
        if head == 0:
            return False
        if first > 0 and first >= (self.latest_upto + head) // 2:
            return True
        if head - self.latest_upto >= self._records:
            return True
        return wall_s - self.latest_at >= self._age_s

    def should_write(
        self, wall_s: float, first: Offset, head: Offset, *, n_vms: int = 1
    ) -> bool:
        """Return whether this VM writes one now; True once for each need.

        ``n_vms`` is the number of VMs that may write.
        """
        if not self.is_due(wall_s, first, head):
            self._write_at = None
            return False
        if self._write_at is None:
            spread_s = max(self._jitter_s, n_vms * SNAPSHOT_JITTER_S_PER_VM)
            self._write_at = wall_s + self._rng.uniform(0, spread_s)
        if wall_s < max(self._write_at, self._busy_until):
            return False
        self._write_at = wall_s + 2 * self._jitter_s
        return True


class SnapshotOffer:
    """Serves chunks of this VM's own state to VMs that start without a log.

    ``take`` returns the next offset and the items of the whole state. One cut
    serves all who ask within ``OFFER_S`` seconds.
    """

    def __init__(
        self, take: Callable[[], tuple[Offset, Iterable[SnapshotItem]]], *, writer: str
    ):
        self._take = take
        self._writer = writer
        self._chunks: tuple[SnapshotChunk, ...] = ()
        self._cut_at = float("-inf")

    def chunk(self, now: float, upto: Offset, index: int) -> SnapshotChunk | None:
        """Return one chunk of the snapshot at ``upto``, -1 for the latest.

        None if there is no such chunk or it is no longer offered.
        """
        if upto == -1 and now - self._cut_at > OFFER_S:
            offset, items = self._take()
            self._chunks = cut_snapshot(offset, items, writer=self._writer, at=now)
            self._cut_at = now
        if not 0 <= index < len(self._chunks):
            return None
        chunk = self._chunks[index]
        return chunk if upto in (-1, chunk.upto) else None
