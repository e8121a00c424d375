"""Messages between VMs, and actions, of the at-most-once claims.

A ``VmId`` in this package names one incarnation of a process: a restarted
process has another one. Times are in seconds.
"""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import (
    AccountId,
    ErrorKind,
    RequestId,
    VmId,
    ZoneId,
    is_final_status,
)


@dataclass(frozen=True, slots=True)
class RosterMember:
    """A VM that may store claims."""

    vm: VmId
    zone: ZoneId


@dataclass(frozen=True, slots=True)
class ClaimRoster:
    """The VMs that may store claims as of one revision.

    Later rosters have higher revisions. Rosters with the same revision are equal on
    every VM.
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
    """Identifies one attempt of a coordinator to run a request."""

    coordinator: VmId
    number: int


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The backend server's answer, replayed if the request is repeated.

    ``headers`` are (name, value) pairs. Raises ``ValueError`` for a ``status`` that is
    not that of a final HTTP response, as a peer may send any number.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def __post_init__(self) -> None:
        if not is_final_status(self.status):
            raise ValueError(f"{self.status} is not the status of an answer")


class ClaimState(StrEnum):
    """What a replica knows about the outcome of a claimed request."""

    PLACED = "placed"
    UNKNOWN = "unknown"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class Claim:
    """A copy of a replica's claim.

    ``age_s`` is the time since the outcome was recorded, 0 for a claim without one.
    """

    key: ClaimKey
    fingerprint: str
    attempt: AttemptId
    state: ClaimState
    age_s: float
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Place:
    """Asks a replica to accept an attempt's claim on a key."""

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
    """Answer to ``Place``; ``claim`` is the conflicting claim if there is one."""

    attempt: AttemptId
    vote: Vote
    claim: Claim | None = None


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Withdraws an attempt that has not run and never will."""

    key: ClaimKey
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Store:
    """Reports the outcome of an attempt; ``state`` is DONE or UNKNOWN."""

    key: ClaimKey
    fingerprint: str
    attempt: AttemptId
    state: ClaimState
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Settled:
    """Answer to ``Withdraw`` and ``Store``; ``kept`` is False if memory is full."""

    attempt: AttemptId
    kept: bool = True


@dataclass(frozen=True, slots=True)
class AskAttempt:
    """Asks a coordinator for the state of its attempt."""

    key: ClaimKey
    attempt: AttemptId


class AttemptState(StrEnum):
    """State of an attempt as reported by its coordinator."""

    OPEN = "open"
    WITHDRAWN = "withdrawn"
    FINISHED = "finished"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class AttemptStatus:
    """Answer to ``AskAttempt``; ``store`` is the outcome of a finished attempt."""

    key: ClaimKey
    attempt: AttemptId
    state: AttemptState
    store: Store | None = None


@dataclass(frozen=True, slots=True)
class Sync:
    """Asks a former replica for a page of a partition's claims, in key order.

    ``former`` is the roster revision before the one at which the sender became a
    replica. ``after`` is the last key that the sender has received from this
    replica, or None.
    """

    partition: int
    former: int
    after: ClaimKey | None = None


@dataclass(frozen=True, slots=True)
class SyncPage:
    """Answer to ``Sync``.

    ``refused`` says that its sender may lack claims of revision ``former``, or has
    not applied a later roster yet. ``more`` says that claims with higher keys follow.
    """

    partition: int
    former: int
    refused: bool
    more: bool = False
    claims: tuple[Claim, ...] = ()


@dataclass(frozen=True, slots=True)
class HandOverClaims:
    """A page of a partition's claims from a leaving replica, which stopped voting."""

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
    """How a run ended, for ``ClaimManager.finish``."""

    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send ``message`` to ``vm`` and report its reply or the failure of the call."""

    vm: VmId
    message: OnceMessage


@dataclass(frozen=True, slots=True)
class Run:
    """A majority of the replicas accepted the claim: dispatch the request once."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Replay:
    """The request ran before: send its caller the stored answer."""

    request: RequestId
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Reject:
    """Refuse the request; this attempt has not run."""

    request: RequestId
    kind: ErrorKind
    detail: str


OnceAction = SendPeer | Run | Replay | Reject
