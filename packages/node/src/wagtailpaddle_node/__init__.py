"""Combines the decision packages into the complete logic of a daemon, without I/O."""

from typing import TYPE_CHECKING

from wagtailpaddle_core import lazy_attributes

if TYPE_CHECKING:
    from wagtailpaddle_node.config_stream import RawLogRecord
    from wagtailpaddle_node.explanation import Explanation, RequestDescription
    from wagtailpaddle_node.messages import (
        Append,
        CallPeer,
        ConfigState,
        LogEvent,
        NodeAction,
        Replay,
        RequestHead,
        RequestView,
    )
    from wagtailpaddle_node.node import Node
    from wagtailpaddle_node.replica_membership import ReplicaSettings
    from wagtailpaddle_node.replica_node import ReplicaNode
    from wagtailpaddle_node.request_node import RequestNode
    from wagtailpaddle_node.request_table import OPEN_ACCOUNT

__all__ = [
    "OPEN_ACCOUNT",
    "Append",
    "CallPeer",
    "ConfigState",
    "Explanation",
    "Node",
    "NodeAction",
    "LogEvent",
    "RawLogRecord",
    "Replay",
    "ReplicaNode",
    "ReplicaSettings",
    "RequestDescription",
    "RequestHead",
    "RequestNode",
    "RequestView",
]

if not TYPE_CHECKING:
    __getattr__ = lazy_attributes(
        __name__,
        __all__,
        [
            "messages",
            "explanation",
            "request_table",
            "request_node",
            "replica_membership",
            "replica_node",
            "config_stream",
            "node",
        ],
    )
