"""The codec of log records, and the gRPC service between daemons."""

from typing import TYPE_CHECKING

from wagtailpaddle_core import lazy_attributes

if TYPE_CHECKING:
    from wagtailpaddle_peer.envelope import MessageError
    from wagtailpaddle_peer.messages import Acknowledged, Failed
    from wagtailpaddle_peer.records import (
        LogCodec,
        LogRecord,
        RecordError,
        decode_config_record,
        decode_log_record,
        encode_config_record,
        encode_log_record,
    )
    from wagtailpaddle_peer.service import PeerClient, PeerError, PeerServer, Security

__all__ = [
    "Acknowledged",
    "Failed",
    "LogCodec",
    "LogRecord",
    "MessageError",
    "PeerClient",
    "PeerError",
    "PeerServer",
    "Security",
    "RecordError",
    "decode_log_record",
    "decode_config_record",
    "encode_log_record",
    "encode_config_record",
]

if not TYPE_CHECKING:
    __getattr__ = lazy_attributes(
        __name__, __all__, ["messages", "envelope", "service", "records"]
    )
