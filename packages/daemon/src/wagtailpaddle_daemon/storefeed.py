"""Executes the node's reads and writes of the platform's store."""

from collections.abc import Callable
from typing import Any

from wagtailpaddle_core import ErrorKind
from wagtailpaddle_node import NodeAction, ReplicaNode
from wagtailpaddle_replica import Batch, ReadStore, WriteMember

from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.reactor_util import start_coroutine
from wagtailpaddle_daemon.store import Store, StoreError

log = get_logger("store")


class StoreFeed:
    """Reads and writes for the node; logs outages of the store and their end."""

    def __init__(
        self,
        reactor: Any,
        node: ReplicaNode,
        store: Store,
        carry_out: Callable[[tuple[NodeAction, ...]], None],
    ):
        self._reactor = reactor
        self._node = node
        self._store = store
        self._carry_out = carry_out
        self._unavailable_since: float | None = None

    def read(self, action: ReadStore) -> None:
        """Execute a read and report its result to the node."""
        start_coroutine(self._read(action))

    def write(self, action: WriteMember) -> None:
        """Execute a write and report its result to the node."""
        start_coroutine(self._write(action))

    async def _read(self, action: ReadStore) -> None:
        sent_at = self._reactor.seconds()
        try:
            batch: Batch = await self._store.read(
                action.collection, action.start, whole=action.whole
            )
        except StoreError as exc:
            self._log_failure(exc)
            now = self._reactor.seconds()
            self._carry_out(self._node.on_read_failed(now, action.collection))
            return
        now = self._reactor.seconds()
        self._log_recovery(now)
        self._carry_out(self._node.on_read(now, sent_at, batch))

    async def _write(self, action: WriteMember) -> None:
        done, era = True, 0
        try:
            era = await self._store.write_member(action.address, action.member)
        except StoreError as exc:
            done = False
            self._log_failure(exc)
        now = self._reactor.seconds()
        self._node.on_written(now, action.address, done=done, era=era)

    def _log_failure(self, exc: StoreError) -> None:
        if self._unavailable_since is not None:
            log.debug("Call failed.", error=str(exc))
            return
        self._unavailable_since = self._reactor.seconds()
        kind = ErrorKind.LOG_UNAVAILABLE
        log.warning("Lost the store.", kind=kind.value, error=str(exc))

    def _log_recovery(self, now: float) -> None:
        if self._unavailable_since is not None:
            log.info(
                "Regained the store.", away_s=round(now - self._unavailable_since, 2)
            )
            self._unavailable_since = None
