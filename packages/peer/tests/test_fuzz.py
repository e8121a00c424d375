"""Fuzz tests: invalid input to the decoders raises only the documented errors."""

from contextlib import suppress

import msgspec
import pytest
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_peer import MessageError, RecordError, decode_log_record
from wagtailpaddle_peer import peer_pb2 as pb
from wagtailpaddle_peer.envelope import decode_envelope

BOUNDED = settings(derandomize=True, deadline=None, max_examples=300)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@BOUNDED
@given(st.binary(max_size=200))
def test_any_bytes_of_a_peer(data):
    with suppress(DecodeError, MessageError):
        decode_envelope(pb.Envelope.FromString(data))


@BOUNDED
@given(st.binary(max_size=200))
def test_any_bytes_of_the_log(data):
    with suppress(RecordError):
        decode_log_record(data)


@BOUNDED
@given(
    st.sampled_from(["PutAccount", "Join", "SnapshotChunk", "ChangeShares", "None"]),
    st.dictionaries(
        st.sampled_from(["id", "author", "at", "expected", "change", "items"]), JSON
    ),
)
def test_any_table_of_the_log(name, table):
    with suppress(RecordError):
        decode_log_record(msgspec.json.encode({**table, "type": name}))


def test_deep_nesting_is_a_typed_error():
    with pytest.raises(RecordError):
        decode_log_record(b"[" * 100_000)
