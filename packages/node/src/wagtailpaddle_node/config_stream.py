"""Folds the ``config`` stream into the configuration and the seats of VMs."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from wagtailpaddle_config import (
    CancelAccount,
    Change,
    ConfigFold,
    LogCursor,
    PublishBase,
    PublishOverlay,
    PutAccount,
    Record,
    RestoreAccount,
    Snapshot,
    SnapshotChunk,
    SnapshotError,
    SnapshotItem,
    SnapshotScheduler,
    split_snapshot,
)
from wagtailpaddle_core import AccountId, Offset, ensure
from wagtailpaddle_fleet import FleetRecord, Membership, Roster, Vm

ROSTER_SECTION = "roster"

RecordDecoder = Callable[[bytes], object]
"""Decodes a record of the log. Raises ``ValueError``."""


@dataclass(frozen=True, slots=True)
class RawLogRecord:
    """An encoded record of a stream of the log."""

    offset: Offset
    data: bytes


@dataclass(frozen=True, slots=True)
class SeatedVms:
    """The VMs that hold seats since ``revision``, and the previous holders."""

    revision: Offset
    vms: tuple[Vm, ...]
    former_revision: Offset
    former_vms: tuple[Vm, ...]


class ConfigStream:
    """Keeps the configuration and the seats at the same offset of the log.

    ``n_unreadable`` counts records that could not be decoded; every VM skips
    them.
    """

    def __init__(
        self,
        fold: ConfigFold,
        membership: Membership,
        decode: RecordDecoder,
        *,
        seed: int,
    ):
        self.fold = fold
        self.membership = membership
        self.n_unreadable = 0
        self.first: Offset = 0
        self.head: Offset = 0
        self._seated: list[SeatedVms] = []
        self._changed_accounts: set[AccountId] | None = set()
        self._decode = decode
        self._cursor = LogCursor()
        self._snapshot_scheduler = SnapshotScheduler(
            rng=Random(f"{seed}/{membership.vm.id}")
        )

    @property
    def read_from(self) -> Offset:
        """The offset at which to read the log next."""
        return self._cursor.next_read(self.fold.next_offset).start

    def on_trimmed(self, first: Offset) -> None:
        """The log holds nothing before ``first``."""
        self._cursor.on_trimmed(first, self.fold.next_offset)

    def on_read(
        self, now: float, records: Iterable[RawLogRecord], first: Offset, head: Offset
    ) -> None:
        """Process the log's answer to a read that began at ``read_from``."""
        self.first, self.head = first, head
        if self._cursor.is_searching:
            decoded = [(raw.offset, self._decode_record(raw.data)) for raw in records]
            snapshot = self._cursor.on_search_records(
                decoded, first, head, self.fold.next_offset
            )
            if snapshot is not None:
                self.restore(now, snapshot)
            return
        self.fold_records(now, records)

    def fold_records(self, now: float, records: Iterable[RawLogRecord]) -> None:
        """Fold the records that follow the last folded one; skip others."""
        for raw in records:
            if raw.offset == self.fold.next_offset:
                self._fold_one(now, raw)
        self._cursor.on_caught_up(self.fold.next_offset, self.first)

    def restore(self, now: float, snapshot: Snapshot) -> None:
        """Replace the state by a newer snapshot; a malformed one changes nothing."""
        if snapshot.upto <= self.fold.next_offset:
            return
        roster = [
            (item.name, item.table)
            for item in snapshot.items
            if item.section == ROSTER_SECTION
        ]
        try:
            Roster().restore(snapshot.upto, roster)
            self.fold.restore(snapshot.upto, snapshot.items)
        except (SnapshotError, ValueError):
            self.n_unreadable += 1
            return
        self.membership.on_snapshot_restored(now, snapshot.upto, roster)
        self._changed_accounts = None
        self._record_seated(-1)
        self._check_offsets()

    def items(self) -> tuple[Offset, tuple[SnapshotItem, ...]]:
        """Return the next offset and the complete state before it."""
        roster = tuple(
            SnapshotItem(ROSTER_SECTION, name, table)
            for name, table in self.membership.snapshot_items()
        )
        return self.fold.next_offset, self.fold.snapshot_items() + roster

    def pop_seated(self) -> list[SeatedVms]:
        """Remove and return the changes of seated VMs since the last call, in order."""
        seated, self._seated = self._seated, []
        return seated

    def pop_changed_accounts(self) -> set[AccountId] | None:
        """Return the accounts changed since the last call, None if any may have."""
        changed = self._changed_accounts
        self._changed_accounts = set()
        return changed

    def due_snapshot(self, wall_s: float) -> tuple[SnapshotChunk, ...]:
        """Return the snapshot chunks that this VM should append now, mostly none."""
        if self.fold.next_offset < self.head:
            return ()
        n_vms = len(self.membership.roster.members)
        if not self._snapshot_scheduler.should_write(
            wall_s, self.first, self.head, n_vms=max(1, n_vms)
        ):
            return ()
        upto, items = self.items()
        return split_snapshot(upto, items, writer=self.membership.vm.id, at=wall_s)

    def _fold_one(self, now: float, raw: RawLogRecord) -> None:
        record = self._decode_record(raw.data)
        fleet_record: FleetRecord | None = None
        match record:
            case Record():
                self.fold.apply(raw.offset, record)
                self._record_accounts(record.change)
            case FleetRecord():
                self.fold.skip(raw.offset)
                fleet_record = record
            case SnapshotChunk():
                self.fold.skip(raw.offset)
                self._snapshot_scheduler.on_chunk(record)
            case _:
                self.fold.skip(raw.offset)
        before = self.membership.roster.members_revision
        self.membership.on_folded(now, raw.offset, raw.data, fleet_record)
        self._record_seated(before)
        self._check_offsets()

    def _record_seated(self, before: Offset) -> None:
        roster = self.membership.roster
        if roster.members_revision != before and roster.members:
            seated = SeatedVms(
                roster.members_revision,
                roster.members,
                roster.former_members_revision,
                roster.former_members,
            )
            self._seated.append(seated)

    def _record_accounts(self, change: Change) -> None:
        match change:
            case PutAccount() | CancelAccount() | RestoreAccount():
                if self._changed_accounts is not None:
                    self._changed_accounts.add(change.account)
            case PublishBase() | PublishOverlay():
                self._changed_accounts = None

    def _decode_record(self, data: bytes) -> object:
        try:
            return self._decode(data)
        except ValueError:
            self.n_unreadable += 1
            return None

    def _check_offsets(self) -> None:
        ensure(
            self.fold.next_offset == self.membership.roster.next_offset,
            "config-and-seats-together",
            config=self.fold.next_offset,
            seats=self.membership.roster.next_offset,
        )
