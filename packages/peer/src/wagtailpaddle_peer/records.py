"""The JSON codec of log records."""

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
    SnapshotChunk,
    WithdrawKey,
)
from wagtailpaddle_core import Registry, VmId
from wagtailpaddle_fleet import (
    Depart,
    FleetRecord,
    Join,
    SeatChange,
    Settle,
    TakeSeat,
)
from wagtailpaddle_quota import ChangeShares, ShareSnapshot

LogRecord = Record | FleetRecord | SnapshotChunk | ChangeShares | ShareSnapshot

CONFIG_CHANGE_TYPES: Registry[type] = Registry("change")
for _change_type in (
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
    CONFIG_CHANGE_TYPES.register(_change_type.__name__)(_change_type)

SEAT_CHANGE_TYPES: Registry[type] = Registry("seat change")
for _seat_change_type in (Join, Depart, TakeSeat, Settle):
    SEAT_CHANGE_TYPES.register(_seat_change_type.__name__)(_seat_change_type)

RECORD_TYPES: Registry[type] = Registry("record")
for _record_type in (SnapshotChunk, ChangeShares, ShareSnapshot):
    RECORD_TYPES.register(_record_type.__name__)(_record_type)


class RecordError(ValueError):
    """Bytes read from the log do not encode a valid record."""


def encode_log_record(record: LogRecord) -> bytes:
    """Return the JSON encoding of a record of any log stream."""
    fields = msgspec.to_builtins(record)
    if isinstance(record, Record | FleetRecord):
        fields["type"] = type(record.change).__name__
    else:
        fields["type"] = type(record).__name__
    return msgspec.json.encode(fields)


def decode_log_record(data: bytes) -> LogRecord:
    """Return the record that ``data`` encodes. Raises ``RecordError``.

    When it raises, callers skip the record's offset with ``ConfigFold.skip``.
    """
    try:
        fields: dict[str, Any] = msgspec.json.decode(data, type=dict)
        name = fields.pop("type")
        if name in RECORD_TYPES:
            return msgspec.convert(fields, RECORD_TYPES[name])
        if name in SEAT_CHANGE_TYPES:
            return _decode_fleet_record(fields, SEAT_CHANGE_TYPES[name])
        return _decode_config_record(fields, CONFIG_CHANGE_TYPES[name])
    except (msgspec.MsgspecError, KeyError, TypeError, RecursionError) as exc:
        raise RecordError(f"not a log record: {exc}") from None


class LogCodec:
    """Encodes and decodes log records; passed to code that must not import a codec."""

    def encode(self, record: LogRecord) -> bytes:
        """Return the JSON encoding of ``record``."""
        return encode_log_record(record)

    def decode(self, data: bytes) -> LogRecord:
        """Return the record that ``data`` encodes. Raises ``RecordError``."""
        return decode_log_record(data)


def encode_config_record(record: Record) -> bytes:
    """Return the JSON encoding of a configuration record."""
    return encode_log_record(record)


def decode_config_record(data: bytes) -> Record:
    """Return the configuration record in ``data``. Raises ``RecordError``."""
    record = decode_log_record(data)
    if not isinstance(record, Record):
        raise RecordError(f"not a configuration record: {type(record).__name__}")
    return record


def _decode_config_record(fields: dict[str, Any], change_type: type) -> Record:
    change: Change = msgspec.convert(fields.pop("change"), change_type)
    return Record(
        id=msgspec.convert(fields["id"], str),
        author=msgspec.convert(fields["author"], str),
        at=msgspec.convert(fields["at"], float),
        expected=msgspec.convert(fields["expected"], int | None),
        change=change,
        appended_after=msgspec.convert(fields.get("appended_after"), int | None),
    )


def _decode_fleet_record(fields: dict[str, Any], change_type: type) -> FleetRecord:
    change: SeatChange = msgspec.convert(fields.pop("change"), change_type)
    return FleetRecord(
        id=msgspec.convert(fields["id"], str),
        author=VmId(msgspec.convert(fields["author"], str)),
        at=msgspec.convert(fields["at"], float),
        change=change,
    )
