"""Messages, log records and actions of the fleet package.

Fleet records and changes of configuration share one stream, ``config``, and
so one total order: the offset that a VM confirms covers keys, routes and
seats alike. The caller tells the records apart by type; every offset of the
stream, whatever stands there, is reported to ``Membership.on_folded`` in order.

Addresses are ``host:port``. Offsets named ``next_offset`` are the number of
records that their VM has folded, that is, the first offset not yet folded.
"""

from dataclasses import dataclass

from wagtailpaddle_core import Offset, VmId, ZoneId

SeatId = str
"""Name of a seat: the id of the VM that registered it."""


@dataclass(frozen=True, slots=True)
class Vm:
    """One incarnation of a VM of the fleet. Addresses are ``host:port``.

    ``incarnation`` sorts after every earlier one on the same address; see
    ``new_incarnation``.
    """

    id: VmId
    zone: ZoneId
    caller_address: str
    peer_address: str
    incarnation: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's list, which lags behind the VMs."""

    peer_address: str
    zone: ZoneId
    leaving: bool = False


# Records of the log.


@dataclass(frozen=True, slots=True)
class Join:
    """A VM asks for a seat of its own.

    A seat whose holder is an earlier incarnation on the same address is given
    up by the same record.
    """

    vm: Vm


@dataclass(frozen=True, slots=True)
class Depart:
    """A seat is given up; void unless ``holder`` still holds it."""

    seat: SeatId
    holder: VmId


@dataclass(frozen=True, slots=True)
class TakeSeat:
    """``vm`` holds a seat that was handed over to it directly."""

    seat: SeatId
    vm: Vm


@dataclass(frozen=True, slots=True)
class Settle:
    """The seat change at offset ``change`` is known to both majorities."""

    change: Offset


SeatChange = Join | Depart | TakeSeat | Settle


@dataclass(frozen=True, slots=True)
class FleetRecord:
    """One record about seats. ``at`` is in seconds of the author's own clock."""

    id: str
    author: VmId
    at: float
    change: SeatChange


# Messages between VMs.


@dataclass(frozen=True, slots=True)
class OffsetQuery:
    """Asks a VM how far it has folded the log and which seats it holds."""


@dataclass(frozen=True, slots=True)
class OffsetAnswer:
    """States what ``vm`` has folded, which seats it speaks for, if it serves.

    ``at`` is the clock of the answering VM, in seconds. ``shares_offset`` is
    the first record of the ``shares`` stream that it has not folded.
    """

    vm: Vm
    next_offset: Offset
    seats: tuple[SeatId, ...]
    fresh: bool
    at: float
    shares_offset: Offset = 0


@dataclass(frozen=True, slots=True)
class RecordsQuery:
    """Asks for raw records from offset ``start`` on."""

    start: Offset


@dataclass(frozen=True, slots=True)
class RawRecord:
    """A record as its bytes stand in the log."""

    offset: Offset
    data: bytes


@dataclass(frozen=True, slots=True)
class RecordsAnswer:
    """Consecutive raw records from the offset that was asked for.

    ``first`` is the earliest record that the answering VM keeps; one that asked
    for an earlier offset gets no records and takes a snapshot instead.
    """

    first: Offset
    next_offset: Offset
    records: tuple[RawRecord, ...]


@dataclass(frozen=True, slots=True)
class SnapshotQuery:
    """Asks for one chunk of the snapshot at ``upto``; -1 asks for the latest."""

    upto: Offset
    index: int


@dataclass(frozen=True, slots=True)
class SnapshotAnswer:
    """One encoded chunk; ``n_chunks`` 0 means that there is no such snapshot."""

    upto: Offset
    index: int
    n_chunks: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HandOverSeats:
    """A VM that stops gives its seats to the VM ``to``.

    The sender speaks for them no longer. The receiver refuses unless it has
    folded both streams as far as the sender had, and unless its own answer of
    ``answered_at`` is recent by its own clock, so that a message that was held
    up on its way brings no seat back.
    """

    to: VmId
    seats: tuple[SeatId, ...]
    next_offset: Offset
    answered_at: float
    shares_offset: Offset = 0


@dataclass(frozen=True, slots=True)
class HandOverAnswer:
    """Whether the seats were taken over."""

    accepted: bool
    next_offset: Offset


PeerMessage = OffsetQuery | RecordsQuery | SnapshotQuery | HandOverSeats
PeerAnswer = OffsetAnswer | RecordsAnswer | SnapshotAnswer | HandOverAnswer


# Actions.


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Call the VM at ``address``; report ``on_reply`` or ``on_call_failed``."""

    address: str
    body: PeerMessage
    timeout_s: float


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append to the ``config`` stream, once; a failure needs no report.

    The record is harmless if it stands twice and is tried again by itself.
    """

    record: FleetRecord


@dataclass(frozen=True, slots=True)
class FoldRecords:
    """Decode and fold records from a peer that lie at the next offset or later."""

    records: tuple[RawRecord, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Decode the chunks and restore configuration and roster at ``upto``.

    Then call ``Membership.on_snapshot_restored``.
    """

    upto: Offset
    chunks: tuple[bytes, ...]


Action = SendPeer | AppendRecord | FoldRecords | RestoreSnapshot


# Answers to the rest of the program.


@dataclass(frozen=True, slots=True)
class AcceptanceState:
    """How far a recorded change is confirmed.

    ``in_force`` is True once more than half of the seats confirmed it; until
    then it is recorded, not yet in force.
    """

    offset: Offset
    n_confirmed: int
    n_seats: int
    in_force: bool


@dataclass(frozen=True, slots=True)
class CallerAddresses:
    """Addresses for a caller in the order to try, kept for ``keep_s`` seconds."""

    addresses: tuple[str, ...]
    keep_s: float
