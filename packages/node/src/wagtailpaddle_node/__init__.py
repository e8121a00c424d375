"""The decisions of one daemon as a whole, without I/O."""

from wagtailpaddle_node.messages import RequestHead
from wagtailpaddle_node.node import Node

__all__ = ["Node", "RequestHead"]
