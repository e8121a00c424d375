"""A copy of one collection: the newest record of every key."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from wagtailpaddle_core import Offset

from wagtailpaddle_replica.compression import compress, decompress
from wagtailpaddle_replica.messages import (
    Batch,
    Collection,
    Era,
    Position,
    Record,
)

Decoder = Callable[[str, bytes], Any]
"""Decodes a record's key and data; returns None if the record is unreadable."""

VersionOf = Callable[[Any], Any]
"""Returns the version of a decoded value, or None if it has none.

Versions of one key are ordered as its writer wrote them, so they tell a write that
the store carried out late from the newest one.
"""

MAX_TOMBSTONES = 4096
BEFORE_ERA: Offset = -1
"""Offset of what this copy knows from an earlier era: every record is newer."""


def no_version(value: Any) -> None:
    """Return that a value has no version: the order of the offsets decides."""
    return


@dataclass(frozen=True, slots=True)
class Entry:
    """A record as it is sent to other VMs, with its decoded value.

    ``newest_offset`` is the offset of the newest record of the key, which is higher
    than the record's own if later ones did not change the value.
    """

    record: Record
    value: Any
    newest_offset: Offset


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key's value; ``value`` is None if the key has none now."""

    key: str
    previous: Any
    value: Any


class CollectionCopy:
    """A copy of a collection in which no key reverts to an older record.

    ``as_of`` is the latest time for which the copy is proven to contain everything
    that the store had acknowledged by then. A record with the same value as before
    is no change, so heartbeats that change nothing are not relayed. A record whose
    version is lower than that of an earlier one was written late and is passed over;
    after a deletion so is one with the version of the deleted value.

    All offsets in a copy are of one era of the store. Records of an earlier era are
    passed over, and only a snapshot leads to a later one. The versions are remembered
    across eras: what a writer wrote and the store then lost is not undone by what the
    same writer wrote before.

    >>> copy = CollectionCopy(Collection.CONFIG, lambda key, data: data)
    >>> batch = Batch(Collection.CONFIG, 1, (Record("a", 0, b"x"),))
    >>> [change.key for change in copy.apply(batch, as_of=5.0)]
    ['a']
    """

    def __init__(
        self,
        collection: Collection,
        decode: Decoder,
        *,
        version_of: VersionOf = no_version,
    ):
        self.collection = collection
        self.era: Era = 0
        self.next_offset: Offset = 0
        self.as_of = float("-inf")
        self._decode = decode
        self._version_of = version_of
        self._versions: dict[str, Any] = {}
        self._entries: dict[str, Entry] = {}
        self._tombstones: dict[str, Offset] = {}
        self._tombstones_complete_from: Offset = 0

    @property
    def is_known(self) -> bool:
        """Whether any batch with a known age has been applied."""
        return self.as_of != float("-inf")

    @property
    def position(self) -> Position:
        """The position up to which this copy is complete."""
        return Position(self.era, self.next_offset)

    def values(self) -> dict[str, Any]:
        """Return the readable values by key."""
        return {
            key: entry.value
            for key, entry in self._entries.items()
            if entry.value is not None
        }

    def get(self, key: str) -> Any:
        """Return the value of a key, or None."""
        entry = self._entries.get(key)
        return None if entry is None else entry.value

    def apply(self, batch: Batch, as_of: float) -> tuple[Change, ...]:
        """Apply a batch that was complete at ``as_of``; return the changes."""
        if batch.era < self.era or (batch.era > self.era and not batch.whole):
            return ()
        if batch.era > self.era:
            self._begin_era(batch.era)
        changes = [self._put(record) for record in batch.records]
        if batch.whole:
            changes += self._delete_missing(batch)
            self._skip_tombstones(batch.next_offset)
        self.next_offset = max(self.next_offset, batch.next_offset)
        self.as_of = max(self.as_of, as_of)
        return tuple(change for change in changes if change is not None)

    def batch_since(self, start: Position) -> Batch | None:
        """Return the changes from ``start`` on, or None if there are none.

        A VM whose copy is of an earlier era gets a snapshot. One whose copy is of a
        later era gets nothing.
        """
        era = self.era if start.era is None else start.era
        if not self.is_known or era > self.era:
            return None
        if era < self.era:
            return self._snapshot()
        if start.offset >= self.next_offset and not self._needs_snapshot(start.offset):
            return None
        if start.offset < self._tombstones_complete_from or start.offset == 0:
            return self._snapshot()
        return self._changes_since(start.offset)

    def progress_since(self, start: Position) -> Batch | None:
        """Return the changes from ``start`` on, or an empty batch if only offsets rose.

        The empty batch advances the follower's offset. If the follower later reads
        the store itself, it skips the heartbeats that changed nothing. A follower of
        a later era gets one too, which tells it that this copy proves nothing.
        """
        batch = self.batch_since(start)
        if batch is not None or not self.is_known:
            return batch
        is_later_era = start.era is not None and start.era > self.era
        if is_later_era or start.offset < self.next_offset:
            return Batch(self.collection, self.next_offset, (), era=self.era)
        return None

    def _snapshot(self) -> Batch:
        return self._make_batch([e.record for e in self._entries.values()], whole=True)

    def _changes_since(self, start: Offset) -> Batch | None:
        records = [
            entry.record
            for entry in self._entries.values()
            if entry.record.offset >= start
        ]
        records += [
            Record(key, offset, None)
            for key, offset in self._tombstones.items()
            if offset >= start
        ]
        return self._make_batch(records, whole=False) if records else None

    def _make_batch(self, records: list[Record], *, whole: bool) -> Batch:
        records.sort(key=lambda record: record.offset)
        return Batch(self.collection, self.next_offset, tuple(records), whole, self.era)

    def _needs_snapshot(self, start: Offset) -> bool:
        """Return whether a VM that asks from ``start`` still needs a first snapshot."""
        return start == 0 and bool(self._entries)

    def _begin_era(self, era: Era) -> None:
        """Forget the offsets and the proof of the era before.

        The values stay, so that a snapshot changes only those that differ.
        """
        self.era = era
        self.next_offset = 0
        self.as_of = float("-inf")
        self._tombstones_complete_from = 0
        self._tombstones = dict.fromkeys(self._tombstones, BEFORE_ERA)
        self._entries = {
            key: Entry(
                replace(entry.record, offset=BEFORE_ERA), entry.value, BEFORE_ERA
            )
            for key, entry in self._entries.items()
        }

    def _put(self, record: Record) -> Change | None:
        entry = self._entries.get(record.key)
        previous = None if entry is None else entry.value
        offset = self._tombstones.get(record.key, -1)
        if entry is not None:
            offset = max(offset, entry.newest_offset)
        if record.offset <= offset:
            return None
        if record.data is None:
            return self._delete(record.key, record.offset)
        uncompressed = decompress(record)
        assert uncompressed.data is not None
        value = self._decode(record.key, uncompressed.data)
        if self._is_outdated(record.key, value):
            if entry is not None:
                self._entries[record.key] = _renew(entry, record.offset)
            return None
        self._record_version(record.key, value)
        if entry is not None and previous is not None and value == previous:
            self._entries[record.key] = _renew(
                replace(entry, value=value), record.offset
            )
            return None
        self._entries[record.key] = Entry(compress(record), value, record.offset)
        self._tombstones.pop(record.key, None)
        if value is None and previous is None:
            return None
        return Change(record.key, previous, value)

    def _is_outdated(self, key: str, value: Any) -> bool:
        """Return whether a value is older than one that this copy has had."""
        version = None if value is None else self._version_of(value)
        newest = self._versions.get(key)
        if version is None or newest is None:
            return False
        return bool(version < newest or (version == newest and self.get(key) is None))

    def _record_version(self, key: str, value: Any) -> None:
        version = None if value is None else self._version_of(value)
        if version is not None:
            self._versions[key] = version

    def _delete(self, key: str, offset: Offset) -> Change | None:
        self._tombstones.pop(key, None)
        self._tombstones[key] = offset
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            self._versions.pop(oldest, None)
            self._tombstones_complete_from = max(
                self._tombstones_complete_from, self._tombstones.pop(oldest) + 1
            )
        entry = self._entries.pop(key, None)
        if entry is None or entry.value is None:
            return None
        return Change(key, entry.value, None)

    def _skip_tombstones(self, end: Offset) -> None:
        """Note that a snapshot does not tell which keys were deleted before ``end``."""
        if end > self.next_offset:
            self._tombstones_complete_from = max(self._tombstones_complete_from, end)

    def _delete_missing(self, batch: Batch) -> list[Change | None]:
        present = {record.key for record in batch.records}
        missing = [
            key
            for key, entry in self._entries.items()
            if key not in present and entry.newest_offset < batch.next_offset
        ]
        return [self._delete(key, batch.next_offset - 1) for key in missing]


def _renew(entry: Entry, newest_offset: Offset) -> Entry:
    """Return an entry whose key has a newer record that did not change its value."""
    record = entry.record
    if record.offset == BEFORE_ERA:
        record = replace(record, offset=newest_offset)
    return Entry(record, entry.value, newest_offset)
