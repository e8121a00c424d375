"""Membership of the proxy fleet: voting seats, freshness and caller directory."""

from typing import TYPE_CHECKING

from wagtailpaddle_core import lazy_attributes

if TYPE_CHECKING:
    from wagtailpaddle_fleet.freshness import FRESHNESS_S, Freshness
    from wagtailpaddle_fleet.incarnations import (
        LIST_LAG_S,
        Incarnations,
        new_incarnation,
        split_vm_id,
        started_at,
        vm_id,
    )
    from wagtailpaddle_fleet.membership import Membership
    from wagtailpaddle_fleet.messages import (
        AcceptanceState,
        Action,
        AppendRecord,
        CallerAddresses,
        Depart,
        FleetRecord,
        FoldRecords,
        HandOverAnswer,
        HandOverSeats,
        Join,
        ListedVm,
        OffsetAnswer,
        OffsetQuery,
        PeerAnswer,
        PeerMessage,
        RawRecord,
        RecordsAnswer,
        RecordsQuery,
        RestoreSnapshot,
        SeatChange,
        SeatId,
        SendPeer,
        Settle,
        SnapshotAnswer,
        SnapshotQuery,
        TakeSeat,
        Vm,
    )
    from wagtailpaddle_fleet.roster import Roster, Seat

__all__ = [
    "FRESHNESS_S",
    "LIST_LAG_S",
    "Incarnations",
    "Roster",
    "Seat",
    "new_incarnation",
    "started_at",
    "split_vm_id",
    "vm_id",
    "AcceptanceState",
    "Action",
    "AppendRecord",
    "CallerAddresses",
    "Depart",
    "FleetRecord",
    "FoldRecords",
    "Freshness",
    "HandOverAnswer",
    "HandOverSeats",
    "Join",
    "ListedVm",
    "Membership",
    "OffsetAnswer",
    "OffsetQuery",
    "PeerAnswer",
    "PeerMessage",
    "RawRecord",
    "RecordsAnswer",
    "RecordsQuery",
    "RestoreSnapshot",
    "SeatChange",
    "SeatId",
    "SendPeer",
    "Settle",
    "SnapshotAnswer",
    "SnapshotQuery",
    "TakeSeat",
    "Vm",
]

if not TYPE_CHECKING:
    __getattr__ = lazy_attributes(
        __name__,
        __all__,
        ["messages", "incarnations", "freshness", "roster", "membership"],
    )
