"""The daemon: wires the node to the network and the clock."""

import json
import time
from random import SystemRandom
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from wagtailpaddle_core import Offset, VmId, ZoneId
from wagtailpaddle_fleet import Vm, new_incarnation, vm_id
from wagtailpaddle_node import Append, CallPeer, Node
from wagtailpaddle_peer import LogCodec

from wagtailpaddle_daemon.admin import Admin, ChangeState, VmView, change_state
from wagtailpaddle_daemon.feed import Feed, start_coroutine
from wagtailpaddle_daemon.front import FrontFactory, Limits
from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.healthlog import log_health_events
from wagtailpaddle_daemon.hosting import (
    RegularCalls,
    listen,
    sleep,
    split_address,
    stop_listening,
    wait_until,
)
from wagtailpaddle_daemon.lifecycle import Lifecycle
from wagtailpaddle_daemon.logclient import LOG_ADAPTERS
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.metrics import Metrics
from wagtailpaddle_daemon.peerlink import PeerLink, security_of
from wagtailpaddle_daemon.prober import Prober
from wagtailpaddle_daemon.settings import Settings
from wagtailpaddle_daemon.upstream import Upstream
from wagtailpaddle_daemon.vmlist import VmListClient

LOG_POLL_S = 0.5
VM_LIST_POLL_S = 1.0
HOUSEKEEPING_S = 1.0
HAND_OVER_S = 5.0
QUIET_S = 0.1
LAST_WORDS_S = 1.0

log = get_logger("daemon")


class Daemon:
    """One proxy daemon; several can live in one process."""

    def __init__(self, reactor: Any, cfg: Settings):
        self._reactor = reactor
        self.cfg = cfg
        self.life = Lifecycle()
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
            reactor, self.vm, self.node, security_of(cfg), self.gateway.carry_out
        )
        self.gateway.connect({CallPeer: self._peers.call, Append: self._feed.append})
        self._prober = Prober(
            reactor, self.node, self._upstream, self.gateway.carry_out
        )
        limits = Limits(body_bytes=cfg.max_body_bytes)
        self._front = FrontFactory(
            reactor, self.gateway, self._directory, limits=limits
        )
        self._caller_port: Any = None
        self._admin_port: Any = None
        self._calls = RegularCalls(reactor)

    async def start(self) -> None:
        """Listen and begin to follow the log."""
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
            self._reactor, self.cfg.caller_address, self._front
        )
        self.gateway.start()
        self._calls.add(LOG_POLL_S, self._poll_log)
        self._calls.add(
            VM_LIST_POLL_S, lambda: start_coroutine(self._feed.read_vm_list())
        )
        self._calls.add(HOUSEKEEPING_S, self._keep_house)
        self._prober.start()
        self.life.started()
        log.info("Started.", vm=self.vm, callers=self.cfg.caller_address)

    async def stop(self) -> None:
        """Send callers elsewhere, finish what is in flight, hand over, close."""
        if self.life.state in ("leaving", "draining", "stopped"):
            return
        self.life.leave()
        log.info("Leaving.", in_flight=self.gateway.n_in_flight)
        self._front.draining = True
        self.gateway.carry_out(self.node.leave(self._reactor.seconds()))
        await sleep(self._reactor, self.cfg.linger_s)
        self.life.drain()
        self.node.drain()
        if self._caller_port is not None:
            await stop_listening(self._caller_port)
        await wait_until(
            self._reactor, lambda: not self.gateway.n_in_flight, self.cfg.drain_s
        )
        self.gateway.carry_out(self.node.release(self._reactor.seconds()))
        await wait_until(
            self._reactor,
            lambda: self.node.has_released and self.node.has_left,
            HAND_OVER_S,
        )
        await self._close_callers()
        await self._close()
        self.life.stopped()
        log.info("Stopped.", in_flight=self.gateway.n_in_flight)

    async def catch_up(self) -> Offset | None:
        """Fold what the log has; return its head, None if it did not answer."""
        return await self._feed.catch_up()

    async def _close_callers(self) -> None:
        """Close quiet connections first; answer what still comes on the others."""

        def is_closed() -> bool:
            self._front.close_quiet(self._reactor.seconds() - QUIET_S)
            return not self._front.n_connections

        await wait_until(self._reactor, is_closed, LAST_WORDS_S)
        self._front.close_idle()

    async def _close(self) -> None:
        self._prober.stop()
        self.gateway.stop()
        self._calls.stop()
        if self._admin_port is not None:
            await self._admin_port.stopListening()
        await self._peers.stop()

    def _poll_log(self) -> Deferred[Any]:
        reads = (self._feed.catch_up(), self._feed.read_shares())
        return gatherResults([start_coroutine(read) for read in reads])

    def _keep_house(self) -> None:
        now = self._reactor.seconds()
        self._front.close_slow(now)
        self._upstream.close_idle(now)
        self._peers.close_idle()
        self._feed.write_snapshots()
        log_health_events(self.node)

    def _directory(self, key_hash: str | None, zone: str | None) -> bytes:
        now = self._reactor.seconds()
        found = self.node.addresses(now, key_hash, ZoneId(zone) if zone else None)
        document = {"addresses": found.addresses, "keep_s": found.keep_s}
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
            VmView(vm.id, vm.zone, vm.caller_address, state_of(self, vm, now))
            for vm in membership.vms(now)
        )


def state_of(daemon: Daemon, vm: Vm, now: float) -> str:
    """Return in a word how a VM fares, as far as this one knows."""
    if vm.id != daemon.vm:
        return "known"
    if daemon.life.state != "serving":
        return daemon.life.state
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
