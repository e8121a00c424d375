"""Snapshots between VMs: configuration, seats and shares in one state."""

from collections.abc import Iterable
from typing import Any, Protocol

from wagtailpaddle_config import SnapshotChunk, SnapshotCollector, SnapshotProvider
from wagtailpaddle_core import Offset, VmId
from wagtailpaddle_fleet import SnapshotAnswer
from wagtailpaddle_quota import ShareRateLimiter

from wagtailpaddle_node.config_stream import ConfigStream
from wagtailpaddle_node.share_items import items_from_shares, shares_from_items


class Codec(Protocol):
    """Encodes and decodes records of the log."""

    def encode(self, record: Any) -> bytes:
        """Return the encoding of a record."""

    def decode(self, data: bytes) -> Any:
        """Return the record encoded in ``data``. Raises ``ValueError``."""


class PeerSnapshots:
    """Sends the folded state to peers and restores the state from theirs.

    Used by a VM whose next record is no longer retained by the log, or that
    starts while the log is unavailable. ``writer`` is this VM's id in the chunks
    that it sends.
    """

    def __init__(
        self,
        stream: ConfigStream,
        quota: ShareRateLimiter,
        codec: Codec,
        *,
        writer: VmId,
    ):
        self._config_stream = stream
        self._quota = quota
        self._codec = codec
        self._provider = SnapshotProvider(self._items, writer=writer)

    def offer_chunk(self, now: float, upto: Offset, index: int) -> SnapshotAnswer:
        """Return one chunk of the state for a peer, empty if it does not exist."""
        chunk = self._provider.chunk(now, upto, index)
        if chunk is None:
            return SnapshotAnswer(upto, index, 0, b"")
        data = self._codec.encode(chunk)
        return SnapshotAnswer(chunk.upto, chunk.index, chunk.n_chunks, data)

    def restore(self, now: float, chunks: Iterable[bytes]) -> bool:
        """Restore a peer's state; return False if it cannot be decoded."""
        collector = SnapshotCollector()
        for data in chunks:
            try:
                chunk = self._codec.decode(data)
            except ValueError:
                return False
            if not isinstance(chunk, SnapshotChunk):
                return False
            snapshot = collector.add(chunk)
            if snapshot is None:
                continue
            try:
                next_offset, entries = shares_from_items(snapshot.items)
            except ValueError:
                return False
            self._config_stream.restore(now, snapshot)
            self._quota.load(now, next_offset, entries)
        return True

    def _items(self) -> tuple[Offset, tuple[Any, ...]]:
        upto, items = self._config_stream.items()
        shares = items_from_shares(self._quota.next_offset, self._quota.state())
        return upto, items + shares
