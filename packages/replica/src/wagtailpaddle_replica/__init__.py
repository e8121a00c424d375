"""A local copy of the store's records, read from the store or from other VMs."""

from wagtailpaddle_replica.collection_copy import Change, Newest
from wagtailpaddle_replica.members import Members
from wagtailpaddle_replica.messages import (
    Batch,
    Collection,
    Follow,
    FollowVm,
    Member,
    News,
    ReadStore,
    Record,
    ReplicaAction,
    Sightings,
    Update,
    WriteMember,
)
from wagtailpaddle_replica.replica import (
    HOLD_S,
    LAPSE_GRACE_S,
    Changed,
    Replica,
    Step,
)
from wagtailpaddle_replica.topology import carriers, relays, upstreams

__all__ = [
    "HOLD_S",
    "LAPSE_GRACE_S",
    "Batch",
    "Change",
    "Changed",
    "Collection",
    "Follow",
    "FollowVm",
    "Member",
    "Members",
    "News",
    "Newest",
    "ReadStore",
    "Record",
    "Replica",
    "ReplicaAction",
    "Sightings",
    "Step",
    "Update",
    "WriteMember",
    "carriers",
    "relays",
    "upstreams",
]
