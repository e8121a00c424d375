"""The node of a fleet whose state is in the platform's store."""

from math import inf
from typing import Any

from wagtailpaddle_core import ErrorKind, RequestId, ServerId, ServiceId, ZoneId
from wagtailpaddle_fleet import CallerAddresses
from wagtailpaddle_health import OutlierDetector
from wagtailpaddle_replica import Batch, Collection, Era, Follow, Member, Update
from wagtailpaddle_routing import (
    Dispatcher,
    LeavingServers,
    Policy,
    Refuse,
    TrustNotice,
)

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.messages import (
    ConfigState,
    LogEvent,
    NodeAction,
    RequestHead,
)
from wagtailpaddle_node.replica_control import Decoders, ReplicaControl
from wagtailpaddle_node.replica_membership import ReplicaSettings
from wagtailpaddle_node.replica_view import describe
from wagtailpaddle_node.request_node import RequestNode
from wagtailpaddle_node.unconfirmed_requests import UnconfirmedRequests


class ReplicaNode(RequestNode):
    """All decisions of one daemon that copies the store, directly or from other VMs."""

    control: ReplicaControl

    def __init__(
        self,
        own: Member,
        decoders: Decoders,
        *,
        cfg: ReplicaSettings,
        routing: Policy,
        policy: str = "scan",
        seed: int = 0,
    ):
        health = OutlierDetector(own.id, zone=own.zone, policy=policy, seed=seed)
        dispatcher = Dispatcher(policy=routing, seed=seed)
        # What a server says of itself holds until its process ends.
        leaving_servers = LeavingServers(direct_ttl_s=inf)
        backends = Backends(health, dispatcher, leaving_servers=leaving_servers)
        control = ReplicaControl(own, backends, decoders, cfg=cfg, seed=seed)
        super().__init__(control, backends, dispatcher)
        self._unconfirmed = UnconfirmedRequests()

    @property
    def own(self) -> Member:
        """This VM as registered in the store."""
        return self.control.replica.own

    def is_ready(self, now: float) -> bool:
        """Return whether callers may be sent to this VM."""
        membership = self.control.membership
        if self.draining or membership.leaving:
            return False
        return membership.is_fresh(now) and membership.may_serve_open(now)

    def config_state(self, now: float) -> ConfigState:
        """Return which document decides at ``now`` and how old the copy is."""
        revision = self.configuration.revision
        document = self.control.document
        if document is None:
            return ConfigState(revision)
        age_s = self.control.replica.age_s(now, Collection.CONFIG)
        return ConfigState(revision, document.version, age_s)

    def addresses(self, now: float, zone: ZoneId | None) -> CallerAddresses:
        """Return the addresses that a caller should use."""
        return self.control.membership.addresses_for(now, zone)

    def describe(self, now: float) -> dict[str, Any]:
        """Return this VM's view of the fleet, for operators."""
        return describe(self.control, now)

    def pop_log_events(self) -> tuple[LogEvent, ...]:
        """Remove and return the events to log since the last call."""
        return self.control.events.pop()

    def is_activity(self, reply: Any) -> bool:
        """Return whether a peer's reply should make the following ticks frequent.

        After an ``Update`` the next request is sent at once, without a tick.
        """
        return not isinstance(reply, Update)

    def next_wake(self, now: float) -> float:
        """Return when ``on_tick`` should be called next; not before ``now``."""
        at = super().next_wake(now)
        overdue_at = self._unconfirmed.next_wake()
        return at if overdue_at is None else max(now, min(at, overdue_at))

    def on_request(self, now: float, head: RequestHead) -> tuple[NodeAction, ...]:
        """Admit a request or refuse it, once the copies are proven current."""
        self.control.replica.record_use(now)
        if not self.control.must_confirm(now):
            return super().on_request(now, head)
        refused = self._begin_event(now)
        self._tick_scheduler.record_activity(now)
        is_first = not self._unconfirmed
        self._unconfirmed.add(now, head)
        if not is_first:
            return refused
        return refused + self._pipeline.settle(now, self.control.confirm(now))

    def on_cancel(
        self, now: float, request: RequestId
    ) -> tuple[bool, tuple[NodeAction, ...]]:
        """The caller of ``request`` disconnected; return whether it continues."""
        if self._unconfirmed.discard(request):
            return False, ()
        return super().on_cancel(now, request)

    def on_tick(self, now: float) -> tuple[NodeAction, ...]:
        """Run the timers of all parts; call it at the time of ``next_wake``."""
        return super().on_tick(now) + self._begin_confirmed(now)

    def refuse_waiting(self, now: float) -> tuple[NodeAction, ...]:
        """Refuse every request that still waits, since the VM stops now."""
        kind, detail = ErrorKind.DRAINING, "the VM shuts down"
        refused = tuple(
            Refuse(item.head.id, kind, detail) for item in self._unconfirmed.pop_all()
        )
        return refused + super().refuse_waiting(now)

    def on_read(
        self, now: float, sent_at: float, batch: Batch
    ) -> tuple[NodeAction, ...]:
        """The store answered a read that was sent at ``sent_at``."""
        refused = self._begin_event(now)
        self._tick_scheduler.record_activity(now)
        actions = self.control.on_read(now, sent_at, batch)
        actions = self._pipeline.settle(now, actions) + self._pipeline.sweep(now)
        return refused + actions + self._begin_confirmed(now)

    def on_read_failed(
        self, now: float, collection: Collection
    ) -> tuple[NodeAction, ...]:
        """The store did not answer a read."""
        failed = self.control.on_read_failed(now, collection)
        return self._pipeline.settle(now, failed) + self._begin_confirmed(now)

    def on_written(self, now: float, address: str, *, done: bool, era: Era = 0) -> None:
        """The store answered a write of a VM's record, or did not answer it."""
        self.control.replica.on_written(now, address, done=done, era=era)

    def on_trust_notice(self, now: float, body: TrustNotice) -> tuple[NodeAction, ...]:
        """Another VM noticed that a server fails or recovered."""
        return self._pipeline.settle(now, self.control.on_trust_notice(now, body))

    def on_follow(self, now: float, body: Follow) -> tuple[NodeAction, ...]:
        """Another VM asked for updates; answer if ``has_update_for`` or at time-out."""
        return self._pipeline.settle(now, self.control.on_follow(now, body))

    def has_update_for(self, body: Follow) -> bool:
        """Return whether this VM has an update that the asking VM lacks."""
        return self.control.replica.has_update_for(body)

    def make_update(self, now: float, body: Follow, asked_at: float) -> Update:
        """Return the answer to a request for updates received at ``asked_at``."""
        return self.control.replica.make_update(now, body, asked_at)

    def on_peer_reply(
        self, now: float, call: int, reply: Any
    ) -> tuple[NodeAction, ...]:
        """A peer answered a ``CallPeer``."""
        actions = super().on_peer_reply(now, call, reply)
        actions += self._pipeline.retry_all_tokens(now)
        return actions + self._begin_confirmed(now)

    def on_peer_failed(self, now: float, call: int) -> tuple[NodeAction, ...]:
        """A ``CallPeer`` got no reply; the peer may still have received it."""
        actions = super().on_peer_failed(now, call)
        return actions + self._pipeline.retry_all_tokens(now)

    def leave(self, now: float) -> tuple[NodeAction, ...]:
        """Begin a graceful stop: leave the directory and the fleet."""
        return self._pipeline.settle(now, self.control.leave(now))

    def server_address(self, service: ServiceId, server: ServerId) -> tuple[str, int]:
        """Return where a server listens. Raises ``LookupError``."""
        entry = self.control.registered_servers.entry(server)
        if entry is None or entry.service != service:
            raise LookupError(f"server {server!r} is not in service {service!r}")
        return entry.server.address, entry.server.port

    def _begin_confirmed(self, now: float) -> tuple[NodeAction, ...]:
        """Begin the requests that need not wait for the store any longer."""
        if not self._unconfirmed:
            return ()
        held = self._unconfirmed.pop_overdue(now)
        if not self.control.must_confirm(now):
            held += self._unconfirmed.pop_all()
        actions: tuple[NodeAction, ...] = ()
        for item in held:
            actions += self._pipeline.begin(now, item.head, arrived_at=item.arrived_at)
        return actions
