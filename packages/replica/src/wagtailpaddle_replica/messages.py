"""Records, messages between VMs, and what the replica asks its host to do."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import Offset, VmId, ZoneId

NEVER_S = -1.0
"""Stands for an age that is not known, in seconds."""


class Collection(StrEnum):
    """What the store keeps for the fleet, by key."""

    CONFIG = "config"
    SERVERS = "servers"
    VMS = "vms"


@dataclass(frozen=True, slots=True)
class Record:
    """The newest record of a key; without ``data`` the key is dropped.

    ``is_packed`` says that the data is compressed, as large ones are on their way
    to other VMs.
    """

    key: str
    offset: Offset
    data: bytes | None
    is_packed: bool = False


@dataclass(frozen=True, slots=True)
class Batch:
    """Records of a collection up to ``next_offset``.

    A ``whole`` batch has the newest record of every key.
    """

    collection: Collection
    next_offset: Offset
    records: tuple[Record, ...]
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a VM and where it listens.

    ``incarnation`` rises with each start of the VM's process. ``cores`` is the
    processor time that the VM has, in cores of the usual speed.
    """

    id: VmId
    zone: ZoneId
    caller_address: str
    peer_address: str
    incarnation: str = ""
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class Sightings:
    """How long ago somebody heard from VMs, in hundredths of a second.

    A VM is named by its tag, because there are as many as VMs in the fleet.
    """

    tags: tuple[int, ...] = ()
    ages_cs: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Follow:
    """Asks for what came after the offsets, and says who is alive.

    ``clock`` is the asking VM's time and comes back in the answer, after
    ``hold_s`` seconds if there is no news before. ``sightings`` are the VMs that
    follow the asking one.
    """

    member: Member
    clock: float
    config_from: Offset
    servers_from: Offset
    vms_from: Offset
    hold_s: float
    sightings: Sightings = Sightings()

    def start_of(self, collection: Collection) -> Offset:
        """Return the first offset of a collection that the VM lacks."""
        starts = {
            Collection.CONFIG: self.config_from,
            Collection.SERVERS: self.servers_from,
            Collection.VMS: self.vms_from,
        }
        return starts[collection]


@dataclass(frozen=True, slots=True)
class Update:
    """Answers ``Follow``.

    ``clock`` is that of the question, ``held_s`` how long it waited here for
    news. The ages say how old the answering VM's knowledge is, ``NEVER_S`` if
    it has none. ``outage_age_s`` is how long ago the store came back.
    """

    clock: float
    held_s: float
    config_age_s: float
    servers_age_s: float
    batches: tuple[Batch, ...] = ()
    sightings: Sightings = Sightings()
    outage_age_s: float = NEVER_S


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read a collection from ``start`` on, or all of it if ``whole``.

    The host reports ``on_read`` or ``on_read_failed``.
    """

    collection: Collection
    start: Offset
    whole: bool


@dataclass(frozen=True, slots=True)
class WriteMember:
    """Write the record of this VM to the store, or drop that of ``address``."""

    address: str
    member: Member | None


@dataclass(frozen=True, slots=True)
class FollowVm:
    """Send ``body`` to the VM at ``address``; report its answer or the failure."""

    address: str
    body: Follow
    timeout_s: float


@dataclass(frozen=True, slots=True)
class News:
    """The copy changed: answer the VMs that wait for news."""


ReplicaAction = ReadStore | WriteMember | FollowVm | News
