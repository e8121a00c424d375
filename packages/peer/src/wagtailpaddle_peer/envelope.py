"""Encoding of peer messages in ``Envelope``, the protobuf message of the service."""

from typing import Any

from wagtailpaddle_core import VmId

from wagtailpaddle_peer import peer_pb2 as pb
from wagtailpaddle_peer.messages import FIELD_BY_TYPE, MESSAGE_TYPES
from wagtailpaddle_peer.protobuf_conversion import (
    ConversionError,
    fill_message,
    read_message,
)


class MessageError(ValueError):
    """An envelope has no body, or one of an unknown type or with invalid fields."""


def encode_envelope(sender: VmId, body: Any, *, receiver: str = "") -> pb.Envelope:
    """Return an envelope that contains ``body``.

    With a ``receiver`` only that incarnation of a VM answers it; without, any
    VM that listens on the address does.
    """
    envelope = pb.Envelope(sender=sender, receiver=receiver)
    target = getattr(envelope, FIELD_BY_TYPE[type(body)])
    target.SetInParent()
    fill_message(target, body)
    return envelope


def decode_envelope(envelope: pb.Envelope) -> tuple[VmId, Any]:
    """Return the sender and the message of an envelope. Raises ``MessageError``."""
    field = envelope.WhichOneof("body")
    if field is None:
        raise MessageError(f"envelope from {envelope.sender!r} has no known body")
    try:
        body = read_message(getattr(envelope, field), MESSAGE_TYPES[field])
    except ConversionError as exc:
        raise MessageError(f"{field} from {envelope.sender!r}: {exc}") from None
    return VmId(envelope.sender), body
