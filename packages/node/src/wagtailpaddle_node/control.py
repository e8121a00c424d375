"""Control plane of a node on a log: configuration, fleet, quota, claims, health."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from wagtailpaddle_config import ConfigFold, Configuration
from wagtailpaddle_core import AccountId, Offset, VmId
from wagtailpaddle_fleet import (
    AppendRecord,
    FoldRecords,
    ListedVm,
    Membership,
    RestoreSnapshot,
    SnapshotAnswer,
    Vm,
)
from wagtailpaddle_fleet import SendPeer as FleetCall
from wagtailpaddle_health import HealthDigest, select_monitors
from wagtailpaddle_once import ClaimManager, OnceAction, Reject, Run
from wagtailpaddle_once import Replay as ClaimReplay
from wagtailpaddle_once import SendPeer as OnceCall
from wagtailpaddle_quota import (
    ChangeShares,
    HandOverShare,
    Limit,
    LoanRequest,
    QuotaAction,
    ShareRateLimiter,
    SharesQuery,
)
from wagtailpaddle_quota import SendPeer as QuotaCall
from wagtailpaddle_routing import LeavingNotice

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.config_stream import ConfigStream, RawLogRecord
from wagtailpaddle_node.health_probes import HealthProbes
from wagtailpaddle_node.messages import Append, NodeAction
from wagtailpaddle_node.peer_snapshots import Codec, PeerSnapshots
from wagtailpaddle_node.pending_calls import (
    CALL_TIMEOUT_S,
    Component,
    PendingCall,
    PendingCalls,
)
from wagtailpaddle_node.recent_limits import RecentLimits
from wagtailpaddle_node.roster_watcher import RosterWatcher
from wagtailpaddle_node.share_stream import ShareStream

CONFIG_STREAM = "config"
SHARES_STREAM = "shares"
FLEET_TICK_INTERVAL_S = 0.2
N_CLAIM_PARTITIONS = 64
ROSTER_CHECK_INTERVAL_S = 0.5

ControlAction = NodeAction | Run | Reject | ClaimReplay


class Control:
    """All decisions of a node that do not concern a single request.

    Methods receive events with the current time. They return actions for the
    front end together with outcomes of claims (``Run``, ``Reject`` and
    ``Replay``), which the request pipeline turns into actions.
    """

    def __init__(
        self, vm: Vm, backends: Backends, codec: Codec, *, site: str, seed: int
    ):
        self.vm = vm
        self.backends = backends
        self.fold = ConfigFold(site=site)
        self.membership = Membership(
            vm,
            seed=seed,
            snapshot_chunk=self._offer_chunk,
            shares_offset=lambda: self.quota.next_offset,
        )
        self.config_stream = ConfigStream(
            self.fold, self.membership, codec.decode, seed=seed
        )
        window_s = self.membership.freshness.window_s
        self.quota = ShareRateLimiter(vm.id, limits=self.limit_of, freshness_s=window_s)
        self.share_stream = ShareStream(self.quota, self.membership, codec.decode)
        self.peer_snapshots = PeerSnapshots(
            self.config_stream, self.quota, codec, writer=vm.id
        )
        self.claims = ClaimManager(vm.id, n_partitions=N_CLAIM_PARTITIONS)
        self.calls = PendingCalls()
        self.health_probes = HealthProbes(vm.id, backends, seed=seed)
        self.n_bad_messages = 0
        self._limits = RecentLimits(window_s=window_s)
        self._roster_watcher = RosterWatcher(self.membership, self.config_stream)
        self._last_fleet_tick_at = float("-inf")
        self._last_roster_check_at = float("-inf")

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this VM."""
        return self.fold.configuration

    @property
    def has_roster(self) -> bool:
        """Whether the rate limiter has received a list of VMs."""
        return self._roster_watcher.last_vms is not None

    # Events of the log

    def on_config_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> tuple[ControlAction, ...]:
        """Process the log's answer to a read of the ``config`` stream."""
        before = self.configuration
        self.config_stream.on_read(now, records, first, head)
        actions = self._convert_fleet_actions(
            now, self.membership.on_log_head(now, sent_at, head)
        )
        actions += self._update_claim_roster(now)
        return self._apply_configuration(now, before) + actions

    def on_shares_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> None:
        """Process the log's answer to a read of the ``shares`` stream."""
        self.share_stream.on_read(now, sent_at, records, first, head)

    def due_snapshots(self, wall_s: float) -> tuple[Append, ...]:
        """Return the snapshot records that this VM should append now."""
        chunks = self.config_stream.due_snapshot(wall_s)
        appends = tuple(Append(CONFIG_STREAM, chunk) for chunk in chunks)
        shares = self.share_stream.due_snapshot()
        return appends + tuple(Append(SHARES_STREAM, record) for record in shares)

    def on_append_failed(self, now: float, append: Append) -> None:
        """An append was not confirmed; the record may still be in the log."""
        if isinstance(append.record, ChangeShares):
            self.quota.on_append_failed(now, append.record.id)

    # Events from peers

    def on_message(self, now: float, sender: VmId, body: Any) -> Any:
        """Return the reply to a peer's message, or None for no reply."""
        match body:
            case LeavingNotice():
                self.backends.on_leaving_notice(now, body)
                return None
            case HealthDigest():
                if body.vm != sender:
                    self.n_bad_messages += 1
                    return None
                self.backends.health.merge(now, body)
                return None
            case LoanRequest() | HandOverShare() | SharesQuery():
                return self.quota.on_message(now, sender, body)
        reply = self.membership.on_message(now, sender, body)
        if reply is not None:
            return reply
        return self.claims.on_message(now, sender, body)

    def on_peer_reply(
        self, now: float, number: int, reply: Any
    ) -> tuple[ControlAction, ...]:
        """A peer answered the call ``number``."""
        call = self.calls.end(number)
        if call is None:
            return ()
        match call.component:
            case Component.FLEET:
                return self._on_fleet_reply(now, call, reply)
            case Component.QUOTA:
                return self._on_quota_reply(now, call, reply)
            case Component.ONCE:
                body: Any = call.body
                return self.convert_claim_actions(
                    now, self.claims.on_reply(now, call.vm, body, reply)
                )
        return ()

    def on_peer_failed(self, now: float, number: int) -> tuple[ControlAction, ...]:
        """The call ``number`` got no reply; the peer may still have received it."""
        call = self.calls.end(number)
        if call is None:
            return ()
        body: Any = call.body
        match call.component:
            case Component.FLEET:
                failed = self.membership.on_call_failed(now, call.address, body)
                return self._convert_fleet_actions(now, failed)
            case Component.QUOTA:
                self.quota.on_call_failed(now, call.vm, body)
            case Component.ONCE:
                return self.convert_claim_actions(
                    now, self.claims.on_call_failed(now, call.vm, body)
                )
        return ()

    def on_vm_list(
        self, now: float, entries: Iterable[ListedVm]
    ) -> tuple[ControlAction, ...]:
        """The platform answered with its list of VMs."""
        return self._convert_fleet_actions(
            now, self.membership.on_vm_list(now, entries)
        )

    # Timers

    def on_stall(self, now: float, stalled_s: float) -> None:
        """The event loop was stalled for ``stalled_s`` seconds."""
        self.quota.on_stall(now, stalled_s)

    def tick(self, now: float) -> tuple[ControlAction, ...]:
        """Run the timers of all parts; called about 20 times a second."""
        actions = self._send_health_digests(now)
        if now - self._last_fleet_tick_at >= FLEET_TICK_INTERVAL_S:
            self._last_fleet_tick_at = now
            actions += self._convert_fleet_actions(now, self.membership.tick(now))
            actions += self._query_shares(now)
            actions += self.send_leaving_notices(now)
            actions += self._update_claim_roster(now)
            actions += self.convert_claim_actions(now, self.claims.tick(now))
        if now - self._last_roster_check_at >= ROSTER_CHECK_INTERVAL_S:
            self._last_roster_check_at = now
            self._limits.settle(
                now, lambda offset: self.membership.acceptance(offset).in_force
            )
            actions += self._update_vms(now)
        return actions + self._convert_quota_actions(now, self.quota.tick(now))

    def track_acceptance(self, now: float, offset: Offset) -> tuple[ControlAction, ...]:
        """Begin to count the VMs that confirm the change at ``offset``."""
        tracked = self.membership.track_acceptance(now, offset)
        return self._convert_fleet_actions(now, tracked + self.membership.tick(now))

    # Graceful stop

    def release(self, now: float) -> tuple[ControlAction, ...]:
        """Hand over shares and claims; call it after the last request ended."""
        return self._convert_quota_actions(
            now, self.quota.release(now)
        ) + self.convert_claim_actions(now, self.claims.release(now))

    def leave(self, now: float) -> tuple[ControlAction, ...]:
        """Hand over the seats; call it after shares and claims are handed over."""
        return self._convert_fleet_actions(now, self.membership.leave(now))

    # Calls from the request pipeline

    def limit_of(self, account: AccountId) -> Limit | None:
        """Return the rate and burst of an active client account.

        After a change the smaller burst applies until every fresh VM must have
        received the change.
        """
        known = self.configuration.accounts.get(account)
        if known is None or not known.active:
            return None
        return self._limits.get(known)

    def borrow(self, now: float, account: AccountId) -> tuple[ControlAction, ...]:
        """Borrow tokens for an account from other holders of its shares."""
        return self._convert_quota_actions(now, self.quota.borrow(now, account))

    def convert_claim_actions(
        self, now: float, actions: Iterable[OnceAction]
    ) -> tuple[ControlAction, ...]:
        """Turn calls of the claim manager into peer calls; return the rest as is."""
        return tuple(
            self.calls.to_vm(now, Component.ONCE, action.vm, action.message)
            if isinstance(action, OnceCall)
            else action
            for action in actions
        )

    def _apply_configuration(
        self, now: float, before: Configuration
    ) -> tuple[ControlAction, ...]:
        after = self.configuration
        if after.accounts is not before.accounts:
            names = self.config_stream.pop_changed_accounts()
            offset = after.revision - 1
            if self._limits.record_changes(
                now, offset, before.accounts, after.accounts, names
            ):
                self.membership.track_acceptance(now, offset)
        if after.services is before.services:
            return ()
        self.health_probes.configure(now, after)
        return self.backends.configure(now, after)

    def _convert_fleet_actions(
        self, now: float, actions: Iterable[Any]
    ) -> tuple[ControlAction, ...]:
        converted: list[ControlAction] = []
        for action in actions:
            match action:
                case FleetCall():
                    converted.append(
                        self.calls.to_address(
                            now,
                            Component.FLEET,
                            action.address,
                            action.body,
                            action.timeout_s,
                        )
                    )
                case AppendRecord():
                    converted.append(Append(CONFIG_STREAM, action.record))
                case FoldRecords():
                    converted += self._fold_from_peer(now, action)
                case RestoreSnapshot():
                    converted += self._restore_from_peer(now, action)
        return tuple(converted)

    def _fold_from_peer(
        self, now: float, action: FoldRecords
    ) -> tuple[ControlAction, ...]:
        before = self.configuration
        raw = [RawLogRecord(item.offset, item.data) for item in action.records]
        self.config_stream.fold_records(now, raw)
        return self._apply_configuration(now, before)

    def _restore_from_peer(
        self, now: float, action: RestoreSnapshot
    ) -> tuple[ControlAction, ...]:
        before = self.configuration
        if not self.peer_snapshots.restore(now, action.chunks):
            self.n_bad_messages += 1
        return self._apply_configuration(now, before)

    def _offer_chunk(self, now: float, upto: Offset, index: int) -> SnapshotAnswer:
        return self.peer_snapshots.offer_chunk(now, upto, index)

    def _on_fleet_reply(
        self, now: float, call: PendingCall, reply: Any
    ) -> tuple[ControlAction, ...]:
        body: Any = call.body
        answered = self.membership.on_reply(
            now, call.sent_at, call.address, body, reply
        )
        return self._convert_fleet_actions(now, answered)

    def _convert_quota_actions(
        self, now: float, actions: Iterable[QuotaAction]
    ) -> tuple[ControlAction, ...]:
        converted: list[ControlAction] = []
        for action in actions:
            if isinstance(action, QuotaCall):
                call = self.calls.to_vm(now, Component.QUOTA, action.vm, action.message)
                converted.append(call)
            else:
                converted.append(Append(action.stream, action.record))
        return tuple(converted)

    def _on_quota_reply(
        self, now: float, call: PendingCall, reply: Any
    ) -> tuple[ControlAction, ...]:
        body: Any = call.body
        return self._convert_quota_actions(
            now, self.quota.on_reply(now, call.vm, body, reply)
        )

    def _query_shares(self, now: float) -> tuple[ControlAction, ...]:
        address = self.share_stream.poll(now)
        if address is None:
            return ()
        query = SharesQuery(self.quota.next_offset)
        return (
            self.calls.to_address(now, Component.QUOTA, address, query, CALL_TIMEOUT_S),
        )

    def send_leaving_notices(self, now: float) -> tuple[ControlAction, ...]:
        """Send due notices of leaving servers to all other VMs.

        Any VM may receive a request for the service.
        """
        return tuple(
            self.calls.to_vm(now, Component.HEALTH, vm.id, notice)
            for notice in self.backends.leaving_servers.due_notices(now)
            for vm in self.membership.vms(now)
            if vm.id != self.vm.id
        )

    def send_trust_notices(self, now: float) -> tuple[ControlAction, ...]:
        """Discard notices of single failures: health digests share the evidence."""
        self.backends.dispatcher.pop_trust_notices()
        return ()

    def _send_health_digests(self, now: float) -> tuple[ControlAction, ...]:
        digests = self.backends.health.digests(now)
        if not digests:
            return ()
        vms = [vm.id for vm in self.membership.vms(now)]
        return tuple(
            self.calls.to_vm(now, Component.HEALTH, vm, replace(digest, to=()))
            for digest in digests
            for vm in digest.to or select_monitors(digest.service, vms)
            if vm != self.vm.id
        )

    def _update_vms(self, now: float) -> tuple[ControlAction, ...]:
        known = self._roster_watcher.poll_vms(now)
        if known is None:
            return ()
        self.quota.on_roster(now, known.vms, known.gone)
        self.health_probes.set_vms(now, known.vms)
        self.backends.leaving_servers.resend_all()
        return self.backends.set_vms(now, known.vms)

    def _update_claim_roster(self, now: float) -> tuple[ControlAction, ...]:
        actions: tuple[ControlAction, ...] = ()
        for roster_change in self._roster_watcher.pop_rosters(now):
            claim_actions = self.claims.on_roster(
                now, roster_change.current, roster_change.former, roster_change.gone
            )
            actions += self.convert_claim_actions(now, claim_actions)
        return actions
