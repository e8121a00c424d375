import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_core import VmId
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_peer import MessageError
from wagtailpaddle_peer import peer_pb2 as pb
from wagtailpaddle_peer.envelope import decode_envelope, encode_envelope
from wagtailpaddle_peer.messages import MESSAGE_TYPES

MESSAGE_CLASSES = [MESSAGE_TYPES[name] for name in MESSAGE_TYPES.names()]
PROPERTY_SETTINGS = settings(derandomize=True, deadline=None, max_examples=20)

# Every other status is refused, see below.
st.register_type_strategy(
    StoredAnswer,
    st.builds(
        StoredAnswer,
        status=st.integers(200, 599),
        headers=st.from_type(tuple[tuple[str, str], ...]),
        body=st.binary(),
    ),
)
st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False))
st.register_type_strategy(str, st.text(st.characters(codec="utf-8"), max_size=8))


@pytest.mark.parametrize("kind", MESSAGE_CLASSES, ids=MESSAGE_TYPES.names())
def test_every_message_round_trips(kind):
    @PROPERTY_SETTINGS
    @given(st.from_type(kind))
    def round_trips(body):
        data = encode_envelope(VmId("vm"), body).SerializeToString()
        assert decode_envelope(pb.Envelope.FromString(data)) == ("vm", body)

    round_trips()


def test_every_field_of_the_envelope_is_registered():
    names = {field.name for field in pb.Envelope.DESCRIPTOR.oneofs[0].fields}
    assert names == set(MESSAGE_TYPES.names())


def test_envelope_without_a_body_is_an_error():
    with pytest.raises(MessageError, match="'vm' has no known body"):
        decode_envelope(pb.Envelope(sender="vm"))


def test_unknown_enumeration_value_is_an_error():
    envelope = pb.Envelope(sender="vm", placed=pb.Placed(vote="maybe"))
    with pytest.raises(MessageError, match="maybe"):
        decode_envelope(envelope)


@pytest.mark.parametrize("status", [-1, 0, 101, 600])
def test_stored_answer_without_a_valid_status_is_an_error(status):
    """Guards against a peer's odd status as the answer to a repeated request."""
    answer = pb.StoredAnswer(status=status)
    envelope = pb.Envelope(sender="vm", store=pb.Store(answer=answer, state="done"))
    with pytest.raises(MessageError, match=f"{status} is not the status"):
        decode_envelope(envelope)
