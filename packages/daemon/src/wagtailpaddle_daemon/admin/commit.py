"""Commits operators' changes to the log and determines their outcome."""

import time
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any
from uuid import uuid4

from twisted.internet.error import ConnectError
from twisted.internet.task import deferLater
from twisted.web.client import RequestNotSent
from wagtailpaddle_config import (
    Append,
    AppendState,
    AppendTracker,
    Applied,
    Change,
    Record,
    Result,
    Void,
)
from wagtailpaddle_core import ErrorKind, Offset
from wagtailpaddle_peer import encode_config_record

from wagtailpaddle_daemon.admin.errors import AdminError, error_from_void
from wagtailpaddle_daemon.admin.ports import AdminPort, Command
from wagtailpaddle_daemon.logclient import LogError

MAX_IN_FLIGHT = 64
MAX_APPENDS = 3
MAX_LOOKUPS = 3
INITIAL_LOOKUP_BACKOFF_S = 0.05


class _NextStep(Enum):
    """The next step after a lookup in the log."""

    CONCLUDE = auto()
    APPEND_AGAIN = auto()
    GIVE_UP = auto()


@dataclass(frozen=True, slots=True)
class Committed:
    """A change that took effect at ``offset``."""

    record_id: str
    offset: Offset


class Committer:
    """Appends changes to the log and determines their outcome.

    If an append got no response, its record id is looked up in the log before
    the append is retried. Every retry carries the same id, so that a change
    never takes effect twice.
    """

    def __init__(self, port: AdminPort, reactor: Any):
        self._port = port
        self._reactor = reactor
        self._n_in_flight = 0

    async def commit(
        self, command: Command, change: Change, *, expected: Offset | None = None
    ) -> Committed:
        """Commit ``change`` and return the offset at which it took effect.

        Raises ``AdminError``: of the kind ``outcome-unknown`` if the change may
        have taken effect or may still do so, of any other kind if it did not.
        """
        record_id = command.record_id or uuid4().hex
        known = self._port.node.fold.result_of(record_id)
        if known is not None:
            return _conclude(known)
        if self._n_in_flight >= MAX_IN_FLIGHT:
            detail = f"{self._n_in_flight} changes are waiting for the log"
            raise AdminError(ErrorKind.OVERLOADED, detail)
        record = Record(record_id, command.operator, time.time(), expected, change)
        self._n_in_flight += 1
        try:
            return await self._append(record)
        finally:
            self._n_in_flight -= 1

    async def _append(self, record: Record) -> Committed:
        tracker = AppendTracker()
        append = tracker.submit(record, self._port.node.fold.next_offset)
        for index in range(MAX_APPENDS):
            await self._append_once(tracker, append, is_first=index == 0)
            next_step = await self._look_up(tracker, record.id)
            if next_step is _NextStep.CONCLUDE:
                result = self._port.node.fold.result_of(record.id)
                assert result is not None
                return _conclude(result)
            if next_step is _NextStep.GIVE_UP:
                break
        raise self._outcome_unknown(tracker, record.id)

    async def _append_once(
        self, tracker: AppendTracker, append: Append, *, is_first: bool
    ) -> None:
        record = append.record
        try:
            await self._port.log_client.append("config", encode_config_record(record))
        except LogError as exc:
            if is_first and _was_not_sent(exc):
                raise AdminError(ErrorKind.LOG_UNAVAILABLE, str(exc)) from None
            tracker.on_append_failed(self._reactor.seconds(), record.id)
        else:
            tracker.on_appended(record.id)

    async def _look_up(self, tracker: AppendTracker, record_id: str) -> _NextStep:
        delay_s = INITIAL_LOOKUP_BACKOFF_S
        for _ in range(MAX_LOOKUPS):
            sent_at = self._reactor.seconds()
            head = await self._port.catch_up()
            if head is not None:
                fold = self._port.node.fold
                appends = tracker.on_log_head(sent_at, head, fold)
                if fold.result_of(record_id) is not None:
                    return _NextStep.CONCLUDE
                if appends:
                    return _NextStep.APPEND_AGAIN
            await deferLater(self._reactor, delay_s)
            delay_s *= 2
        return _NextStep.GIVE_UP

    def _outcome_unknown(self, tracker: AppendTracker, record_id: str) -> AdminError:
        outcome = tracker.outcome(record_id)
        is_recorded = outcome is not None and outcome.state is AppendState.RECORDED
        where = "is in the log" if is_recorded else "may be in the log"
        detail = f"record {record_id!r} {where}, which could not be read back"
        return AdminError(ErrorKind.OUTCOME_UNKNOWN, detail, record=record_id)


def _conclude(result: Result) -> Committed:
    match result:
        case Applied():
            return Committed(result.record_id, result.offset)
        case Void():
            raise error_from_void(result)


def _was_not_sent(exc: LogError) -> bool:
    return isinstance(exc.__cause__, ConnectError | RequestNotSent)
