"""Records of the ``config`` stream."""

from dataclasses import dataclass
from typing import Any

from wagtailpaddle_core import AccountId, KeyId, Offset, RouteId

DEDUPE_WINDOW = 20_000
"""Offsets for which the ids of records are remembered."""

Document = dict[str, Any]
"""A decoded TOML or JSON table."""


@dataclass(frozen=True, slots=True)
class PutAccount:
    """Create or change a client account; ``fields`` states only what is set."""

    account: AccountId
    fields: Document


@dataclass(frozen=True, slots=True)
class CancelAccount:
    """Make a client account inactive; everything it owns is kept."""

    account: AccountId


@dataclass(frozen=True, slots=True)
class RestoreAccount:
    """Make a cancelled client account active again."""

    account: AccountId


@dataclass(frozen=True, slots=True)
class PutRoute:
    """Create or change a route; ``fields`` states only what is set."""

    route: RouteId
    fields: Document


@dataclass(frozen=True, slots=True)
class RemoveRoute:
    """Take away a route that an operator had put."""

    route: RouteId


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Add a key of a client account by the hash of its secret."""

    key: KeyId
    account: AccountId
    secret_hash: str


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key for ever."""

    key: KeyId


@dataclass(frozen=True, slots=True)
class PublishBase:
    """Replace the base document that all sites share."""

    document: Document


@dataclass(frozen=True, slots=True)
class PublishOverlay:
    """Replace the overlay document of one site."""

    site: str
    document: Document


Change = (
    PutAccount
    | CancelAccount
    | RestoreAccount
    | PutRoute
    | RemoveRoute
    | IssueKey
    | WithdrawKey
    | PublishBase
    | PublishOverlay
)


@dataclass(frozen=True, slots=True)
class Record:
    """One change as it stands in the log.

    ``id`` is unique, so an append whose answer was lost is found again.
    ``expected`` is the revision of the changed object that the operator saw;
    None changes it whatever its revision. ``at`` is wall-clock seconds, for
    people only. ``appended_after`` is the head of the log that the author knew
    at the first try; a copy that lands more than ``DEDUPE_WINDOW`` offsets later
    is void, so that ids need to be remembered for that many offsets only.
    """

    id: str
    author: str
    at: float
    expected: Offset | None
    change: Change
    appended_after: Offset | None = None


@dataclass(frozen=True, slots=True)
class SnapshotItem:
    """One part of the state: ``table`` of ``name`` in ``section``."""

    section: str
    name: str
    table: Document


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of the state that all records before ``upto`` leave behind.

    The items follow from these records alone, whoever writes them, so chunks
    of several writers complete each other. ``at`` is wall-clock seconds.
    """

    upto: Offset
    index: int
    n_chunks: int
    writer: str
    at: float
    items: tuple[SnapshotItem, ...]
