import pytest
from wagtailpaddle_config import (
    PublishBase,
    Record,
    SnapshotChunk,
    SnapshotItem,
    WithdrawKey,
)
from wagtailpaddle_fleet import Depart, FleetRecord, Join, Settle, TakeSeat, Vm
from wagtailpaddle_peer.records import (
    RecordError,
    decode_log_record,
    encode_log_record,
)

VM = Vm("10.0.0.1:7/1", "a", "10.0.0.1:80", "10.0.0.1:7", "1")
RECORDS = [
    Record("r", "op", 1.0, 4, WithdrawKey("k"), 7),
    Record("r", "op", 1.0, None, PublishBase({"accounts": {"x": {"rate": 1.5}}})),
    FleetRecord("f", VM.id, 2.0, Join(VM)),
    FleetRecord("f", VM.id, 2.0, Depart("s", VM.id)),
    FleetRecord("f", VM.id, 2.0, TakeSeat("s", VM)),
    FleetRecord("f", VM.id, 2.0, Settle(9)),
    SnapshotChunk(5, 0, 1, "w", 3.0, (SnapshotItem("mark", "x", {"offset": 1}),)),
]


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_record_round_trips(record):
    assert decode_log_record(encode_log_record(record)) == record


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"{}", b'{"type": "Join"}', b'{"type": "x", "change": 1}', b"\xff"],
)
def test_invalid_data_raises_a_record_error(data):
    with pytest.raises(RecordError):
        decode_log_record(data)


def test_deep_nesting_raises_a_record_error():
    depth = 100_000
    with pytest.raises(RecordError):
        decode_log_record(b'{"type":' + b"[" * depth + b"]" * depth + b"}")
