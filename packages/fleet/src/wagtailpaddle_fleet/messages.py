"""Messages, log records and actions of the fleet package.

Fleet records and configuration changes share one stream, ``config``, and so
one total order. An offset that a VM confirms therefore covers keys, routes and
seats alike. The caller distinguishes the records by type and reports every
offset of the stream to ``Membership.on_folded`` in order, for records of any
type.

Addresses are ``host:port``. A ``next_offset`` is the number of records that a
VM has folded, that is, the first offset that it has not folded yet.
"""

from dataclasses import dataclass

from wagtailpaddle_core import Offset, VmId, ZoneId

SeatId = str
"""Id of a voting seat, which is the id of the VM that registered it."""


@dataclass(frozen=True, slots=True)
class Vm:
    """One incarnation of a VM of the fleet.

    ``incarnation`` sorts after all earlier incarnations on the same address;
    see ``new_incarnation``.
    """

    id: VmId
    zone: ZoneId
    caller_address: str
    peer_address: str
    incarnation: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's VM list, which lags behind the actual VMs."""

    peer_address: str
    zone: ZoneId
    leaving: bool = False


# Records in the log.


@dataclass(frozen=True, slots=True)
class Join:
    """Registers a seat for ``vm``.

    The same record removes the seats of earlier incarnations on the same
    address.
    """

    vm: Vm


@dataclass(frozen=True, slots=True)
class Depart:
    """Removes a seat; has no effect unless ``holder`` still holds it."""

    seat: SeatId
    holder: VmId


@dataclass(frozen=True, slots=True)
class TakeSeat:
    """Records ``vm`` as the holder of a seat that another VM handed over to it."""

    seat: SeatId
    vm: Vm


@dataclass(frozen=True, slots=True)
class Settle:
    """Settles the seat change at offset ``change``.

    Written once majorities of the former and of the new seats have folded it.
    """

    change: Offset


SeatChange = Join | Depart | TakeSeat | Settle


@dataclass(frozen=True, slots=True)
class FleetRecord:
    """A record about seats; ``at`` is the author's clock in seconds."""

    id: str
    author: VmId
    at: float
    change: SeatChange


# Messages between VMs.


@dataclass(frozen=True, slots=True)
class OffsetQuery:
    """Queries how far a VM has folded the log and which seats it holds."""


@dataclass(frozen=True, slots=True)
class OffsetAnswer:
    """States how far ``vm`` has folded, the seats it votes for, and if it is fresh.

    ``at`` is the clock of the answering VM in seconds. ``shares_offset`` is the
    first offset of the ``shares`` stream that it has not folded.
    """

    vm: Vm
    next_offset: Offset
    seats: tuple[SeatId, ...]
    fresh: bool
    at: float
    shares_offset: Offset = 0


@dataclass(frozen=True, slots=True)
class RecordsQuery:
    """Requests raw records from offset ``start`` on."""

    start: Offset


@dataclass(frozen=True, slots=True)
class RawRecord:
    """A record with its bytes as they are stored in the log."""

    offset: Offset
    data: bytes


@dataclass(frozen=True, slots=True)
class RecordsAnswer:
    """Consecutive raw records from the requested offset on.

    ``first`` is the earliest offset that the answering VM retains. A request
    for an earlier offset is answered without records, and the requesting VM
    fetches a snapshot instead.
    """

    first: Offset
    next_offset: Offset
    records: tuple[RawRecord, ...]


@dataclass(frozen=True, slots=True)
class SnapshotQuery:
    """Requests one chunk of the snapshot at ``upto``; -1 is the latest snapshot."""

    upto: Offset
    index: int


@dataclass(frozen=True, slots=True)
class SnapshotAnswer:
    """One encoded chunk; ``n_chunks`` is 0 if there is no such snapshot."""

    upto: Offset
    index: int
    n_chunks: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HandOverSeats:
    """Hands over the seats of a stopping VM to the VM ``to``.

    The sender stops voting for the seats before it sends. The receiver refuses
    unless it has folded both streams at least as far as the sender. It also
    refuses unless ``answered_at``, the time of its own offset answer, is recent
    by its own clock, so that a delayed message cannot bring a seat back.
    """

    to: VmId
    seats: tuple[SeatId, ...]
    next_offset: Offset
    answered_at: float
    shares_offset: Offset = 0


@dataclass(frozen=True, slots=True)
class HandOverAnswer:
    """States whether the receiver took over the seats."""

    accepted: bool
    next_offset: Offset


PeerMessage = OffsetQuery | RecordsQuery | SnapshotQuery | HandOverSeats
PeerAnswer = OffsetAnswer | RecordsAnswer | SnapshotAnswer | HandOverAnswer


# Actions for the caller to execute.


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Calls the VM at ``address``; report ``on_reply`` or ``on_call_failed``."""

    address: str
    body: PeerMessage
    timeout_s: float


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Appends a record to the ``config`` stream, in one attempt.

    Failures need not be reported: the record is proposed again until its effect
    is folded, and a duplicate has no effect.
    """

    record: FleetRecord


@dataclass(frozen=True, slots=True)
class FoldRecords:
    """Decodes and folds a peer's records at the next offset or later."""

    records: tuple[RawRecord, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Decodes the chunks and restores configuration and roster at ``upto``.

    After that, call ``Membership.on_snapshot_restored``.
    """

    upto: Offset
    chunks: tuple[bytes, ...]


Action = SendPeer | AppendRecord | FoldRecords | RestoreSnapshot


# Results for other packages.


@dataclass(frozen=True, slots=True)
class AcceptanceState:
    """How many seats have confirmed a recorded change.

    ``in_force`` is True once more than half of the seats have confirmed it.
    Until then the change is recorded but not yet in force.
    """

    offset: Offset
    n_confirmed: int
    n_seats: int
    in_force: bool


@dataclass(frozen=True, slots=True)
class CallerAddresses:
    """Addresses for a caller in the order to try, valid for ``keep_s`` seconds."""

    addresses: tuple[str, ...]
    keep_s: float
