"""The node of a fleet whose configuration is a log of changes."""

from collections.abc import Iterable
from typing import Any

from wagtailpaddle_core import Offset, VmId, ZoneId
from wagtailpaddle_fleet import CallerAddresses, ListedVm, Vm
from wagtailpaddle_health import OutlierDetector
from wagtailpaddle_routing import Dispatcher

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.config_stream import RawLogRecord
from wagtailpaddle_node.control import Control
from wagtailpaddle_node.messages import Append, NodeAction
from wagtailpaddle_node.peer_snapshots import Codec
from wagtailpaddle_node.request_node import RequestNode


class Node(RequestNode):
    """All decisions of one daemon in a fleet that has its own log.

    ``codec`` encodes and decodes records of the log and of peers' snapshots.
    """

    def __init__(
        self,
        vm: Vm,
        codec: Codec,
        *,
        site: str,
        seed: int = 0,
        policy: str = "scan",
        max_waiting: int = 1024,
    ):
        self.vm = vm
        health = OutlierDetector(vm.id, zone=vm.zone, policy=policy, seed=seed)
        dispatcher = Dispatcher(zone=vm.zone, max_waiting=max_waiting, seed=seed)
        backends = Backends(health, dispatcher)
        control = Control(vm, backends, codec, site=site, seed=seed)
        super().__init__(control, backends, dispatcher)

    @property
    def fold(self) -> Any:
        """The fold of the ``config`` stream, for operators' commands."""
        return self.control.fold

    def is_ready(self, now: float) -> bool:
        """Return whether this VM can serve, with usable shares and claims."""
        shares = self.control.quota.status(now)
        claims = self.control.claims.status()
        unsettled = shares.n_waiting + shares.n_vacant + claims.n_partitions_syncing
        seated = self.control.membership.roster.members
        is_able = self.control.has_roster and shares.may_spend
        is_able = is_able and any(vm.id == self.vm.id for vm in seated)
        return self.is_fresh(now) and is_able and not unsettled

    def addresses(
        self, now: float, key_hash: str | None, zone: ZoneId | None
    ) -> CallerAddresses:
        """Return the addresses that a caller should use, best first."""
        account = None
        if key_hash is not None:
            account = self.configuration.account_for(key_hash)
        membership = self.control.membership
        preferred_vms: tuple[VmId, ...] = ()
        if account is not None:
            vms = [vm.id for vm in membership.vms(now)]
            preferred_vms = self.control.quota.preferred_vms(account.id, vms)
        name = account.id if account is not None else None
        return membership.addresses_for(
            now, account=name, zone=zone, preferred_vms=preferred_vms
        )

    # Events of the log and the platform

    @property
    def read_from(self) -> tuple[Offset, Offset]:
        """Offsets at which to read the ``config`` and ``shares`` streams next."""
        return self.control.config_stream.read_from, self.control.quota.next_offset

    def on_config_trimmed(self, first: Offset) -> None:
        """The ``config`` stream holds nothing before ``first``."""
        self.control.config_stream.on_trimmed(first)

    def on_config_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> tuple[NodeAction, ...]:
        """The log answered a read of ``config`` that was sent at ``sent_at``."""
        refused = self._begin_event(now)
        actions = self.control.on_config_read(now, sent_at, records, first, head)
        return refused + self._pipeline.settle(now, actions) + self._pipeline.sweep(now)

    def on_shares_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> tuple[NodeAction, ...]:
        """The log answered a read of ``shares`` that was sent at ``sent_at``."""
        self._check_stall(now)
        self.control.on_shares_read(now, sent_at, records, first, head)
        return ()

    def on_append_failed(self, now: float, append: Append) -> None:
        """An append was not confirmed by the log."""
        self.control.on_append_failed(now, append)

    def on_vm_list(
        self, now: float, entries: Iterable[ListedVm]
    ) -> tuple[NodeAction, ...]:
        """The platform answered with its list of VMs."""
        refused = self._begin_event(now)
        return refused + self._pipeline.settle(
            now, self.control.on_vm_list(now, entries)
        )

    def due_snapshots(self, wall_s: float) -> tuple[Append, ...]:
        """Return the snapshot records to append now; call it once a second."""
        return self.control.due_snapshots(wall_s)

    def track_acceptance(self, now: float, offset: Offset) -> tuple[NodeAction, ...]:
        """Begin to count the VMs that confirm the change at ``offset``."""
        return self._pipeline.settle(now, self.control.track_acceptance(now, offset))

    # Graceful stop

    def release(self, now: float) -> tuple[NodeAction, ...]:
        """Hand over shares and claims, once no request is in flight."""
        return self._pipeline.settle(now, self.control.release(now))

    def leave(self, now: float) -> tuple[NodeAction, ...]:
        """Hand over the seats, once shares and claims are handed over."""
        return self._pipeline.settle(now, self.control.leave(now))

    @property
    def has_released(self) -> bool:
        """Whether shares and claims are handed over."""
        return self.control.quota.released and self.control.claims.released

    @property
    def has_left(self) -> bool:
        """Whether nothing in the fleet depends on this VM any more."""
        return self.control.membership.has_left
