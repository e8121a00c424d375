"""Records, peer messages, actions and decisions of the rate limits.

A ``VmId`` in this package identifies one incarnation of a process; a restarted
process has a new one. One token admits one request. Times are in seconds.
"""

from dataclasses import dataclass

from wagtailpaddle_core import AccountId, Offset, VmId

NO_REVISION: Offset = -1
"""The revision of a share that no record has changed."""


@dataclass(frozen=True, slots=True)
class Limit:
    """The rate (requests/s) and burst (requests) of a client account.

    ``unsettled_bursts`` are the bursts before changes that some fresh VM may
    not have received yet. ``changed_at`` is the time, on this VM's clock, at
    which it received the limit or learned that the limit is settled, whichever
    was later. For limits known since the start of the process it is the start
    time, because it is not known what the limit was before.
    """

    rate: float
    burst: float
    changed_at: float = float("-inf")
    unsettled_bursts: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True, order=True)
class ShareId:
    """One of the equal parts into which the limits of a group of accounts are split."""

    group: int
    index: int


@dataclass(frozen=True, slots=True)
class ShareChange:
    """Assign a share to ``holder``; an empty holder releases it.

    The change is void unless ``expected`` is the offset of the share's last change.
    """

    share: ShareId
    expected: Offset
    holder: VmId


@dataclass(frozen=True, slots=True)
class ChangeShares:
    """Record of the ``shares`` stream: changes, each validated on its own."""

    id: str
    vm: VmId
    changes: tuple[ShareChange, ...]


@dataclass(frozen=True, slots=True)
class ShareEntry:
    """The holder of a share and the offset of its last change."""

    share: ShareId
    holder: VmId
    revision: Offset


@dataclass(frozen=True, slots=True)
class ShareSnapshot:
    """Record of the ``shares`` stream: one part of a snapshot of all shares.

    The snapshot covers every record before ``next_offset``.
    """

    id: str
    next_offset: Offset
    part: int
    n_parts: int
    entries: tuple[ShareEntry, ...]


ShareRecord = ChangeShares | ShareSnapshot


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Request tokens from a holder, renew those borrowed, or return some.

    ``held`` counts the lender's tokens that the sender still holds. It excludes
    ``returned``, which the sender has already debited. ``sequence`` increases with
    each message of a sender; the sender ignores answers to older messages.
    """

    account: AccountId
    sequence: int
    held: float
    returned: float
    wanted: float


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Answer to ``LoanRequest``: ``granted`` tokens, already debited.

    ``renewed`` is True if the borrowed tokens may be held for another term.
    """

    account: AccountId
    sequence: int
    granted: float
    renewed: bool


@dataclass(frozen=True, slots=True)
class BucketState:
    """The available and the lent tokens of one client account in a share."""

    account: AccountId
    tokens: float
    lent: float


@dataclass(frozen=True, slots=True)
class HandOverShare:
    """Hand a share over to ``receiver``; the sender has stopped using it.

    Accounts not in ``buckets`` were idle for ``idle_s``, and their buckets have
    refilled for that time. ``hop`` counts the hand-overs since the last record,
    which distinguishes a resent message from a new one.
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
    """``holder`` received a share in the ``hop``-th hand-over since its last record."""

    share: ShareId
    holder: VmId
    revision: Offset
    hop: int


@dataclass(frozen=True, slots=True)
class SharesQuery:
    """Query a peer for the holders of shares while the log is unavailable.

    ``next_offset`` is the first offset of ``shares`` that the sender has not folded.
    """

    next_offset: Offset = 0


@dataclass(frozen=True, slots=True)
class SharesState:
    """Answer to ``SharesQuery``: the state after all records before ``next_offset``.

    ``entries`` is empty if the querying VM has folded as many records. ``hints``
    name the holders of shares that were handed over since their last records.
    """

    next_offset: Offset
    entries: tuple[ShareEntry, ...]
    hints: tuple[ShareHint, ...] = ()


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Tokens of an account that a VM requests, and those that it returns unused.

    ``waiting`` tokens are for requests that wait now; ``ahead`` tokens are
    prefetched for later requests. ``part`` is the part of the rate that the VM holds
    for its use of it; with ``is_farewell`` it gives that part up.
    """

    account: AccountId
    waiting: float
    ahead: float = 0.0
    returned: float = 0.0
    part: float = 0.0
    is_farewell: bool = False


@dataclass(frozen=True, slots=True)
class TokenRequestBatch:
    """Token requests for several accounts, sent to the bucket owner.

    An empty one says that the sender reaches the owner. ``base_part`` is the part of
    all rates that it holds. ``holds_parts`` says whether it holds a part of any rate;
    it states each of them from time to time. With ``is_inquiry`` the sender only wants
    to know whether the receiver holds any.
    """

    wishes: tuple[TokenRequest, ...]
    holds_parts: bool = False
    base_part: float = 0.0
    is_inquiry: bool = False


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Granted tokens, already debited; the next is available after ``wait_s``.

    ``part`` is the part of the rate that the VM holds from now on for its use of it.
    """

    account: AccountId
    granted: float
    wait_s: float
    part: float = 0.0


@dataclass(frozen=True, slots=True)
class TokenGrantBatch:
    """Answer to ``TokenRequestBatch``.

    ``is_whole`` says that the sender granted of the whole rates, ``holds_parts`` that
    it holds a part of a rate itself. ``base_part`` is the part of all rates that the
    receiver holds from now on.
    """

    grants: tuple[TokenGrant, ...]
    is_whole: bool = False
    holds_parts: bool = False
    base_part: float = 0.0


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
    """One token was acquired; the request may proceed."""


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """No token is available yet; call ``acquire`` again at ``at``."""

    at: float


@dataclass(frozen=True, slots=True)
class Refused:
    """No token is available in time; the caller may retry after ``retry_after_s``.

    ``holders_unreachable`` is True if this VM has no share that it may spend from
    and reaches none of the holders; another VM may then have tokens.
    """

    retry_after_s: float
    holders_unreachable: bool = False


Decision = Granted | WaitUntil | Refused


@dataclass(frozen=True, slots=True)
class RatePreview:
    """The decision on a request of an account that takes no token.

    ``tokens`` are those that this VM can spend without asking another VM. All numbers
    are None for an account without a limit.
    """

    decision: Decision
    rate: float | None = None
    burst: float | None = None
    tokens: float | None = None


@dataclass(frozen=True, slots=True)
class QuotaStatus:
    """Counts for operators.

    ``n_waiting`` shares are held but may not be spent from yet. ``n_unrecorded``
    were received by direct hand-over and have no record yet. ``n_handing_over``
    were handed over to a VM that has not answered. ``n_vacant`` have no holder.
    ``n_stranded`` have a holder that is neither live nor proven gone.
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
