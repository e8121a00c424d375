"""Envelopes: one protobuf message that carries any message between daemons."""

from typing import Any

from wagtailpaddle_core import VmId

from wagtailpaddle_peer import peer_pb2 as pb
from wagtailpaddle_peer.messages import FIELD_OF, MESSAGES
from wagtailpaddle_peer.wire import WireError, fill, read


class MessageError(ValueError):
    """An envelope that carries no known or no valid message."""


def encode_envelope(sender: VmId, body: Any, *, receiver: str = "") -> pb.Envelope:
    """Return the envelope that carries ``body`` to ``receiver``, if one is meant."""
    envelope = pb.Envelope(sender=sender, receiver=receiver)
    held = getattr(envelope, FIELD_OF[type(body)])
    held.SetInParent()
    fill(held, body)
    return envelope


def decode_envelope(envelope: pb.Envelope) -> tuple[VmId, Any]:
    """Return the sender and message of an envelope. Raises ``MessageError``."""
    field = envelope.WhichOneof("body")
    if field is None:
        raise MessageError(f"envelope from {envelope.sender!r} has no known body")
    try:
        body = read(getattr(envelope, field), MESSAGES[field])
    except WireError as exc:
        raise MessageError(f"{field} from {envelope.sender!r}: {exc}") from None
    return VmId(envelope.sender), body
