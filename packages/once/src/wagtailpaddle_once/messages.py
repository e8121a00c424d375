"""Requests, peer messages and actions of the at-most-once claims.

A ``VmId`` in this package names one incarnation of a process: a restarted
process has another one. Times are seconds.
"""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import AccountId, ErrorKind, RequestId, VmId, ZoneId


@dataclass(frozen=True, slots=True)
class RosterMember:
    """A VM that may keep claims."""

    vm: VmId
    zone: ZoneId


@dataclass(frozen=True, slots=True)
class ClaimRoster:
    """The VMs that keep claims at one revision; a later one has a higher one.

    Two rosters with equal revision are equal on every VM.
    """

    revision: int
    members: tuple[RosterMember, ...]


@dataclass(frozen=True, slots=True, order=True)
class ClaimKey:
    """An ``Idempotency-Key`` of one client account."""

    account: AccountId
    key: str


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """One attempt of a coordinator to run a request."""

    coordinator: VmId
    number: int


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of the backend server, replayed to repeats.

    ``headers`` are (name, value) pairs.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimState(StrEnum):
    """What is known of the request behind a claim."""

    PLACED = "placed"
    UNKNOWN = "unknown"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim as a replica keeps it; ``age_s`` counts from its placement."""

    key: ClaimKey
    fingerprint: str
    attempt: AttemptId
    state: ClaimState
    age_s: float
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Place:
    """Ask a replica for its vote for an attempt."""

    revision: int
    key: ClaimKey
    fingerprint: str
    attempt: AttemptId


class Vote(StrEnum):
    """A replica's answer to ``Place``."""

    ACCEPTED = "accepted"
    HELD = "held"
    FULL = "full"
    REVISION = "revision"
    NOT_SYNCED = "not-synced"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Placed:
    """Answer to ``Place``; ``claim`` is the one that stands in the way."""

    attempt: AttemptId
    vote: Vote
    claim: Claim | None = None


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Take back an attempt that surely did not and will not run."""

    key: ClaimKey
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Store:
    """Keep the outcome of an attempt; ``state`` is DONE or UNKNOWN."""

    key: ClaimKey
    fingerprint: str
    attempt: AttemptId
    state: ClaimState
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Settled:
    """Answer to ``Withdraw`` and ``Store``; not ``kept`` if memory is full."""

    attempt: AttemptId
    kept: bool = True


@dataclass(frozen=True, slots=True)
class AskAttempt:
    """Ask a coordinator what became of its attempt."""

    key: ClaimKey
    attempt: AttemptId


class AttemptState(StrEnum):
    """What a coordinator knows of its own attempt."""

    OPEN = "open"
    WITHDRAWN = "withdrawn"
    FINISHED = "finished"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class AttemptStatus:
    """Answer to ``AskAttempt``; ``store`` is the outcome if finished."""

    key: ClaimKey
    attempt: AttemptId
    state: AttemptState
    store: Store | None = None


@dataclass(frozen=True, slots=True)
class Sync:
    """Ask a former replica for the claims of a partition, in order of the keys.

    ``former`` is the roster revision before the one at which the sender
    became a replica. ``after`` is the last key that the sender has, or None.
    """

    partition: int
    former: int
    after: ClaimKey | None = None


@dataclass(frozen=True, slots=True)
class SyncPage:
    """Answer to ``Sync``; refused unless the sender can vouch for ``former``.

    ``more`` says that claims with higher keys follow.
    """

    partition: int
    former: int
    refused: bool
    more: bool = False
    claims: tuple[Claim, ...] = ()


@dataclass(frozen=True, slots=True)
class HandOverClaims:
    """Claims of a leaving replica, which takes no more of this partition."""

    partition: int
    page: int
    n_pages: int
    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class HandOverClaimsAnswer:
    """Answer to ``HandOverClaims``."""

    partition: int
    page: int
    taken: bool


OnceMessage = Place | Withdraw | Store | AskAttempt | Sync | HandOverClaims
OnceReply = Placed | Settled | AttemptStatus | SyncPage | HandOverClaimsAnswer


class RunOutcome(StrEnum):
    """How a run ended, for ``ClaimKeeper.finish``."""

    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Call ``vm`` with ``message`` and report its reply or the failure."""

    vm: VmId
    message: OnceMessage


@dataclass(frozen=True, slots=True)
class Run:
    """The claim stands on a majority: dispatch the request, once."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Replay:
    """The request ran before: give its caller the stored answer."""

    request: RequestId
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse the request; this attempt did not run."""

    request: RequestId
    kind: ErrorKind
    detail: str


OnceAction = SendPeer | Run | Replay | Reject
