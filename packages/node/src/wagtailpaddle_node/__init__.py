"""The decisions of one daemon as a whole, without I/O."""

from wagtailpaddle_node.follow import RawLogRecord
from wagtailpaddle_node.messages import (
    Append,
    CallPeer,
    NodeAction,
    Replay,
    RequestHead,
    RequestView,
)
from wagtailpaddle_node.node import Node
from wagtailpaddle_node.requests import OPEN_ACCOUNT

__all__ = [
    "OPEN_ACCOUNT",
    "Append",
    "CallPeer",
    "Node",
    "NodeAction",
    "RawLogRecord",
    "Replay",
    "RequestHead",
    "RequestView",
]
