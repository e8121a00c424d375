"""Fold of the ``shares`` stream into the holder of each share."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from wagtailpaddle_core import Offset, VmId, ensure

from wagtailpaddle_quota.messages import (
    NO_REVISION,
    ChangeShares,
    ShareChange,
    ShareEntry,
    ShareId,
    ShareRecord,
    ShareSnapshot,
)

MAX_SNAPSHOT_ENTRIES = 200
MAX_BUFFERED_RECORDS = 100_000


class ShareFold:
    """The holder of every share after the records folded so far.

    Records are applied in the order of the log. If the first record is not at
    offset 0, the earlier changes are missing, and records are buffered until a
    complete snapshot supplies them.

    >>> fold = ShareFold(n_groups=1, n_shares=1)
    >>> share = ShareId(0, 0)
    >>> claim = ChangeShares("r1", "a", (ShareChange(share, NO_REVISION, "a"),))
    >>> fold.apply(0, claim)
    (ShareEntry(share=ShareId(group=0, index=0), holder='a', revision=0),)
    >>> fold.apply(1, claim)
    ()
    """

    def __init__(self, *, n_groups: int, n_shares: int):
        self.n_groups = n_groups
        self.n_shares = n_shares
        self.next_offset: Offset = 0
        self.n_void = 0
        self.n_ignored = 0
        self._entries: dict[ShareId, ShareEntry] = {}
        self._buffered: list[tuple[Offset, ShareRecord]] = []
        self._parts: dict[Offset, dict[int, ShareSnapshot]] = {}

    @property
    def complete(self) -> bool:
        """False while records are buffered because an earlier snapshot is missing."""
        return not self._buffered

    @property
    def entries(self) -> Mapping[ShareId, ShareEntry]:
        """The entries of all shares that were ever held."""
        return MappingProxyType(self._entries)

    def entry(self, share: ShareId) -> ShareEntry:
        """Return the entry of ``share``, without a holder if no record changed it."""
        return self._entries.get(share, ShareEntry(share, VmId(""), NO_REVISION))

    def apply(self, offset: Offset, record: ShareRecord) -> tuple[ShareEntry, ...]:
        """Fold the record at ``offset`` and return the entries it changed."""
        if self._buffered:
            return self._buffer(offset, record)
        if offset < self.next_offset:
            return ()
        if offset > self.next_offset:
            return self._buffer(offset, record)
        self.next_offset = offset + 1
        if isinstance(record, ChangeShares):
            return self._apply_changes(offset, record)
        return ()

    def load(
        self, next_offset: Offset, entries: Iterable[ShareEntry]
    ) -> tuple[ShareEntry, ...]:
        """Load a state with a higher offset and return the entries that changed."""
        if next_offset <= self.next_offset:
            return ()
        changed = []
        for entry in entries:
            if not self._is_in_range(entry.share):
                self.n_ignored += 1
                continue
            if entry.revision > self.entry(entry.share).revision:
                self._entries[entry.share] = entry
                changed.append(entry)
        self.next_offset = next_offset
        return tuple(changed) + self._replay()

    def snapshot(self, id_prefix: str) -> tuple[ShareSnapshot, ...]:
        """Return the state as snapshot records of bounded size."""
        listed = [self._entries[share] for share in sorted(self._entries)]
        chunks = [
            tuple(listed[start : start + MAX_SNAPSHOT_ENTRIES])
            for start in range(0, len(listed), MAX_SNAPSHOT_ENTRIES)
        ] or [()]
        return tuple(
            ShareSnapshot(
                id=f"{id_prefix}/{self.next_offset}/{part}",
                next_offset=self.next_offset,
                part=part,
                n_parts=len(chunks),
                entries=chunk,
            )
            for part, chunk in enumerate(chunks)
        )

    def _is_in_range(self, share: ShareId) -> bool:
        in_group = 0 <= share.group < self.n_groups
        return in_group and 0 <= share.index < self.n_shares

    def _apply_changes(
        self, offset: Offset, record: ChangeShares
    ) -> tuple[ShareEntry, ...]:
        changed: dict[ShareId, ShareEntry] = {}
        for change in record.changes:
            if not self._is_valid(change, changed):
                self.n_void += 1
                continue
            entry = ShareEntry(change.share, change.holder, offset)
            before = self.entry(change.share)
            ensure(
                entry.revision > before.revision,
                "share-revision-rises",
                before=before,
                after=entry,
            )
            self._entries[change.share] = entry
            changed[change.share] = entry
        return tuple(changed.values())

    def _is_valid(
        self, change: ShareChange, changed: dict[ShareId, ShareEntry]
    ) -> bool:
        if not self._is_in_range(change.share) or change.share in changed:
            return False
        return change.expected == self.entry(change.share).revision

    def _buffer(self, offset: Offset, record: ShareRecord) -> tuple[ShareEntry, ...]:
        if offset <= (self._buffered[-1][0] if self._buffered else -1):
            return ()
        if len(self._buffered) >= MAX_BUFFERED_RECORDS:
            self.n_ignored += 1
            return ()
        self._buffered.append((offset, record))
        if not isinstance(record, ShareSnapshot):
            return ()
        parts = self._parts.setdefault(record.next_offset, {})
        parts[record.part] = record
        first = self._buffered[0][0]
        if len(parts) < record.n_parts or record.next_offset < first:
            return ()
        entries = [entry for part in parts.values() for entry in part.entries]
        return self.load(record.next_offset, entries)

    def _replay(self) -> tuple[ShareEntry, ...]:
        buffered, self._buffered = self._buffered, []
        self._parts = {}
        changed: tuple[ShareEntry, ...] = ()
        for offset, record in buffered:
            changed += self.apply(offset, record)
        return changed
