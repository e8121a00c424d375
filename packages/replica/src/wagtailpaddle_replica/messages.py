"""Records, messages between VMs, and the actions that the replica requests."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import Offset, VmId, ZoneId

Era = int
"""The number of times that the store lost records; 0 if it does not state any."""

UNKNOWN_AGE_S = -1.0
"""Value of an age in a message, in seconds, if the age is unknown."""


class Collection(StrEnum):
    """A keyed collection of records in the store."""

    CONFIG = "config"
    SERVERS = "servers"
    VMS = "vms"


@dataclass(frozen=True, slots=True)
class Position:
    """A position in the log of a collection.

    A store that is restored from a backup gives out the same offsets again for other
    records. It begins a new era then, and offsets of different eras are not compared.
    ``era`` is None in a message of a VM whose version does not know eras.

    >>> Position(era=2, offset=7) == Position(era=3, offset=7)
    False
    """

    era: Era | None = 0
    offset: Offset = 0


@dataclass(frozen=True, slots=True)
class Record:
    """The newest record of a key; if ``data`` is None, the key was deleted.

    ``is_packed`` states that the data is compressed. Large records are sent
    compressed between VMs.
    """

    key: str
    offset: Offset
    data: bytes | None
    is_packed: bool = False


@dataclass(frozen=True, slots=True)
class Batch:
    """Records of a collection up to ``next_offset``, all of one era of the store.

    A ``whole`` batch is a snapshot: it contains the newest record of every key.
    """

    collection: Collection
    next_offset: Offset
    records: tuple[Record, ...]
    whole: bool = False
    era: Era = 0


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a VM and where it listens.

    ``incarnation`` increases with each start of the VM's process. ``cores`` is the
    processor time available to the VM, in cores of standard speed.
    """

    id: VmId
    zone: ZoneId
    caller_address: str
    peer_address: str
    incarnation: str = ""
    cores: float = 1.0

    @property
    def is_leaving(self) -> bool:
        """Whether the VM is shutting down: it names no address to callers."""
        return not self.caller_address


NOT_SEEN_CS = -1
"""Age of a VM that was not seen lately, in a message without tags."""


@dataclass(frozen=True, slots=True)
class Sightings:
    """How long ago each VM was last seen by any VM, in hundredths of a second.

    A message carries one entry per VM of the fleet, so a VM is identified by its
    short tag and not by its id. Between VMs that know the same VMs the tags are left
    out: ``members_hash`` is the hash of their tags, and the ages are in the order of
    the sorted tags, with ``NOT_SEEN_CS`` for a VM that was not seen lately.
    """

    tags: tuple[int, ...] = ()
    ages_cs: tuple[int, ...] = ()
    members_hash: int = 0


@dataclass(frozen=True, slots=True)
class Follow:
    """A long poll for changes after the given positions; also serves as a heartbeat.

    ``clock`` is the sender's time and is returned in the ``Update``. The receiver
    answers at the first change, or after ``hold_s`` seconds without one.
    ``sightings`` are the followers of the sender, ``members_hash`` is the hash of the
    VMs that it knows. Each offset is one of the era beside it.
    """

    member: Member
    clock: float
    config_from: Offset
    servers_from: Offset
    vms_from: Offset
    hold_s: float
    sightings: Sightings = Sightings()
    members_hash: int = 0
    config_era: Era | None = None
    servers_era: Era | None = None
    vms_era: Era | None = None

    def start_of(self, collection: Collection) -> Position:
        """Return the first position of a collection that the sender lacks."""
        starts = {
            Collection.CONFIG: Position(self.config_era, self.config_from),
            Collection.SERVERS: Position(self.servers_era, self.servers_from),
            Collection.VMS: Position(self.vms_era, self.vms_from),
        }
        return starts[collection]

    @property
    def newest_era(self) -> Era:
        """The newest era that the sender has a copy of."""
        return max(self.config_era or 0, self.servers_era or 0, self.vms_era or 0)


@dataclass(frozen=True, slots=True)
class Update:
    """The answer to ``Follow``.

    ``clock`` is copied from the ``Follow``, and ``held_s`` is how long the ``Follow``
    was held. The ages state how old the sender's copies are, or ``UNKNOWN_AGE_S``.
    ``outage_age_s`` is always unknown: earlier versions believed it. A collection
    without a batch has not changed since the position in the ``Follow``, so the
    sender's copy is of the same era.
    """

    clock: float
    held_s: float
    config_age_s: float
    servers_age_s: float
    batches: tuple[Batch, ...] = ()
    sightings: Sightings = Sightings()
    outage_age_s: float = UNKNOWN_AGE_S


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read a collection from ``start`` on, or a snapshot of it if ``whole``.

    The result is a snapshot too if the store is in a later era than ``start``. The
    host reports the result with ``on_read`` or ``on_read_failed``.
    """

    collection: Collection
    start: Position
    whole: bool


@dataclass(frozen=True, slots=True)
class WriteMember:
    """Write the record of the VM at ``address``; delete it if ``member`` is None."""

    address: str
    member: Member | None


@dataclass(frozen=True, slots=True)
class FollowVm:
    """Send ``body`` to the VM at ``address`` and report its answer or the failure."""

    address: str
    body: Follow
    timeout_s: float


@dataclass(frozen=True, slots=True)
class NotifyFollowers:
    """Answer the held ``Follow`` messages, because the copy or the members changed."""


ReplicaAction = ReadStore | WriteMember | FollowVm | NotifyFollowers
