"""Codec of log records and the gRPC service between daemons."""

from wagtailpaddle_peer.codec import Acknowledged, Failed, MessageError
from wagtailpaddle_peer.records import (
    LogRecord,
    RecordError,
    decode_log_record,
    decode_record,
    encode_log_record,
    encode_record,
)
from wagtailpaddle_peer.service import PeerClient, PeerError, PeerServer

__all__ = [
    "Acknowledged",
    "Failed",
    "LogRecord",
    "MessageError",
    "PeerClient",
    "PeerError",
    "PeerServer",
    "RecordError",
    "decode_log_record",
    "decode_record",
    "encode_log_record",
    "encode_record",
]
