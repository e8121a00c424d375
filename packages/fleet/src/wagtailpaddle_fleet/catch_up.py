"""Catch-up from other VMs by raw records and snapshots."""

from collections import deque
from collections.abc import Mapping
from random import Random

from wagtailpaddle_core import Offset

from wagtailpaddle_fleet.messages import (
    Action,
    FoldRecords,
    RawRecord,
    RecordsAnswer,
    RecordsQuery,
    RestoreSnapshot,
    SendPeer,
    SnapshotAnswer,
    SnapshotQuery,
)
from wagtailpaddle_fleet.offset_answers import ReceivedAnswer

MAX_TAIL_RECORDS = 5_000
MAX_TAIL_BYTES = 8_000_000
MAX_ANSWER_RECORDS = 500
MAX_ANSWER_BYTES = 256_000
MAX_SNAPSHOT_CHUNKS = 10_000
CATCH_UP_TIMEOUT_S = 2.0


class RecordTail:
    """The most recently folded raw records, bounded in count and bytes."""

    def __init__(self) -> None:
        self._records: deque[RawRecord] = deque()
        self._n_bytes = 0
        self._next: Offset = 0

    def add(self, record: RawRecord) -> None:
        """Add a record; a gap in the offsets discards all earlier records."""
        if record.offset != self._next:
            self._records.clear()
            self._n_bytes = 0
        self._records.append(record)
        self._n_bytes += len(record.data)
        self._next = record.offset + 1
        while len(self._records) > 1 and (
            len(self._records) > MAX_TAIL_RECORDS or self._n_bytes > MAX_TAIL_BYTES
        ):
            self._n_bytes -= len(self._records.popleft().data)

    def answer(self, start: Offset, next_offset: Offset) -> RecordsAnswer:
        """Return retained records from ``start`` on, bounded in count and bytes."""
        first = self._next - len(self._records)
        if self._next != next_offset:
            first = next_offset
        if start < first or start >= next_offset:
            return RecordsAnswer(first, next_offset, ())
        records: list[RawRecord] = []
        n_bytes = 0
        for index in range(start - first, len(self._records)):
            record = self._records[index]
            n_bytes += len(record.data)
            if records and n_bytes > MAX_ANSWER_BYTES:
                break
            records.append(record)
            if len(records) == MAX_ANSWER_RECORDS:
                break
        return RecordsAnswer(first, next_offset, tuple(records))


class CatchUp:
    """Fetches records that this VM has not folded from other VMs.

    At most one call is in flight. A snapshot is fetched only if the other VM no
    longer retains the records.
    """

    def __init__(self, *, rng: Random):
        self._rng = rng
        self._called_address: str | None = None
        self._snapshot_source: str | None = None
        self._chunks: list[bytes] = []
        self._snapshot_upto: Offset = -1

    def step(
        self, next_offset: Offset, answers: Mapping[str, ReceivedAnswer]
    ) -> tuple[Action, ...]:
        """Return the next call; none while one is in flight or if none is needed."""
        if self._called_address is not None:
            return ()
        ahead = [
            address
            for address, received in sorted(answers.items())
            if received.answer.next_offset > next_offset
        ]
        if not ahead:
            self._snapshot_source = None
            return ()
        if self._snapshot_source in ahead:
            return self._call(self._snapshot_source, self._snapshot_query())
        self._snapshot_source = None
        return self._call(self._rng.choice(ahead), RecordsQuery(next_offset))

    def on_failed(self, address: str) -> None:
        """Handle a call to ``address`` that failed."""
        if address == self._called_address:
            self._called_address = None
            self._discard_snapshot()

    def on_records(
        self, address: str, next_offset: Offset, answer: RecordsAnswer
    ) -> tuple[Action, ...]:
        """Handle received records; use those that continue at ``next_offset``."""
        self._called_address = None
        expected = next_offset
        records: list[RawRecord] = []
        for record in answer.records:
            if record.offset == expected:
                records.append(record)
                expected += 1
        if records:
            return (FoldRecords(tuple(records)),)
        if answer.first > next_offset:
            self._discard_snapshot()
            self._snapshot_source = address
        return ()

    def on_snapshot(
        self, next_offset: Offset, answer: SnapshotAnswer
    ) -> tuple[Action, ...]:
        """Handle a received chunk; return the snapshot once it is complete."""
        self._called_address = None
        is_next = answer.index == len(self._chunks) and (
            not self._chunks or answer.upto == self._snapshot_upto
        )
        is_valid = 0 < answer.n_chunks <= MAX_SNAPSHOT_CHUNKS
        if not is_next or not is_valid or answer.upto <= next_offset:
            self._discard_snapshot()
            return ()
        self._snapshot_upto = answer.upto
        self._chunks.append(answer.data)
        if len(self._chunks) < answer.n_chunks:
            return ()
        snapshot = RestoreSnapshot(answer.upto, tuple(self._chunks))
        self._discard_snapshot()
        return (snapshot,)

    def _snapshot_query(self) -> SnapshotQuery:
        if not self._chunks:
            return SnapshotQuery(-1, 0)
        return SnapshotQuery(self._snapshot_upto, len(self._chunks))

    def _discard_snapshot(self) -> None:
        self._snapshot_source = None
        self._chunks = []
        self._snapshot_upto = -1

    def _call(
        self, address: str, body: RecordsQuery | SnapshotQuery
    ) -> tuple[Action, ...]:
        self._called_address = address
        return (SendPeer(address, body, CATCH_UP_TIMEOUT_S),)
