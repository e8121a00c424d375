"""Tracking of log appends, with retries of those whose answer was lost."""

from dataclasses import dataclass, replace
from enum import StrEnum

from wagtailpaddle_core import Offset

from wagtailpaddle_config.fold import ConfigFold
from wagtailpaddle_config.records import DEDUPE_WINDOW, Record
from wagtailpaddle_config.results import Applied, Result

MAX_TRACKED_APPENDS = 1_000


class AppendState(StrEnum):
    """State of an append.

    ``EXPIRED``: the log does not contain the record, and a copy that arrives
    later has no effect. ``FORGOTTEN``: the outcome can no longer be determined,
    because this VM restored a snapshot that does not cover the record.
    """

    SENT = "sent"
    RECORDED = "recorded"
    UNKNOWN = "unknown"
    APPLIED = "applied"
    VOID = "void"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"


RESOLVED_STATES = frozenset(
    {
        AppendState.APPLIED,
        AppendState.VOID,
        AppendState.EXPIRED,
        AppendState.FORGOTTEN,
    }
)


@dataclass(frozen=True, slots=True)
class Append:
    """Request to append ``record`` to the log once and report the outcome."""

    record: Record


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """State of an append, with the result once the record is folded."""

    state: AppendState
    result: Result | None = None


@dataclass(frozen=True, slots=True)
class _Tracked:
    record: Record
    state: AppendState
    searched_upto: Offset
    failed_at: float = 0.0
    head_after_failure: Offset | None = None
    result: Result | None = None


class TooManyAppendsError(Exception):
    """Raised when ``MAX_TRACKED_APPENDS`` appends are unresolved."""


class AppendTracker:
    """Tracks appended records until their outcome is certain.

    An append that failed or got no answer may still have taken effect. It is
    retried only after the whole log, up to a head that was read after the
    failure, has been searched for its id without success. A late copy is void
    for every reader: ids are remembered for a window of offsets, and a record
    that arrives after its window is void as well. Retries stop after half of
    the window.
    """

    def __init__(self, *, window: int = DEDUPE_WINDOW):
        self._window = window
        self._tracked: dict[str, _Tracked] = {}

    def submit(self, record: Record, next_offset: Offset) -> Append:
        """Start to track a record and return its first append.

        ``next_offset`` is the next offset that this VM will fold. Raises
        ``TooManyAppendsError`` when too many appends are unresolved, for
        instance during a long outage of the log.
        """
        if len(self._tracked) >= MAX_TRACKED_APPENDS:
            self._discard_resolved()
        if len(self._tracked) >= MAX_TRACKED_APPENDS:
            raise TooManyAppendsError(f"{len(self._tracked)} appends are unresolved")
        stamped = replace(record, appended_after=next_offset)
        self._tracked[record.id] = _Tracked(
            stamped, AppendState.SENT, searched_upto=next_offset
        )
        return Append(stamped)

    def on_appended(self, record_id: str) -> None:
        """Record that the log acknowledged the append."""
        tracked = self._tracked.get(record_id)
        if tracked is not None and tracked.state not in RESOLVED_STATES:
            self._tracked[record_id] = replace(tracked, state=AppendState.RECORDED)

    def on_append_failed(self, now: float, record_id: str) -> None:
        """Record that the append failed or got no answer, at ``now``."""
        tracked = self._tracked.get(record_id)
        if tracked is None or tracked.state is not AppendState.SENT:
            return
        self._tracked[record_id] = replace(
            tracked, state=AppendState.UNKNOWN, failed_at=now, head_after_failure=None
        )

    def on_log_head(
        self, sent_at: float, head: Offset, fold: ConfigFold
    ) -> tuple[Append, ...]:
        """Update the appends after the log answered with its head.

        ``sent_at`` is when the query was sent. Returns the appends to retry:
        those that are certainly absent below a head read after their failure.
        """
        retries = []
        for record_id, tracked in list(self._tracked.items()):
            if tracked.state in RESOLVED_STATES:
                continue
            tracked = self._look_up(tracked, fold)
            if tracked.state is AppendState.UNKNOWN:
                if tracked.head_after_failure is None and sent_at > tracked.failed_at:
                    tracked = replace(tracked, head_after_failure=head)
                if self._may_retry(tracked, head, fold.next_offset):
                    tracked = replace(tracked, state=AppendState.SENT)
                    retries.append(Append(tracked.record))
            self._tracked[record_id] = tracked
        return tuple(retries)

    def outcome(self, record_id: str) -> AppendOutcome | None:
        """Return the outcome so far, None if the append is not tracked."""
        tracked = self._tracked.get(record_id)
        if tracked is None:
            return None
        return AppendOutcome(tracked.state, tracked.result)

    def discard(self, record_id: str) -> None:
        """Stop tracking an append."""
        self._tracked.pop(record_id, None)

    def _look_up(self, tracked: _Tracked, fold: ConfigFold) -> _Tracked:
        result = fold.result_of(tracked.record.id)
        if result is not None:
            is_applied = isinstance(result, Applied)
            state = AppendState.APPLIED if is_applied else AppendState.VOID
            return replace(tracked, state=state, result=result)
        if fold.next_offset > tracked.searched_upto + self._window:
            return replace(tracked, state=AppendState.FORGOTTEN)
        if fold.next_offset > _appended_after(tracked) + self._window:
            return replace(tracked, state=AppendState.EXPIRED)
        return replace(tracked, searched_upto=fold.next_offset)

    def _may_retry(self, tracked: _Tracked, head: Offset, next_offset: Offset) -> bool:
        if (
            tracked.head_after_failure is None
            or next_offset < tracked.head_after_failure
        ):
            return False
        return head <= _appended_after(tracked) + self._window // 2

    def _discard_resolved(self) -> None:
        self._tracked = {
            record_id: tracked
            for record_id, tracked in self._tracked.items()
            if tracked.state not in RESOLVED_STATES
        }


def _appended_after(tracked: _Tracked) -> Offset:
    return tracked.record.appended_after or 0
