"""Protobuf codec of the messages between daemons."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wagtailpaddle_core import Registry, ServerId, ServiceId, VmId
from wagtailpaddle_health import HealthDigest, ServerDigest

from wagtailpaddle_peer import peer_pb2 as pb


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The peer took the message in."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The peer could not act on the message."""

    reason: str


class MessageError(ValueError):
    """An envelope that carries no known or no valid message."""


@dataclass(frozen=True, slots=True)
class Codec:
    """Both directions for one field of the envelope."""

    kind: type
    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]


CODECS: Registry[Codec] = Registry("message")
_FIELD_OF: dict[type, str] = {}


def message(field: str, kind: type) -> Callable[[type], type]:
    """Return a decorator that files a class of encode and decode functions."""

    def decorate(functions: Any) -> Any:
        CODECS.register(field)(Codec(kind, functions.encode, functions.decode))
        _FIELD_OF[kind] = field
        return functions

    return decorate


def encode_envelope(sender: VmId, body: object) -> pb.Envelope:
    """Return the envelope that carries ``body``."""
    field = _FIELD_OF[type(body)]
    return pb.Envelope(sender=sender, **{field: CODECS[field].encode(body)})


def decode_envelope(envelope: pb.Envelope) -> tuple[VmId, Any]:
    """Return the sender and message of an envelope. Raises ``MessageError``."""
    field = envelope.WhichOneof("body")
    if field is None or field not in CODECS:
        raise MessageError(f"envelope from {envelope.sender!r} has no known body")
    try:
        body = CODECS[field].decode(getattr(envelope, field))
    except (ValueError, TypeError) as exc:
        raise MessageError(f"{field} from {envelope.sender!r}: {exc}") from None
    return VmId(envelope.sender), body


@message("acknowledged", Acknowledged)
class _Acknowledged:
    @staticmethod
    def encode(body: Acknowledged) -> pb.Acknowledged:
        return pb.Acknowledged()

    @staticmethod
    def decode(wire: pb.Acknowledged) -> Acknowledged:
        return Acknowledged()


@message("failed", Failed)
class _Failed:
    @staticmethod
    def encode(body: Failed) -> pb.Failed:
        return pb.Failed(reason=body.reason)

    @staticmethod
    def decode(wire: pb.Failed) -> Failed:
        return Failed(wire.reason)


@message("health_digest", HealthDigest)
class _HealthDigest:
    @staticmethod
    def encode(body: HealthDigest) -> pb.HealthDigest:
        servers = [
            pb.ServerDigest(
                server=item.server,
                n_success=item.n_success,
                n_failure=item.n_failure,
                latency_s=item.latency_s,
            )
            for item in body.servers
        ]
        return pb.HealthDigest(vm=body.vm, service=body.service, servers=servers)

    @staticmethod
    def decode(wire: pb.HealthDigest) -> HealthDigest:
        servers = tuple(
            ServerDigest(
                ServerId(item.server), item.n_success, item.n_failure, item.latency_s
            )
            for item in wire.servers
        )
        return HealthDigest(VmId(wire.vm), ServiceId(wire.service), servers)
