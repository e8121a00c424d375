"""JSON codec of the records in the log."""

from typing import Any

import msgspec
from wagtailpaddle_config import (
    CancelAccount,
    Change,
    IssueKey,
    PublishBase,
    PublishOverlay,
    PutAccount,
    PutRoute,
    Record,
    RemoveRoute,
    RestoreAccount,
    WithdrawKey,
)
from wagtailpaddle_core import Registry

CHANGES: Registry[type] = Registry("change")
for _kind in (
    PutAccount,
    CancelAccount,
    RestoreAccount,
    PutRoute,
    RemoveRoute,
    IssueKey,
    WithdrawKey,
    PublishBase,
    PublishOverlay,
):
    CHANGES.register(_kind.__name__)(_kind)


class RecordError(ValueError):
    """Bytes of the log that are no record."""


def encode_record(record: Record) -> bytes:
    """Return the JSON form of a record."""
    table = msgspec.to_builtins(record)
    table["type"] = type(record.change).__name__
    return msgspec.json.encode(table)


def decode_record(data: bytes) -> Record:
    """Return the record that ``data`` encodes. Raises ``RecordError``."""
    try:
        table: dict[str, Any] = msgspec.json.decode(data, type=dict)
        kind = CHANGES[table.pop("type")]
        change: Change = msgspec.convert(table.pop("change"), kind)
        return Record(
            id=msgspec.convert(table["id"], str),
            author=msgspec.convert(table["author"], str),
            at=msgspec.convert(table["at"], float),
            expected=msgspec.convert(table["expected"], int | None),
            change=change,
        )
    except (msgspec.MsgspecError, KeyError, TypeError) as exc:
        raise RecordError(f"not a record: {exc}") from None
