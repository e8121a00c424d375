"""The daemon of a fleet with its own log: connects the node to network and clock."""

import json
import time
from random import SystemRandom
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from wagtailpaddle_core import Offset, VmId, ZoneId
from wagtailpaddle_fleet import Vm, new_incarnation, vm_id
from wagtailpaddle_node import Append, CallPeer, Node
from wagtailpaddle_peer import LogCodec
from wagtailpaddle_resources import make_budget

from wagtailpaddle_daemon.admin import Admin, ChangeState, VmView, change_state
from wagtailpaddle_daemon.client_guard import ClientGuard
from wagtailpaddle_daemon.feed import Feed
from wagtailpaddle_daemon.frontend import FrontendFactory, FrontendLimits
from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.healthlog import log_health_events, log_idle_servers
from wagtailpaddle_daemon.lifecycle import Lifecycle
from wagtailpaddle_daemon.logclient import LOG_ADAPTERS
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.metrics import Metrics
from wagtailpaddle_daemon.peerlink import PeerLink, make_security
from wagtailpaddle_daemon.prober import Prober
from wagtailpaddle_daemon.reactor_util import (
    PeriodicCalls,
    listen,
    sleep,
    split_address,
    start_coroutine,
    stop_listening,
    wait_until,
)
from wagtailpaddle_daemon.settings import Settings
from wagtailpaddle_daemon.upstream import Upstream
from wagtailpaddle_daemon.vmlist import VmListClient

LOG_POLL_INTERVAL_S = 0.5
VM_LIST_POLL_INTERVAL_S = 1.0
HOUSEKEEPING_INTERVAL_S = 1.0
HAND_OVER_TIMEOUT_S = 5.0
MIN_INACTIVE_S = 0.1
CLOSE_CALLERS_TIMEOUT_S = 1.0

log = get_logger("daemon")


