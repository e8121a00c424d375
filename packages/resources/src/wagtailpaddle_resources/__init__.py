"""Bounds on the memory and the connections that clients of a VM hold."""

from wagtailpaddle_resources.budget import ResourceBudget, make_budget
from wagtailpaddle_resources.connection import Connection, ConnectionId, Phase
from wagtailpaddle_resources.ledger import Close, ConnectionLedger, Reason

__all__ = [
    "Close",
    "Connection",
    "ConnectionId",
    "ConnectionLedger",
    "Phase",
    "Reason",
    "ResourceBudget",
    "make_budget",
]
