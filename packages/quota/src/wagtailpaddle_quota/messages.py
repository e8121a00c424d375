"""Records, peer messages, actions and decisions of the rate limits.

A ``VmId`` in this package names one incarnation of a process: a restarted
process has another one. Tokens are requests; times are seconds.
"""

from dataclasses import dataclass

from wagtailpaddle_core import AccountId, Offset, VmId

NO_REVISION: Offset = -1
"""The revision of a share that no record has changed."""


@dataclass(frozen=True, slots=True)
class Limit:
    """The rate (requests/s) and burst (requests) of a client account.

    ``unsettled_bursts`` are the bursts before changes that some fresh VM may
    not know yet. ``changed_at`` is when, on its own clock, this VM learned the
    limit, or that it is settled, whichever was later; for limits known from the
    start of the process it is that time, since nobody knows what came before.
    """

    rate: float
    burst: float
    changed_at: float = float("-inf")
    unsettled_bursts: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True, order=True)
class ShareId:
    """One of the equal parts of the allowance of a group of accounts."""

    group: int
    index: int


@dataclass(frozen=True, slots=True)
class ShareChange:
    """Give a share to ``holder``; an empty holder releases it.

    Void unless ``expected`` is the offset of the share's last change.
    """

    share: ShareId
    expected: Offset
    holder: VmId


@dataclass(frozen=True, slots=True)
class ChangeShares:
    """Record of the ``shares`` stream: several changes, each judged alone."""

    id: str
    vm: VmId
    changes: tuple[ShareChange, ...]


@dataclass(frozen=True, slots=True)
class ShareEntry:
    """Who holds a share, and the offset of its last change."""

    share: ShareId
    holder: VmId
    revision: Offset


@dataclass(frozen=True, slots=True)
class ShareSnapshot:
    """Record of the ``shares`` stream: a part of the state at one offset.

    The state holds every record before ``next_offset``.
    """

    id: str
    next_offset: Offset
    part: int
    n_parts: int
    entries: tuple[ShareEntry, ...]


ShareRecord = ChangeShares | ShareSnapshot


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Ask a holder for tokens, renew those held, or give some back.

    ``held`` is what the sender still holds of the lender's tokens, without
    ``returned``, which the sender has already debited. ``sequence`` rises with
    each message of one sender; the sender ignores answers to older ones.
    """

    account: AccountId
    sequence: int
    held: float
    returned: float
    wanted: float


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Answer to ``LoanRequest``: ``granted`` tokens, already debited.

    ``renewed`` says that the tokens held may be kept for another term.
    """

    account: AccountId
    sequence: int
    granted: float
    renewed: bool


@dataclass(frozen=True, slots=True)
class BucketState:
    """The tokens of one client account in a share, and those lent out."""

    account: AccountId
    tokens: float
    lent: float


@dataclass(frozen=True, slots=True)
class HandOverShare:
    """Pass a share on to ``receiver``; the sender has stopped using it.

    Accounts not in ``buckets`` were idle for ``idle_s``, so their buckets have
    filled for as long. ``hop`` counts hand-overs since the last record, so a
    repeated message is told from a new one.
    """

    share: ShareId
    receiver: VmId
    revision: Offset
    hop: int
    idle_s: float
    buckets: tuple[BucketState, ...]


@dataclass(frozen=True, slots=True)
class HandOverShareAnswer:
    """Answer to ``HandOverShare``; ``taken`` is False if the receiver declined."""

    share: ShareId
    taken: bool


@dataclass(frozen=True, slots=True)
class ShareHint:
    """``holder`` took a share over directly, ``hop`` times after its record."""

    share: ShareId
    holder: VmId
    revision: Offset
    hop: int


@dataclass(frozen=True, slots=True)
class SharesQuery:
    """Ask for the holders of shares, when the log does not answer.

    ``next_offset`` is how far the sender has folded the ``shares`` stream.
    """

    next_offset: Offset = 0


@dataclass(frozen=True, slots=True)
class SharesState:
    """Answer to ``SharesQuery``: the state after all records before an offset.

    ``entries`` is empty for a sender that has folded as far; ``hints`` are the
    shares that were handed over since.
    """

    next_offset: Offset
    entries: tuple[ShareEntry, ...]
    hints: tuple[ShareHint, ...] = ()


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """What a VM wants of an account's tokens, and what it gives back unused.

    ``waiting`` requests wait for a token now; ``ahead`` tokens are for those
    that will come.
    """

    account: AccountId
    waiting: float
    ahead: float = 0.0
    returned: float = 0.0


@dataclass(frozen=True, slots=True)
class TokenRequestBatch:
    """Asks the VM that keeps the buckets of some accounts for tokens."""

    wishes: tuple[TokenRequest, ...]


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens, already debited; the next ones are there after ``wait_s``."""

    account: AccountId
    granted: float
    wait_s: float


@dataclass(frozen=True, slots=True)
class TokenGrantBatch:
    """Answers ``TokenRequestBatch``."""

    grants: tuple[TokenGrant, ...]


QuotaMessage = LoanRequest | HandOverShare | SharesQuery
QuotaReply = LoanAnswer | HandOverShareAnswer | SharesState


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append ``record`` to ``stream`` of the log."""

    stream: str
    record: ShareRecord


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Call ``vm`` with ``message`` and report its reply or the failure."""

    vm: VmId
    message: QuotaMessage


QuotaAction = AppendRecord | SendPeer


@dataclass(frozen=True, slots=True)
class Granted:
    """One token was taken: the request may run."""


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """No token yet: call ``acquire`` again at ``at``."""

    at: float


@dataclass(frozen=True, slots=True)
class Refused:
    """No token in time; the caller may try again after ``retry_after_s``.

    ``holders_unreachable`` says that this VM has no share and reaches none of the
    holders, so another VM may well have tokens.
    """

    retry_after_s: float
    holders_unreachable: bool = False


Decision = Granted | WaitUntil | Refused


@dataclass(frozen=True, slots=True)
class QuotaStatus:
    """Counts for operators.

    ``n_waiting`` shares are held but not yet spent from, ``n_unrecorded`` were
    taken over directly and have no record yet, ``n_handing_over`` were passed
    on without an answer so far, ``n_vacant`` have no holder, and ``n_stranded``
    have one that is neither live nor proven gone.
    """

    may_spend: bool
    n_held: int
    n_waiting: int
    n_unrecorded: int
    n_handing_over: int
    n_vacant: int
    n_stranded: int
    n_void_records: int
    n_bad_messages: int
    n_active_accounts: int
    n_buckets: int
