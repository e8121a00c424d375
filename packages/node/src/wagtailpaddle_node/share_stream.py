"""Folds the ``shares`` stream, read from the log or confirmed by the seats."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from wagtailpaddle_core import Offset, VmId
from wagtailpaddle_fleet import Membership
from wagtailpaddle_quota import ChangeShares, ShareRateLimiter, ShareSnapshot

from wagtailpaddle_node.config_stream import RawLogRecord

SNAPSHOT_INTERVAL_RECORDS = 5000
LOG_SILENCE_TIMEOUT_S = 0.7
SHARES_QUERY_INTERVAL_S = 1.0


class ShareStream:
    """Passes the records of the ``shares`` stream to the rate limiter.

    A record that cannot be decoded is void on every VM. It is folded as an empty
    change, so that the offset still advances.
    """

    def __init__(
        self,
        quota: ShareRateLimiter,
        membership: Membership,
        decode: Callable[[bytes], Any],
    ):
        self.n_unreadable = 0
        self._quota = quota
        self._membership = membership
        self._rng = Random(str(membership.vm.id))
        self._next_query_at = float("-inf")
        self._decode = decode
        self._first: Offset = 0
        self._head: Offset = 0
        self._snapshot_at: Offset = 0

    def on_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> None:
        """Process the answer to a read that was sent at ``sent_at``."""
        self._first, self._head = first, head
        for raw in records:
            record = self._decode_record(raw)
            if isinstance(record, ShareSnapshot):
                self._snapshot_at = max(self._snapshot_at, raw.offset)
            self._quota.on_record(now, raw.offset, record)
        self._quota.on_confirmed(now, sent_at, head)
        self._membership.shares.on_log_head(sent_at, head)

    def poll(self, now: float) -> str | None:
        """Pass confirmations of the seats to the rate limiter.

        Called several times a second.
        While the log is unavailable, returns at intervals the address of a VM to
        query for its share state: one that has folded more records, else a
        random one, since it may have received more hand-overs.
        """
        quota, seats = self._quota, self._membership.shares
        seats.awaited_offset = quota.unsettled
        if seats.awaited_offset is not None:
            fresh_at = self._membership.freshness.confirmed_at
            quota.on_settled(now, fresh_at, seats.settled_upto())
        quota.log_available = now - seats.log_confirmed_at <= LOG_SILENCE_TIMEOUT_S
        if quota.log_available:
            return None
        quota.on_confirmed(now, seats.confirmed_at(now), quota.next_offset)
        if now < self._next_query_at:
            return None
        self._next_query_at = now + SHARES_QUERY_INTERVAL_S
        others = [vm.peer_address for vm in self._membership.vms(now)]
        own = self._membership.vm.peer_address
        others = [address for address in others if address != own]
        return seats.peer_ahead() or (self._rng.choice(others) if others else None)

    def due_snapshot(self) -> tuple[ShareSnapshot, ...]:
        """Return the snapshot records of all shares if a snapshot is due."""
        if not self._snapshot_is_due():
            return ()
        self._snapshot_at = self._head
        return self._quota.snapshot_records()

    def _decode_record(self, raw: RawLogRecord) -> ChangeShares | ShareSnapshot:
        try:
            record = self._decode(raw.data)
        except ValueError:
            record = None
        if isinstance(record, ChangeShares | ShareSnapshot):
            return record
        self.n_unreadable += 1
        return ChangeShares(f"unreadable/{raw.offset}", VmId(""), ())

    def _snapshot_is_due(self) -> bool:
        if self._quota.next_offset < self._head:
            return False
        n_since_snapshot = self._head - self._snapshot_at
        if n_since_snapshot >= SNAPSHOT_INTERVAL_RECORDS:
            return True
        halfway = (self._snapshot_at + self._head) // 2
        return self._first > 0 and self._first >= halfway
