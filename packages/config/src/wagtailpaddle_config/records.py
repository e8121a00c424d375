"""Records of the ``config`` stream."""

from dataclasses import dataclass
from typing import Any

from wagtailpaddle_core import AccountId, KeyId, Offset, RouteId

DEDUPE_WINDOW = 20_000
"""Number of offsets for which record ids are remembered."""

Document = dict[str, Any]
"""A decoded TOML or JSON table."""


@dataclass(frozen=True, slots=True)
class PutAccount:
    """Create or change a client account; ``fields`` holds only those to set."""

    account: AccountId
    fields: Document


@dataclass(frozen=True, slots=True)
class CancelAccount:
    """Deactivate a client account; its keys, routes and fields are kept."""

    account: AccountId


@dataclass(frozen=True, slots=True)
class RestoreAccount:
    """Reactivate a cancelled client account."""

    account: AccountId


@dataclass(frozen=True, slots=True)
class PutRoute:
    """Create or change a route; ``fields`` holds only those to set."""

    route: RouteId
    fields: Document


@dataclass(frozen=True, slots=True)
class RemoveRoute:
    """Remove what operators set of a route with ``PutRoute``."""

    route: RouteId


@dataclass(frozen=True, slots=True)
class IssueKey:
    """Add a key of a client account, given the hash of its secret."""

    key: KeyId
    account: AccountId
    secret_hash: str


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraw a key permanently."""

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
    """One change as recorded in the log.

    ``id`` is unique, so that an append whose answer was lost can be found in
    the log. ``expected`` is the revision of the object on which the change is
    based; None skips that check. ``at`` is in wall-clock seconds and only
    informative. ``appended_after`` is the head of the log that the author knew
    at the first append; a copy more than ``DEDUPE_WINDOW`` offsets later is
    void, so that ids need to be remembered for that many offsets only.
    """

    id: str
    author: str
    at: float
    expected: Offset | None
    change: Change
    appended_after: Offset | None = None


@dataclass(frozen=True, slots=True)
class SnapshotItem:
    """One item of the state: the ``table`` of ``name`` in ``section``."""

    section: str
    name: str
    table: Document


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of the state after all records before ``upto``.

    The items depend on these records alone and not on the writer, so chunks
    of several writers can be combined. ``at`` is in wall-clock seconds.
    """

    upto: Offset
    index: int
    n_chunks: int
    writer: str
    at: float
    items: tuple[SnapshotItem, ...]
