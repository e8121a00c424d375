"""Compression of large records on their way to other VMs.

A document of the operators goes to every VM that follows; over the link of a small
relay, a dozen copies of a large one take seconds.
"""

import zlib
from dataclasses import replace

from wagtailpaddle_replica.messages import Record

PACK_ABOVE_BYTES = 1024
FAST = 1
"""Compression level of zlib that costs the least time."""


def pack(record: Record) -> Record:
    """Return a record with its data compressed, if that is worth it.

    >>> pack(Record("a", 0, b"short")).is_packed
    False
    """
    data = record.data
    if record.is_packed or data is None or len(data) <= PACK_ABOVE_BYTES:
        return record
    return replace(record, data=zlib.compress(data, FAST), is_packed=True)


def unpack(record: Record) -> Record:
    """Return a record with its data as it was written.

    Raises ``ValueError`` for data that is damaged.
    """
    if not record.is_packed or record.data is None:
        return record
    try:
        data = zlib.decompress(record.data)
    except zlib.error as exc:
        raise ValueError(f"record {record.key!r} is damaged: {exc}") from None
    return replace(record, data=data, is_packed=False)
