"""Appends whose outcome is known, or unknown because an answer was lost."""

from dataclasses import dataclass, replace
from enum import StrEnum

from wagtailpaddle_core import Offset

from wagtailpaddle_config.fold import ConfigFold
from wagtailpaddle_config.records import DEDUPE_WINDOW, Record
from wagtailpaddle_config.results import Applied, Result

MAX_TRACKED_APPENDS = 1_000


class AppendState(StrEnum):
    """What is known of an append.

    ``EXPIRED`` ones stand nowhere and can't take effect any more. Of
    ``FORGOTTEN`` ones nothing will be learned, because this VM took a snapshot
    that no longer tells of them.
    """

    SENT = "sent"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    APPLIED = "applied"
    VOID = "void"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"


RESOLVED = frozenset(
    {
        AppendState.APPLIED,
        AppendState.VOID,
        AppendState.EXPIRED,
        AppendState.FORGOTTEN,
    }
)


@dataclass(frozen=True, slots=True)
class Append:
    """Append ``record`` to the log once and report what came of it."""

    record: Record


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """State of an append, with the result once the record was folded."""

    state: AppendState
    result: Result | None = None


@dataclass(frozen=True, slots=True)
class _Tracked:
    record: Record
    state: AppendState
    looked_at: Offset
    failed_at: float = 0.0
    head_to_read: Offset | None = None
    result: Result | None = None


class TooManyAppendsError(Exception):
    """More appends are unresolved than may be tracked."""


class AppendTracker:
    """Sees appends of changes through to a certain outcome.

    An append that brought no answer may have taken effect. It is looked up by
    id in all that the log held after the failure, and only tried again if it
    is not there. A copy that lands late is void for every reader, because the
    id is remembered for a window of offsets and a record beyond its window
    is void as well. Nothing is tried again beyond half of the window.
    """

    def __init__(self, *, window: int = DEDUPE_WINDOW):
        self._window = window
        self._tracked: dict[str, _Tracked] = {}

    def submit(self, record: Record, next_offset: Offset) -> Append:
        """Return the first try of a record.

        ``next_offset`` is what this VM has folded. Raises
        ``TooManyAppendsError`` when the log has been away for too long.
        """
        if len(self._tracked) >= MAX_TRACKED_APPENDS:
            self._forget_resolved()
        if len(self._tracked) >= MAX_TRACKED_APPENDS:
            raise TooManyAppendsError(f"{len(self._tracked)} appends are unresolved")
        stamped = replace(record, appended_after=next_offset)
        self._tracked[record.id] = _Tracked(
            stamped, AppendState.SENT, looked_at=next_offset
        )
        return Append(stamped)

    def appended(self, record_id: str) -> None:
        """The log answered that the record stands in it."""
        tracked = self._tracked.get(record_id)
        if tracked is not None and tracked.state not in RESOLVED:
            self._tracked[record_id] = replace(tracked, state=AppendState.RECORDED)

    def append_failed(self, now: float, record_id: str) -> None:
        """The append brought no answer, or an error, at ``now``."""
        tracked = self._tracked.get(record_id)
        if tracked is None or tracked.state is not AppendState.SENT:
            return
        self._tracked[record_id] = replace(
            tracked, state=AppendState.UNKNOWN, failed_at=now, head_to_read=None
        )

    def log_read(
        self, sent_at: float, head: Offset, fold: ConfigFold
    ) -> tuple[Append, ...]:
        """The log named its head in answer to a question sent at ``sent_at``.

        Returns the appends that surely stand nowhere below a head learned
        after their failure, to be tried again.
        """
        retries = []
        for record_id, tracked in list(self._tracked.items()):
            if tracked.state in RESOLVED:
                continue
            tracked = self._look_up(tracked, fold)
            if tracked.state is AppendState.UNKNOWN:
                if tracked.head_to_read is None and sent_at > tracked.failed_at:
                    tracked = replace(tracked, head_to_read=head)
                if self._may_retry(tracked, head, fold.next_offset):
                    tracked = replace(tracked, state=AppendState.SENT)
                    retries.append(Append(tracked.record))
            self._tracked[record_id] = tracked
        return tuple(retries)

    def outcome(self, record_id: str) -> AppendOutcome | None:
        """Return what is known of an append, None if it is not tracked."""
        tracked = self._tracked.get(record_id)
        if tracked is None:
            return None
        return AppendOutcome(tracked.state, tracked.result)

    def forget(self, record_id: str) -> None:
        """Drop an append of which nobody asks any more."""
        self._tracked.pop(record_id, None)

    def _look_up(self, tracked: _Tracked, fold: ConfigFold) -> _Tracked:
        result = fold.result_of(tracked.record.id)
        if result is not None:
            is_applied = isinstance(result, Applied)
            state = AppendState.APPLIED if is_applied else AppendState.VOID
            return replace(tracked, state=state, result=result)
        if fold.next_offset > tracked.looked_at + self._window:
            return replace(tracked, state=AppendState.FORGOTTEN)
        if fold.next_offset > _after(tracked) + self._window:
            return replace(tracked, state=AppendState.EXPIRED)
        return replace(tracked, looked_at=fold.next_offset)

    def _may_retry(self, tracked: _Tracked, head: Offset, next_offset: Offset) -> bool:
        if tracked.head_to_read is None or next_offset < tracked.head_to_read:
            return False
        return head <= _after(tracked) + self._window // 2

    def _forget_resolved(self) -> None:
        self._tracked = {
            record_id: tracked
            for record_id, tracked in self._tracked.items()
            if tracked.state not in RESOLVED
        }


def _after(tracked: _Tracked) -> Offset:
    return tracked.record.appended_after or 0
