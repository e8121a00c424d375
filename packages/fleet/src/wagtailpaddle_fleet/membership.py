"""One VM's view of the fleet: composes roster, freshness and directory."""

from collections.abc import Callable, Iterable
from typing import Any

from wagtailpaddle_core import Offset, VmId, ZoneId

from wagtailpaddle_fleet.messages import (
    AcceptanceState,
    Action,
    CallerAddresses,
    FleetRecord,
    ListedVm,
    PeerAnswer,
    PeerMessage,
    SnapshotAnswer,
    Vm,
)

SnapshotSource = Callable[[float, Offset, int], SnapshotAnswer]


class Membership:
    """Everything that a VM decides about the fleet.

    Events come in with the present time, frozen actions go out. The caller
    folds the ``config`` stream in order and reports each offset once.
    """

    def __init__(
        self,
        vm: Vm,
        *,
        seed: int = 0,
        snapshot_chunk: SnapshotSource | None = None,
    ):
        self.vm = vm

    def on_folded(
        self, now: float, offset: Offset, data: bytes, record: FleetRecord | None
    ) -> tuple[Action, ...]:
        """The record at ``offset`` was folded; None stands for any other kind."""
        raise NotImplementedError

    def on_log_head(
        self, now: float, sent_at: float, head: Offset
    ) -> tuple[Action, ...]:
        """The log named its head in answer to a question sent at ``sent_at``.

        Call it after the records of the same answer were folded.
        """
        raise NotImplementedError

    def on_vm_list(self, now: float, entries: Iterable[ListedVm]) -> tuple[Action, ...]:
        """The platform answered with its list of VMs."""
        raise NotImplementedError

    def on_message(
        self, now: float, sender: VmId, body: PeerMessage
    ) -> PeerAnswer | None:
        """Return the answer to a peer's message; None if it is none of ours."""
        raise NotImplementedError

    def on_reply(
        self, now: float, sent_at: float, address: str, body: PeerMessage, reply: Any
    ) -> tuple[Action, ...]:
        """A peer answered the message ``body`` that was sent at ``sent_at``."""
        raise NotImplementedError

    def on_call_failed(
        self, now: float, address: str, body: PeerMessage
    ) -> tuple[Action, ...]:
        """A message to a peer brought no answer; it may have arrived."""
        raise NotImplementedError

    def restored(
        self, now: float, upto: Offset, items: Iterable[tuple[str, dict[str, Any]]]
    ) -> tuple[Action, ...]:
        """A snapshot at ``upto`` was taken in; ``items`` are the roster's."""
        raise NotImplementedError

    def snapshot_items(self) -> tuple[tuple[str, dict[str, Any]], ...]:
        """Return the roster's part of a snapshot as (name, table) pairs."""
        raise NotImplementedError

    def tick(self, now: float) -> tuple[Action, ...]:
        """Act on the passing of time; called several times a second."""
        raise NotImplementedError

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        raise NotImplementedError

    def track(self, now: float, offset: Offset) -> tuple[Action, ...]:
        """Begin to count the seats that confirm the change at ``offset``."""
        raise NotImplementedError

    def acceptance(self, offset: Offset) -> AcceptanceState:
        """Return how far the change at ``offset`` is confirmed."""
        raise NotImplementedError

    def gone(self, now: float) -> frozenset[VmId]:
        """Return VMs that surely serve and spend nothing any more."""
        raise NotImplementedError

    def vms(self, now: float) -> tuple[Vm, ...]:
        """Return the known VMs that are neither gone nor leaving, by id."""
        raise NotImplementedError

    def addresses_for(
        self, now: float, *, account: str | None = None, zone: ZoneId | None = None
    ) -> CallerAddresses:
        """Return the addresses that a caller should use, best first."""
        raise NotImplementedError

    def leave(self, now: float) -> tuple[Action, ...]:
        """Begin a graceful stop: hand over the seats, leave the directory."""
        raise NotImplementedError

    @property
    def has_left(self) -> bool:
        """Whether no seat is held or in hand-over any more."""
        raise NotImplementedError
