"""Control plane of a node that keeps a copy of the platform's store."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from wagtailpaddle_config import ConfigDocument, Configuration
from wagtailpaddle_core import AccountId, VmId
from wagtailpaddle_health import HealthDigest, select_monitors
from wagtailpaddle_once import OnceAction
from wagtailpaddle_quota import (
    FetchTokens,
    Limit,
    PrefetchingRateLimiter,
    TokenGrantBatch,
    TokenRequestBatch,
)
from wagtailpaddle_replica import (
    Batch,
    Collection,
    CollectionChanges,
    Follow,
    FollowVm,
    Member,
    Replica,
    StepResult,
    Update,
    active_vms,
)
from wagtailpaddle_routing import TrustNotice, WarmupSharerTracker

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.bucket_owners import BucketOwners
from wagtailpaddle_node.copied_configuration import (
    CopiedConfiguration,
    document_version,
)
from wagtailpaddle_node.event_log import EventLog
from wagtailpaddle_node.health_probes import HealthProbes
from wagtailpaddle_node.messages import NodeAction
from wagtailpaddle_node.notice_routes import Hops, NoticeRoutes
from wagtailpaddle_node.pending_calls import Component, PendingCall, PendingCalls
from wagtailpaddle_node.registered_servers import RegisteredServers, server_version
from wagtailpaddle_node.replica_membership import (
    NoClaims,
    ReplicaMembership,
    ReplicaSettings,
)
from wagtailpaddle_node.server_statements import record_statements

Decoders = Mapping[Collection, Any]

TOKENS_TIMEOUT_S = 0.3
TOPOLOGY_INTERVAL_S = 0.25
MAX_CONTACT_AGE_S = 3.0
"""A VM whose copy of the servers is older counts as out of contact with the store."""

MIN_BUDGET_DIVISOR = 6
"""Smallest number of VMs among which a budget of the fleet is divided. A VM
that does not know the others yet must not spend the whole budget alone."""


class ReplicaControl:
    """All decisions of a node on the platform that do not concern a single request."""

    def __init__(
        self,
        own: Member,
        backends: Backends,
        decoders: Decoders,
        *,
        cfg: ReplicaSettings,
        seed: int = 0,
    ):
        self.backends = backends
        self.replica = Replica(
            own,
            decoders,
            versions={
                Collection.CONFIG: document_version,
                Collection.SERVERS: server_version,
            },
            seeds=cfg.seeds,
            apply_s=cfg.apply_s,
            seed=seed,
        )
        self.membership = ReplicaMembership(self.replica, cfg, seed=seed)
        self.quota = PrefetchingRateLimiter(
            own.id,
            self.limit_of,
            refill=cfg.refill,
            window_s=cfg.window_s,
            slack=cfg.slack,
        )
        self.claims = NoClaims()
        self.calls = PendingCalls()
        self.health_probes = HealthProbes(own.id, backends, seed=seed)
        self.events = EventLog()
        self.copied_configuration = CopiedConfiguration(self.events)
        self.n_bad_messages = 0
        self.registered_servers = RegisteredServers()
        self._topology_updated_at = float("-inf")
        self._active: frozenset[VmId] = frozenset()
        self._logged_era = 0
        self._n_silent = 0
        self._notice_routes = NoticeRoutes(own)
        self._warmup_sharers = WarmupSharerTracker(
            own.peer_address, excess=cfg.warmup_excess, slack=cfg.warmup_slack
        )
        self._bucket_owners = BucketOwners(self.replica)

    @property
    def document(self) -> ConfigDocument | None:
        """The newest document that operators published, or None."""
        return self.copied_configuration.document

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this VM."""
        return self.copied_configuration.current

    # Events of the store

    def on_read(self, now: float, sent_at: float, batch: Batch) -> tuple[Any, ...]:
        """The store answered a read that was sent at ``sent_at``."""
        return self._apply_step(now, self.replica.on_read(now, sent_at, batch))

    def on_read_failed(self, now: float, collection: Collection) -> tuple[Any, ...]:
        """The store did not answer a read."""
        return self._apply_step(now, self.replica.on_read_failed(now, collection))

    # Events from peers

    def on_message(self, now: float, sender: VmId, body: Any) -> Any:
        """Return the reply to a peer's message, or None for no reply."""
        match body:
            case HealthDigest():
                if body.vm != sender:
                    self.n_bad_messages += 1
                    return None
                self.backends.health.merge(now, body)
            case TokenRequestBatch():
                self.replica.record_use(now)
                return self.quota.on_message(now, sender, body)
        return None

    def on_trust_notice(self, now: float, body: TrustNotice) -> tuple[Any, ...]:
        """Another VM noticed that a server fails or recovered."""
        self.backends.dispatcher.on_trust_notice(now, body)
        return self._send_notices(now, self._notice_routes.on_received(body))

    def on_follow(self, now: float, body: Follow) -> tuple[Any, ...]:
        """Another VM asked for updates of the copied collections."""
        self._bucket_owners.record_peer(body.member)
        return self._apply_step(now, self.replica.on_follow(now, body))

    def on_peer_reply(self, now: float, number: int, reply: Any) -> tuple[Any, ...]:
        """A peer answered the call ``number``."""
        call = self.calls.end(number)
        if call is None:
            return ()
        match call.body, reply:
            case Follow() as body, Update():
                step = self.replica.on_update(now, call.address, reply, body)
                peer = self.replica.members.at(call.address)
                self._bucket_owners.record_peer(peer)
                return self._apply_step(now, step)
            case TokenRequestBatch() as body, TokenGrantBatch():
                self.quota.on_reply(now, call.vm, body, reply)
                return ()
            case Follow() | TokenRequestBatch(), _:
                return self._on_call_failed(now, call)
        return ()

    def on_peer_failed(self, now: float, number: int) -> tuple[Any, ...]:
        """The call ``number`` got no reply; the peer may still have received it."""
        call = self.calls.end(number)
        return () if call is None else self._on_call_failed(now, call)

    def _on_call_failed(self, now: float, call: PendingCall) -> tuple[Any, ...]:
        match call.body:
            case Follow():
                step = self.replica.on_follow_failed(now, call.address)
                return self._apply_step(now, step)
            case TokenRequestBatch() as body:
                self.quota.on_call_failed(now, call.vm, body)
            case TrustNotice() as body:
                return self._send_notices(
                    now, self._notice_routes.on_failed(call.vm, body)
                )
        return ()

    # Timers

    def on_stall(self, now: float, stalled_s: float) -> None:
        """This process stood still, and the others went on without it."""
        self.replica.on_stall(now, stalled_s)
        self.quota.on_stall(now)
        self.events.record("The process stood still.", seconds=round(stalled_s, 2))

    def tick(self, now: float) -> tuple[Any, ...]:
        """Run the timers of all parts; called several times a second."""
        actions = self._apply_step(now, self.replica.on_tick(now))
        actions += self._send_health_digests(now)
        if now - self._topology_updated_at >= TOPOLOGY_INTERVAL_S:
            self._topology_updated_at = now
            actions += self._update_topology(now)
        is_server_gone = self.registered_servers.expire(now)
        is_evacuation_over = self._expire_evacuations(now)
        if is_server_gone or is_evacuation_over:
            actions += self._rebuild_configuration(now)
        return actions + self._convert_fetches(now, self.quota.tick(now))

    def apply_settings(self, cfg: ReplicaSettings) -> None:
        """Apply settings that changed while the process runs."""
        self.membership.cfg = cfg
        self._warmup_sharers.set_bound(excess=cfg.warmup_excess, slack=cfg.warmup_slack)

    @property
    def active(self) -> frozenset[VmId]:
        """The VMs that carry callers, in this VM's view."""
        return self._active

    def leave(self, now: float) -> tuple[Any, ...]:
        """Begin a graceful stop."""
        self.membership.leaving = True
        return self._apply_step(now, self.replica.leave(now))

    # Calls from the request pipeline

    def limit_of(self, account: AccountId) -> Limit | None:
        """Return the rate and burst of an account, None without a limit."""
        known = self.configuration.accounts.get(account)
        return None if known is None else Limit(known.rate, known.burst)

    def borrow(self, now: float, account: AccountId) -> tuple[Any, ...]:
        """Fetch tokens from the bucket owners for a waiting request."""
        return self._convert_fetches(now, self.quota.fetch(now, account))

    def convert_claim_actions(
        self, now: float, actions: Iterable[OnceAction]
    ) -> tuple[Any, ...]:
        """Return the actions of claims as they are."""
        return tuple(actions)

    # Proof that the copies are current

    def must_confirm(self, now: float) -> bool:
        """Return whether a request must wait for the store before it is decided.

        While the store is out of reach the last copies decide.
        """
        return self.replica.is_outdated(now) and self.replica.may_confirm(now)

    def confirm(self, now: float) -> tuple[Any, ...]:
        """Read the copies that are too old to decide."""
        age_s = self.replica.age_s(now, Collection.CONFIG)
        self.events.record("Requests wait for the store.", age_s=round(age_s, 3))
        return self._apply_step(now, self.replica.confirm(now))

    def send_leaving_notices(self, now: float) -> tuple[Any, ...]:
        """Send nothing: servers publish in the store that they are leaving."""
        return ()

    def _expire_evacuations(self, now: float) -> bool:
        """End evacuations that the store lost and that were not written again."""
        return self.copied_configuration.expire(
            now,
            self.replica.copies[Collection.CONFIG].values(),
            self.replica.age_s(now, Collection.CONFIG),
            self.replica.rewritten_at,
        )

    def _log_era(self, changed: Sequence[CollectionChanges]) -> None:
        """Log that the store lost records, and what differs in each collection."""
        era = self.replica.era
        if era == self._logged_era:
            return
        if self._logged_era:
            n_changed = {item.collection.value: len(item.changes) for item in changed}
            self.events.record("The store lost records.", era=era, **n_changed)
        self._logged_era = era

    def _apply_step(self, now: float, step: StepResult) -> tuple[Any, ...]:
        self._log_era(step.changed)
        actions: tuple[Any, ...] = ()
        for action in step.actions:
            if isinstance(action, FollowVm):
                actions += (
                    self.calls.to_address(
                        now,
                        Component.REPLICA,
                        action.address,
                        action.body,
                        action.timeout_s,
                    ),
                )
            else:
                actions += (action,)
        outdated = [self._apply_changes(now, changed) for changed in step.changed]
        if any(outdated):
            actions += self._rebuild_configuration(now)
        return actions + self.backends.refresh_cold(now)

    def _apply_changes(self, now: float, changed: CollectionChanges) -> bool:
        """Apply changes of a collection; return if the configuration is outdated."""
        if changed.collection is Collection.CONFIG:
            return self.copied_configuration.apply(
                now,
                changed.changes,
                self.replica.copies[Collection.CONFIG].values(),
                self.replica.age_s(now, Collection.CONFIG),
                rewritten_at=self.replica.rewritten_at,
            )
        if changed.collection is Collection.SERVERS:
            self.events.record_servers(
                changed.changes,
                lapsed=self.replica.in_grace(now),
                age_s=self.replica.age_s(now, Collection.SERVERS),
            )
            record_statements(
                now, self.backends, self.registered_servers, changed.changes
            )
            return self.registered_servers.apply(
                now, changed.changes, grace_ends_at=self.replica.grace_ends_at
            )
        return False

    def _rebuild_configuration(self, now: float) -> tuple[NodeAction, ...]:
        cfg = self.copied_configuration.build(self.registered_servers.servers())
        if cfg is None:
            return ()
        self.membership.n_slots = sum(
            server.slots
            for service in cfg.services.values()
            for server in service.servers
        )
        self.health_probes.configure(now, cfg)
        return self.backends.configure(now, cfg)

    def _update_topology(self, now: float) -> tuple[NodeAction, ...]:
        alive = self.replica.members.alive(now)
        found = active_vms(alive, n_slots=self.membership.n_slots)
        active_ids = {member.id for member in found}
        self.quota.set_owners(now, self._bucket_owners.choose(now, alive, active_ids))
        active = frozenset(active_ids)
        self.quota.set_vms(now, active, self.replica.members.knows)
        self._log_silent(now)
        self.replica.members.record_active(now, active)
        in_contact = self.replica.age_s(now, Collection.SERVERS) <= MAX_CONTACT_AGE_S
        sharers = self._warmup_sharers.update(
            now,
            active=frozenset(member.peer_address for member in found),
            alive=(member.peer_address for member in alive),
            is_registered=self._is_registered,
            in_contact=in_contact,
        )
        self.backends.in_contact = in_contact
        self.backends.dispatcher.share_warmup(now, sharers)
        if active == self._active:
            return ()
        self._active = active
        self._notice_routes.set_active(found)
        self.backends.dispatcher.share_budgets(now, self._budget_divisor(len(alive)))
        self.events.record(
            "VMs that carry callers.", vms=sorted(active), alive=len(alive)
        )
        self.health_probes.set_vms(now, active)
        return self.backends.set_vms(now, active)

    def _log_silent(self, now: float) -> None:
        """Log how many VMs hold parts of the rates out of this VM's reach."""
        n_silent = len(self.quota.silent(now))
        if n_silent != self._n_silent and self.quota.is_granting(now):
            self.events.record("VMs out of reach hold parts of rates.", n=n_silent)
            self._n_silent = n_silent

    def _is_registered(self, address: str) -> bool:
        """Return whether the store has the record of the VM at an address."""
        return self.replica.copies[Collection.VMS].get(address) is not None

    def _budget_divisor(self, n_alive: int) -> int:
        """Return by how much the budgets of the fleet are divided for this VM.

        These are the retries and the limits that servers state. Standby VMs get few
        requests, but all of them together must not spend the part of the active VMs.
        """
        divisor = max(MIN_BUDGET_DIVISOR, len(self._active))
        is_active = self.replica.own.id in self._active
        return divisor if is_active else divisor * n_alive

    def send_trust_notices(self, now: float) -> tuple[Any, ...]:
        """Notify the active VMs at once of servers that fail or recover."""
        actions: tuple[Any, ...] = ()
        for notice in self.backends.dispatcher.pop_trust_notices():
            actions += self._send_notices(now, self._notice_routes.first_hops(notice))
        return actions

    def _send_notices(self, now: float, hops: Hops) -> tuple[Any, ...]:
        return tuple(
            self.calls.to_vm(now, Component.HEALTH, vm, notice) for vm, notice in hops
        )

    def _send_health_digests(self, now: float) -> tuple[Any, ...]:
        digests = self.backends.health.digests(now)
        own = self.replica.own.id
        return tuple(
            self.calls.to_vm(now, Component.HEALTH, vm, replace(digest, to=()))
            for digest in digests
            for vm in digest.to or select_monitors(digest.service, self._active)
            if vm != own
        )

    def _convert_fetches(
        self, now: float, fetches: Iterable[FetchTokens]
    ) -> tuple[Any, ...]:
        return tuple(
            self.calls.to_vm(
                now, Component.QUOTA, fetch.vm, fetch.body, timeout_s=TOKENS_TIMEOUT_S
            )
            for fetch in fetches
        )
