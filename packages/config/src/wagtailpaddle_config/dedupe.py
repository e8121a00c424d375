"""Deduplication of records by id, in bounded memory."""

from collections import deque

from wagtailpaddle_core import Offset

from wagtailpaddle_config.records import DEDUPE_WINDOW, Record
from wagtailpaddle_config.results import Result, Void, VoidCode


class RecentResults:
    """The results of the records in the last ``window`` offsets, by id.

    A record that carries ``appended_after`` is void more than ``window``
    offsets after it. All copies that may take effect therefore lie within one
    window, and the result of the first is still stored when the last is folded.
    """

    def __init__(self, *, window: int = DEDUPE_WINDOW):
        self.window = window
        self._by_id: dict[str, Result] = {}
        self._order: deque[Result] = deque()

    def get(self, record_id: str) -> Result | None:
        """Return the result of a recent record, None if it is not stored."""
        return self._by_id.get(record_id)

    def find_rejection(self, offset: Offset, record: Record) -> Void | None:
        """Return a void result for a duplicate or expired record.

        None if the record at ``offset`` may take effect.
        """
        first = self._by_id.get(record.id)
        if first is not None:
            reason = f"record {record.id!r} stands at offset {first.offset} already"
            return Void(record.id, offset, reason, VoidCode.DUPLICATE)
        after = record.appended_after
        if after is None or after <= offset <= after + self.window:
            return None
        reason = f"record {record.id!r} of offset {after} came too late at {offset}"
        return Void(record.id, offset, reason, VoidCode.EXPIRED)

    def add(self, result: Result) -> None:
        """Store a result unless the same record already has one."""
        if result.record_id not in self._by_id:
            self._by_id[result.record_id] = result
            self._order.append(result)
        self.expire(result.offset)

    def expire(self, offset: Offset) -> None:
        """Remove results more than ``window`` offsets before ``offset``."""
        while self._order and self._order[0].offset < offset - self.window:
            del self._by_id[self._order.popleft().record_id]

    def all(self) -> tuple[Result, ...]:
        """Return the stored results in log order."""
        return tuple(self._order)
