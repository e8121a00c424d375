"""The daemon of a fleet whose state is in the platform's store."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import SystemRandom
from typing import Any

from wagtailpaddle_core import VmId, ZoneId
from wagtailpaddle_fleet import CallerAddresses, new_incarnation, vm_id
from wagtailpaddle_node import CallPeer, ReplicaNode, ReplicaSettings
from wagtailpaddle_node.replica_control import Decoders
from wagtailpaddle_peer import Security
from wagtailpaddle_replica import (
    Follow,
    Member,
    NotifyFollowers,
    ReadStore,
    WriteMember,
)
from wagtailpaddle_resources import ResourceBudget
from wagtailpaddle_routing import Policy, TrustNotice

from wagtailpaddle_daemon.client_guard import ClientGuard
from wagtailpaddle_daemon.dialect import Dialect
from wagtailpaddle_daemon.frontend import (
    DEFAULT_BUDGET,
    FrontendFactory,
    FrontendLimits,
)
from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.healthlog import log_health_events, log_idle_servers
from wagtailpaddle_daemon.lifecycle import Lifecycle
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.long_polls import LongPolls
from wagtailpaddle_daemon.metrics import Metrics
from wagtailpaddle_daemon.peerlink import PeerLink
from wagtailpaddle_daemon.reactor_util import (
    PeriodicCalls,
    listen,
    sleep,
    split_address,
    stop_listening,
    wait_until,
)
from wagtailpaddle_daemon.store import Store
from wagtailpaddle_daemon.storefeed import StoreFeed
from wagtailpaddle_daemon.upstream import Upstream

STATE_LOG_INTERVAL_S = 0.2
HOUSEKEEPING_INTERVAL_S = 1.0
MIN_INACTIVE_S = 0.3
FINAL_REFUSAL_S = 0.1
"""Requests that still wait this long before the end are refused."""

FINAL_FLUSH = 1 / 24
"""Part of the grace time in which callers read the last answers."""


log = get_logger("daemon")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaDaemonSettings:
    """The daemon's addresses and the bounds that the platform sets.

    A leaving daemon accepts new connections for ``linger_s`` seconds and must exit
    within ``grace_s`` seconds. ``cores`` is the number of the VM's CPU cores.
    """

    zone: ZoneId
    caller_address: str
    peer_address: str
    cores: float = 1.0
    clients: ResourceBudget = DEFAULT_BUDGET
    grace_s: float = 6.0
    linger_s: float = 3.0
    control: ReplicaSettings = field(default_factory=ReplicaSettings)
    routing: Policy = field(default_factory=Policy)
    health_policy: str = "none"
    security: Security = field(default_factory=Security)


class ReplicaDaemon:
    """One proxy daemon on the platform.

    ``make_pages`` returns the sites to serve on other addresses than the callers',
    by address: the directory, readiness, metrics. The functions in ``every_second`` are
    called once a second.
    """

    def __init__(
        self,
        reactor: Any,
        cfg: ReplicaDaemonSettings,
        store: Store,
        decoders: Decoders,
        dialect: Dialect,
        make_pages: "Callable[[ReplicaDaemon], dict[str, Any]]",
        *,
        every_second: tuple[Callable[[], None], ...] = (),
    ):
        self._every_second = every_second
        self._dialect = dialect
        self._reactor = reactor
        self.cfg = cfg
        self.lifecycle = Lifecycle()
        self.node = ReplicaNode(
            make_member(cfg),
            decoders,
            cfg=cfg.control,
            routing=cfg.routing,
            policy=cfg.health_policy,
        )
        self.metrics = Metrics()
        self._upstream = Upstream(reactor)
        self.gateway = Gateway(
            reactor, self.node, self._upstream, self.metrics, dialect=dialect
        )
        carry_out = self.gateway.carry_out
        self._feed = StoreFeed(reactor, self.node, store, carry_out)
        self._long_polls = LongPolls(reactor, self.node, carry_out)
        self._peers = PeerLink(
            reactor,
            self.node.own.id,
            self.node,
            cfg.security,
            carry_out,
            handlers={
                Follow: self._long_polls.on_follow,
                TrustNotice: self._on_trust_notice,
            },
        )
        self.gateway.register_handlers(
            {
                CallPeer: self._peers.call,
                ReadStore: self._feed.read,
                WriteMember: self._feed.write,
                NotifyFollowers: self._long_polls.notify,
            }
        )
        self.guard = ClientGuard(reactor, cfg.clients)
        self.metrics.clients = self.guard.ledger
        self._frontend = FrontendFactory(
            reactor, self.gateway, None, guard=self.guard, dialect=dialect
        )
        self._pages = make_pages(self)
        self._ports: list[Any] = []
        self._caller_port: Any = None
        self._periodic_calls = PeriodicCalls(reactor)
        self._applied_limits: object = None

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this VM."""
        serving = self.lifecycle.state == "serving"
        return serving and self.node.is_ready(self._reactor.seconds())

    def addresses(self, zone: ZoneId | None) -> CallerAddresses:
        """Return the addresses that a caller should use."""
        return self.node.addresses(self._reactor.seconds(), zone)

    async def start(self) -> None:
        """Open the ports and start to follow the store."""
        host, port = split_address(self.cfg.peer_address)
        await self._peers.start(host, port)
        self._caller_port = await listen(
            self._reactor, self.cfg.caller_address, self._frontend
        )
        for address, site in self._pages.items():
            self._ports.append(await listen(self._reactor, address, site))
        self.gateway.start()
        self._periodic_calls.add(STATE_LOG_INTERVAL_S, self._log_state_changes)
        self._periodic_calls.add(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)
        for function in self._every_second:
            self._periodic_calls.add(HOUSEKEEPING_INTERVAL_S, function)
        self.lifecycle.started()
        log.info(
            "Started.",
            vm=self.node.own.id,
            zone=self.cfg.zone,
            callers=self.cfg.caller_address,
        )

    async def stop(self) -> None:
        """Shut down gracefully within ``grace_s`` seconds.

        Callers are directed to other VMs and requests in flight finish; those that
        do not are answered as ones that may have run. One twelfth of the time is
        left for closing.
        """
        if self.lifecycle.state in ("leaving", "draining", "stopped"):
            return
        began_at = self._reactor.seconds()
        deadline_at = began_at + self.cfg.grace_s * 11 / 12
        self.lifecycle.leave()
        log.info("Leaving.", in_flight=self.gateway.n_in_flight)
        self._frontend.draining = True
        self.gateway.carry_out(self.node.leave(began_at))
        self.gateway.carry_out(self.node.drain_queues_until(began_at, deadline_at))
        await sleep(self._reactor, self.cfg.linger_s)
        self.lifecycle.drain()
        self.node.drain_until(deadline_at)
        if self._caller_port is not None:
            await stop_listening(self._caller_port)
        remaining_s = deadline_at - FINAL_REFUSAL_S - self._reactor.seconds()
        await wait_until(self._reactor, self._is_drained, remaining_s)
        self.gateway.carry_out(self.node.refuse_waiting(self._reactor.seconds()))
        await wait_until(self._reactor, self._is_drained, FINAL_REFUSAL_S)
        self.gateway.carry_out(self.node.abandon_running(self._reactor.seconds()))
        flush_s = self.cfg.grace_s * FINAL_FLUSH
        await wait_until(self._reactor, self._is_drained, flush_s)
        self._frontend.close_idle()
        await self._close()
        self.lifecycle.stopped()
        log.info("Stopped.", in_flight=self.gateway.n_in_flight)

    def metrics_text(self) -> bytes:
        """Return the counters and histograms in the Prometheus text format."""
        # Most VMs are never asked for metrics.
        from wagtailpaddle_daemon.metrics_page import render_chunks

        pieces = render_chunks(
            self.metrics,
            config=self.node.config_state(self._reactor.seconds()),
            n_in_flight=self.gateway.n_in_flight,
        )
        return b"".join(pieces)

    def status(self) -> dict[str, Any]:
        """Return this VM's view of the fleet, with its age in seconds."""
        view = self.node.describe(self._reactor.seconds())
        return {
            "state": self.lifecycle.state,
            "ready": self.is_ready,
            "in_flight": self.gateway.n_in_flight,
            **view,
        }

    def explain(self, query: Mapping[str, str]) -> dict[str, Any]:
        """Return where a request would go now and why.

        Raises ``WagtailError`` for a query that describes no request.
        """
        # Most VMs are never asked for an explanation.
        from wagtailpaddle_daemon.explain_page import explain_request

        now = self._reactor.seconds()
        return explain_request(self.node, now, self.node.own.id, query, self._dialect)

    def apply_settings(self, cfg: ReplicaDaemonSettings) -> None:
        """Apply changed settings; addresses in use stay as they are."""
        self.cfg = cfg
        self.node.control.apply_settings(cfg.control)
        log.info("Settings changed.", grace_s=cfg.grace_s, linger_s=cfg.linger_s)

    def _on_trust_notice(self, body: TrustNotice) -> None:
        now = self._reactor.seconds()
        self.gateway.carry_out(self.node.on_trust_notice(now, body))

    def _is_drained(self) -> bool:
        self._frontend.close_inactive(self._reactor.seconds() - MIN_INACTIVE_S)
        return not self._frontend.n_connections and not self.gateway.n_in_flight

    async def _close(self) -> None:
        self.gateway.stop()
        self._periodic_calls.stop()
        for port in self._ports:
            await port.stopListening()
        await self._peers.stop()

    def _log_state_changes(self) -> None:
        """Log changes of the node's state, and apply the configured limits."""
        for note in self.node.pop_log_events():
            log.info(note.event, **dict(note.facts))
        document = self.node.control.document
        if document is not None and document.limits is not self._applied_limits:
            self._applied_limits = document.limits
            self.guard.receive_s = document.limits.receive_s
            self._frontend.limits = FrontendLimits(
                body_bytes=document.limits.body_bytes,
                receive_s=document.limits.receive_s,
                idle_s=document.limits.idle_s,
                header_bytes=document.limits.header_bytes,
            )

    def _run_housekeeping(self) -> None:
        now = self._reactor.seconds()
        self.guard.check(now)
        self._upstream.close_idle(now)
        self._peers.close_idle()
        log_health_events(self.node)
        self.metrics.idle_servers = log_idle_servers(now, self.node)


def make_member(cfg: ReplicaDaemonSettings) -> Member:
    """Return this VM with a new incarnation."""
    incarnation = new_incarnation(time.time(), SystemRandom())
    return Member(
        id=VmId(vm_id(cfg.peer_address, incarnation)),
        zone=cfg.zone,
        caller_address=cfg.caller_address,
        peer_address=cfg.peer_address,
        incarnation=incarnation,
        cores=cfg.cores,
    )
