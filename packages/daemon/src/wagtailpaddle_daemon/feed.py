"""Reads and appends to the log and reads the list of VMs for the node."""

import time
from collections.abc import Callable
from typing import Any

from wagtailpaddle_core import Offset
from wagtailpaddle_node import Append, Node, NodeAction, RawLogRecord
from wagtailpaddle_peer import encode_log_record

from wagtailpaddle_daemon.logclient import LogClient, LogError, LogRead, LogTrimmed
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.vmlist import VmListClient, VmListError

CONFIG_STREAM = "config"
SHARES_STREAM = "shares"

log = get_logger("feed")

CarryOut = Callable[[tuple[NodeAction, ...]], None]


class Feed:
    """Executes the node's log reads and appends and reads the list of VMs."""

    def __init__(
        self,
        reactor: Any,
        node: Node,
        log_client: LogClient,
        vm_list: VmListClient,
        carry_out: CarryOut,
    ):
        self._reactor = reactor
        self._node = node
        self._log_client = log_client
        self._vm_list = vm_list
        self._carry_out = carry_out
        self._is_log_unavailable = False
        self._is_list_unavailable = False

    async def catch_up(self) -> Offset | None:
        """Fold the ``config`` stream; return its head, None if it did not answer."""
        while True:
            sent_at = self._reactor.seconds()
            start, _ = self._node.read_from
            try:
                read = await self._log_client.read(CONFIG_STREAM, start)
            except LogTrimmed as exc:
                self._node.on_config_trimmed(exc.first)
                continue
            except LogError as exc:
                self._log_availability(exc)
                return None
            self._log_availability(None)
            actions = self._node.on_config_read(
                self._reactor.seconds(),
                sent_at,
                _raw_records(read),
                read.first,
                read.head,
            )
            self._carry_out(actions)
            next_start, _ = self._node.read_from
            if next_start >= read.head or next_start == start:
                return read.head

    async def read_shares(self) -> None:
        """Fold the ``shares`` stream."""
        while True:
            sent_at = self._reactor.seconds()
            _, start = self._node.read_from
            try:
                read = await self._read_or_skip_trimmed(SHARES_STREAM, start)
            except LogError as exc:
                self._log_availability(exc)
                return
            actions = self._node.on_shares_read(
                self._reactor.seconds(),
                sent_at,
                _raw_records(read),
                read.first,
                read.head,
            )
            self._carry_out(actions)
            _, next_start = self._node.read_from
            if next_start >= read.head or next_start == start:
                return

    async def read_vm_list(self) -> None:
        """Read the platform's list of VMs and pass it to the node."""
        try:
            entries = await self._vm_list.read()
        except VmListError as exc:
            if not self._is_list_unavailable:
                log.warning("The list of VMs does not answer.", error=str(exc))
            self._is_list_unavailable = True
            return
        self._is_list_unavailable = False
        self._carry_out(self._node.on_vm_list(self._reactor.seconds(), entries))

    def append(self, append: Append) -> None:
        """Append a record; report to the node if the append was not confirmed."""
        data = encode_log_record(append.record)  # type: ignore[arg-type]
        appended = self._log_client.append(append.stream, data)
        appended.addErrback(lambda _: self._append_failed(append))

    def write_snapshots(self) -> None:
        """Append the snapshot records that are due."""
        for append in self._node.due_snapshots(time.time()):
            self.append(append)

    async def _read_or_skip_trimmed(self, stream: str, start: Offset) -> LogRead:
        try:
            return await self._log_client.read(stream, start)
        except LogTrimmed as exc:
            return await self._log_client.read(stream, exc.first)

    def _append_failed(self, append: Append) -> None:
        self._node.on_append_failed(self._reactor.seconds(), append)

    def _log_availability(self, exc: LogError | None) -> None:
        if exc is not None and not self._is_log_unavailable:
            log.warning("The log does not answer.", error=str(exc))
        if exc is None and self._is_log_unavailable:
            log.info("The log answers again.")
        self._is_log_unavailable = exc is not None


def _raw_records(read: LogRead) -> tuple[RawLogRecord, ...]:
    return tuple(RawLogRecord(offset, data) for offset, data in read.records)