class Daemon:
    """One proxy daemon; several can run in one process."""

    def __init__(self, reactor: Any, cfg: Settings):
        self._reactor = reactor
        self.cfg = cfg
        self.lifecycle = Lifecycle()
        self.node = Node(make_vm(cfg), LogCodec(), site=cfg.site)
        self.vm: VmId = self.node.vm.id
        self.log_client = LOG_ADAPTERS[cfg.log_adapter](reactor, cfg.log_url)
        self.metrics = Metrics(
            max_accounts=cfg.metrics_accounts,
            max_routes=cfg.metrics_routes,
            max_servers=cfg.metrics_servers,
        )
        self._upstream = Upstream(reactor)
        self.gateway = Gateway(reactor, self.node, self._upstream, self.metrics)
        self._feed = Feed(
            reactor,
            self.node,
            self.log_client,
            VmListClient(reactor, cfg.vm_list_url),
            self.gateway.carry_out,
        )
        self._peers = PeerLink(
            reactor, self.vm, self.node, make_security(cfg), self.gateway.carry_out
        )
        self.gateway.register_handlers(
            {CallPeer: self._peers.call, Append: self._feed.append}
        )
        self._prober = Prober(
            reactor, self.node, self._upstream, self.gateway.carry_out
        )
        limits = FrontendLimits(body_bytes=cfg.max_body_bytes)
        budget = make_budget(cfg.memory_mb, cfg.max_descriptors)
        self._guard = ClientGuard(reactor, budget, receive_s=limits.receive_s)
        self.metrics.clients = self._guard.ledger
        self._frontend = FrontendFactory(
            reactor, self.gateway, self._directory, guard=self._guard, limits=limits
        )
        self._caller_port: Any = None
        self._admin_port: Any = None
        self._periodic_calls = PeriodicCalls(reactor)

    async def start(self) -> None:
        """Open the ports and start to follow the log."""
        host, port = split_address(self.cfg.peer_address)
        await self._peers.start(host, port)
        admin = Admin(
            self,
            self._reactor,
            metrics=self.metrics,
            acceptance=self._acceptance,
            fleet=self._fleet,
        )
        self._admin_port = await listen(
            self._reactor, self.cfg.admin_address, admin.site()
        )
        self._caller_port = await listen(
            self._reactor, self.cfg.caller_address, self._frontend
        )
        self.gateway.start()
        self._periodic_calls.add(LOG_POLL_INTERVAL_S, self._poll_log)
        self._periodic_calls.add(
            VM_LIST_POLL_INTERVAL_S, lambda: start_coroutine(self._feed.read_vm_list())
        )
        self._periodic_calls.add(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)
        self._prober.start()
        self.lifecycle.started()
        log.info("Started.", vm=self.vm, callers=self.cfg.caller_address)

    async def stop(self) -> None:
        """Shut down gracefully.

        Callers are directed to other VMs, requests in flight finish or are answered
        as ones that may have run, the node hands over its duties, then every port
        closes.
        """
        if self.lifecycle.state in ("leaving", "draining", "stopped"):
            return
        self.lifecycle.leave()
        log.info("Leaving.", in_flight=self.gateway.n_in_flight)
        self._frontend.draining = True
        now = self._reactor.seconds()
        deadline_at = now + self.cfg.linger_s + self.cfg.drain_s
        self.gateway.carry_out(self.node.leave(now))
        self.gateway.carry_out(self.node.drain_queues_until(now, deadline_at))
        await sleep(self._reactor, self.cfg.linger_s)
        self.lifecycle.drain()
        self.node.drain()
        if self._caller_port is not None:
            await stop_listening(self._caller_port)
        await wait_until(
            self._reactor, lambda: not self.gateway.n_in_flight, self.cfg.drain_s
        )
        self.gateway.carry_out(self.node.refuse_waiting(self._reactor.seconds()))
        self.gateway.carry_out(self.node.abandon_running(self._reactor.seconds()))
        self.gateway.carry_out(self.node.release(self._reactor.seconds()))
        await wait_until(
            self._reactor,
            lambda: self.node.has_released and self.node.has_left,
            HAND_OVER_TIMEOUT_S,
        )
        await self._close_callers()
        await self._close()
        self.lifecycle.stopped()
        log.info("Stopped.", in_flight=self.gateway.n_in_flight)

    async def catch_up(self) -> Offset | None:
        """Fold all records of the log; return its head, or None without an answer."""
        return await self._feed.catch_up()

    async def _close_callers(self) -> None:
        """Close inactive connections, and the others as they become inactive.

        Requests that arrive meanwhile are still answered. After
        ``CLOSE_CALLERS_TIMEOUT_S`` every connection without a request is closed.
        """

        def is_closed() -> bool:
            self._frontend.close_inactive(self._reactor.seconds() - MIN_INACTIVE_S)
            return not self._frontend.n_connections

        await wait_until(self._reactor, is_closed, CLOSE_CALLERS_TIMEOUT_S)
        self._frontend.close_idle()

    async def _close(self) -> None:
        self._prober.stop()
        self.gateway.stop()
        self._periodic_calls.stop()
        if self._admin_port is not None:
            await self._admin_port.stopListening()
        await self._peers.stop()

    def _poll_log(self) -> Deferred[Any]:
        reads = (self._feed.catch_up(), self._feed.read_shares())
        return gatherResults([start_coroutine(read) for read in reads])

    def _run_housekeeping(self) -> None:
        now = self._reactor.seconds()
        self._guard.check(now)
        self._upstream.close_idle(now)
        self._peers.close_idle()
        self._feed.write_snapshots()
        log_health_events(self.node)
        self.metrics.idle_servers = log_idle_servers(now, self.node)

    def _directory(self, key_hash: str | None, zone: str | None) -> bytes:
        now = self._reactor.seconds()
        answer = self.node.addresses(now, key_hash, ZoneId(zone) if zone else None)
        document = {"addresses": answer.addresses, "keep_s": answer.keep_s}
        return json.dumps(document).encode()

    def _acceptance(self, offset: Offset) -> ChangeState:
        membership = self.node.control.membership
        now = self._reactor.seconds()
        self.gateway.carry_out(self.node.track_acceptance(now, offset))
        state = membership.acceptance(offset)
        return change_state(state)

    def _fleet(self) -> tuple[VmView, ...]:
        membership = self.node.control.membership
        now = self._reactor.seconds()
        return tuple(
            VmView(vm.id, vm.zone, vm.caller_address, vm_state(self, vm, now))
            for vm in membership.vms(now)
        )


def vm_state(daemon: Daemon, vm: Vm, now: float) -> str:
    """Return the state of a VM; of other VMs only ``known``."""
    if vm.id != daemon.vm:
        return "known"
    if daemon.lifecycle.state != "serving":
        return daemon.lifecycle.state
    return "serving" if daemon.node.is_fresh(now) else "not-fresh"


def make_vm(cfg: Settings) -> Vm:
    """Return this VM with a new incarnation."""
    incarnation = new_incarnation(time.time(), SystemRandom())
    return Vm(
        id=vm_id(cfg.peer_address, incarnation),
        zone=ZoneId(cfg.zone),
        caller_address=cfg.caller_address,
        peer_address=cfg.peer_address,
        incarnation=incarnation,
    )
