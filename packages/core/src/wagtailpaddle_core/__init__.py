"""Ids, error kinds, registries and invariants shared by every package."""

from wagtailpaddle_core.errors import ANSWERS, Answer, ErrorKind, Outcome, WagtailError
from wagtailpaddle_core.ids import (
    AccountId,
    KeyId,
    Offset,
    RequestId,
    RouteId,
    ServerId,
    ServiceId,
    VmId,
    ZoneId,
)
from wagtailpaddle_core.invariants import InvariantError, ensure
from wagtailpaddle_core.lazy import lazy_attributes
from wagtailpaddle_core.registry import Registry
from wagtailpaddle_core.rendezvous import rank, score
from wagtailpaddle_core.statuses import is_final_status
from wagtailpaddle_core.tables import only

__all__ = [
    "ANSWERS",
    "AccountId",
    "Answer",
    "ErrorKind",
    "InvariantError",
    "KeyId",
    "Offset",
    "Outcome",
    "Registry",
    "RequestId",
    "RouteId",
    "ServerId",
    "ServiceId",
    "VmId",
    "WagtailError",
    "ZoneId",
    "ensure",
    "is_final_status",
    "lazy_attributes",
    "only",
    "rank",
    "score",
]
