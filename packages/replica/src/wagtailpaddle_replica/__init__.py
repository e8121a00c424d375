"""A local copy of the store's records, read from the store or from other VMs."""

from wagtailpaddle_replica.collection_copy import Change, CollectionCopy
from wagtailpaddle_replica.members import Members
from wagtailpaddle_replica.messages import (
    Batch,
    Collection,
    Era,
    Follow,
    FollowVm,
    Member,
    NotifyFollowers,
    Position,
    ReadStore,
    Record,
    ReplicaAction,
    Sightings,
    Update,
    WriteMember,
)
from wagtailpaddle_replica.own_reads import DEFAULT_APPLY_S
from wagtailpaddle_replica.replica import (
    ACTIVE_HOLD_S,
    OUTAGE_GRACE_S,
    CollectionChanges,
    Replica,
    StepResult,
)
from wagtailpaddle_replica.topology import active_vms, relays, upstreams

__all__ = [
    "ACTIVE_HOLD_S",
    "DEFAULT_APPLY_S",
    "OUTAGE_GRACE_S",
    "Batch",
    "Change",
    "Collection",
    "CollectionChanges",
    "CollectionCopy",
    "Era",
    "Follow",
    "FollowVm",
    "Member",
    "Members",
    "NotifyFollowers",
    "Position",
    "ReadStore",
    "Record",
    "Replica",
    "ReplicaAction",
    "Sightings",
    "StepResult",
    "Update",
    "WriteMember",
    "active_vms",
    "relays",
    "upstreams",
]
