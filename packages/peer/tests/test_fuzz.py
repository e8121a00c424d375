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

PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=300)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=8,
)


@PROPERTY_SETTINGS
@given(st.binary(max_size=200))
def test_decoding_any_envelope_bytes_raises_only_documented_errors(data):
    with suppress(DecodeError, MessageError):
        decode_envelope(pb.Envelope.FromString(data))


@PROPERTY_SETTINGS
@given(st.binary(max_size=200))
def test_decoding_any_log_bytes_raises_only_record_errors(data):
    with suppress(RecordError):
        decode_log_record(data)


@PROPERTY_SETTINGS
@given(
    st.sampled_from(["PutAccount", "Join", "SnapshotChunk", "ChangeShares", "None"]),
    st.dictionaries(
        st.sampled_from(["id", "author", "at", "expected", "change", "items"]), JSON
    ),
)
def test_decoding_any_log_object_raises_only_record_errors(name, table):
    with suppress(RecordError):
        decode_log_record(msgspec.json.encode({**table, "type": name}))


def test_deep_nesting_raises_a_record_error():
    with pytest.raises(RecordError):
        decode_log_record(b"[" * 100_000)
