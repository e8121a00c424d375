"""Results of recent records by id, in bounded memory."""

from collections import deque

from wagtailpaddle_core import Offset

from wagtailpaddle_config.records import DEDUPE_WINDOW, Record
from wagtailpaddle_config.results import Result, Void, VoidCode


class RecentResults:
    """Remembers what became of each record of the last offsets.

    A record that states after which head it was first tried is void beyond
    the window. So all copies of it that may take effect lie within one window,
    and the first of them is still remembered when the last one is folded.
    """

    def __init__(self, *, window: int = DEDUPE_WINDOW):
        self.window = window
        self._by_id: dict[str, Result] = {}
        self._order: deque[Result] = deque()

    def get(self, record_id: str) -> Result | None:
        """Return what became of a recent record."""
        return self._by_id.get(record_id)

    def reject(self, offset: Offset, record: Record) -> Void | None:
        """Return why a record at ``offset`` can't take effect, None if it may."""
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
        """Remember a result, unless an earlier one of the same record is known."""
        if result.record_id not in self._by_id:
            self._by_id[result.record_id] = result
            self._order.append(result)
        self.forget(result.offset)

    def forget(self, offset: Offset) -> None:
        """Forget all that ``offset`` leaves behind the window."""
        while self._order and self._order[0].offset < offset - self.window:
            del self._by_id[self._order.popleft().record_id]

    def all(self) -> tuple[Result, ...]:
        """Return the remembered results in the order of the log."""
        return tuple(self._order)
