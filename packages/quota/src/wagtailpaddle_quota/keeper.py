"""Rates and bursts of client accounts on one VM."""

from collections.abc import Callable, Iterable

from wagtailpaddle_core import AccountId, Offset, VmId

from wagtailpaddle_quota.messages import (
    Decision,
    Limit,
    QuotaAction,
    QuotaMessage,
    QuotaReply,
    ShareEntry,
    ShareRecord,
    ShareSnapshot,
)

N_GROUPS = 64
N_SHARES = 4


class QuotaKeeper:
    """Holds this VM's shares and decides whether a request may run.

    Interface only so far.
    """

    def __init__(
        self,
        vm: VmId,
        *,
        limits: Callable[[AccountId], Limit | None],
        seed: int = 0,
        n_groups: int = N_GROUPS,
        n_shares: int = N_SHARES,
    ):
        self.vm = vm

    @property
    def next_offset(self) -> Offset:
        """The offset of the first record of ``shares`` not yet folded."""
        raise NotImplementedError

    def on_record(self, now: float, offset: Offset, record: ShareRecord) -> None:
        """Fold a record of the ``shares`` stream, in the order of the log."""
        raise NotImplementedError

    def state(self) -> tuple[ShareEntry, ...]:
        """Return the folded state, for a VM that starts without the log."""
        raise NotImplementedError

    def load(
        self, now: float, next_offset: Offset, entries: tuple[ShareEntry, ...]
    ) -> None:
        """Take the folded state of a peer if it is further on."""
        raise NotImplementedError

    def snapshot_records(self) -> tuple[ShareSnapshot, ...]:
        """Return the state as records, to be appended before retention ends."""
        raise NotImplementedError

    def on_roster(
        self,
        now: float,
        vms: Iterable[VmId],
        gone: Iterable[VmId],
        registered: Iterable[VmId] | None = None,
    ) -> None:
        """Take in the live VMs, those proven gone, and the registered ones.

        ``registered`` are the VMs counted by the freshness rule (default:
        ``vms``).
        """
        raise NotImplementedError

    def confirmed(self, now: float, sent_at: float, next_offset: Offset) -> None:
        """Take in a confirmation of the freshness rule.

        ``next_offset`` of ``shares`` is the highest that the log, or any of a
        majority of the registered VMs, named in answer to a question sent at
        ``sent_at``. It counts only if this VM has folded as far.
        """
        raise NotImplementedError

    def may_spend(self, now: float) -> bool:
        """Return whether this VM would know that a share of its was claimed."""
        raise NotImplementedError

    def on_stall(self, now: float, stalled_s: float) -> None:
        """Forget confirmations: the loop stood still for too long."""
        raise NotImplementedError

    def take(self, now: float, account: AccountId, deadline_at: float) -> Decision:
        """Take one token of ``account`` for a request due by ``deadline_at``."""
        raise NotImplementedError

    def tick(self, now: float) -> tuple[QuotaAction, ...]:
        """Act on the passing of time; called about 20 times a second."""
        raise NotImplementedError

    def on_append_failed(self, now: float, record_id: str) -> None:
        """Take in that an append surely or possibly failed."""
        raise NotImplementedError

    def on_message(self, now: float, sender: VmId, message: QuotaMessage) -> QuotaReply:
        """Answer a peer."""
        raise NotImplementedError

    def on_reply(
        self, now: float, vm: VmId, message: QuotaMessage, reply: QuotaReply
    ) -> None:
        """Take in the reply of ``vm`` to ``message``."""
        raise NotImplementedError

    def on_call_failed(self, now: float, vm: VmId, message: QuotaMessage) -> None:
        """Take in that the call of ``vm`` failed; it may have been received."""
        raise NotImplementedError

    def release(self, now: float) -> tuple[QuotaAction, ...]:
        """Hand all shares over at a graceful stop; ``tick`` goes on with it."""
        raise NotImplementedError

    def homes(self, account: AccountId, vms: Iterable[VmId]) -> tuple[VmId, ...]:
        """Return the VMs among ``vms`` that hold shares of ``account``."""
        raise NotImplementedError
