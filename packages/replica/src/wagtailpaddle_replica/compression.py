"""Compression of large records that are sent to other VMs.

The operators' document is sent to every follower. Without compression, a dozen
copies of a large document take seconds over the link of a small relay.
"""

import zlib
from dataclasses import replace

from wagtailpaddle_replica.messages import Record

COMPRESS_ABOVE_BYTES = 1024
FASTEST_LEVEL = 1
"""The fastest compression level of zlib."""


def compress(record: Record) -> Record:
    """Return a record with its data compressed if it is large.

    >>> compress(Record("a", 0, b"short")).is_packed
    False
    """
    data = record.data
    if record.is_packed or data is None or len(data) <= COMPRESS_ABOVE_BYTES:
        return record
    return replace(record, data=zlib.compress(data, FASTEST_LEVEL), is_packed=True)


def decompress(record: Record) -> Record:
    """Return a record with its original, uncompressed data.

    Raises ``ValueError`` if the data is damaged.
    """
    if not record.is_packed or record.data is None:
        return record
    try:
        data = zlib.decompress(record.data)
    except zlib.error as exc:
        raise ValueError(f"record {record.key!r} is damaged: {exc}") from None
    return replace(record, data=data, is_packed=False)
