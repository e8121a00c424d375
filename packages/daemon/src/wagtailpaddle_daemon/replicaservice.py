"""The daemon of a fleet whose state lies in the platform's store."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import SystemRandom
from typing import Any

from wagtailpaddle_core import VmId, ZoneId
from wagtailpaddle_fleet import CallerAddresses, new_incarnation, vm_id
from wagtailpaddle_node import CallPeer, ReplicaNode, ReplicaSettings
from wagtailpaddle_node.replica_control import Decoders
from wagtailpaddle_peer import Security
from wagtailpaddle_replica import Follow, Member, News, ReadStore, WriteMember
from wagtailpaddle_routing import Policy

from wagtailpaddle_daemon.dialect import Dialect
from wagtailpaddle_daemon.followers import Followers
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
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.metrics import Metrics
from wagtailpaddle_daemon.metrics_page import render_pieces
from wagtailpaddle_daemon.peerlink import PeerLink
from wagtailpaddle_daemon.store import Store
from wagtailpaddle_daemon.storefeed import StoreFeed
from wagtailpaddle_daemon.upstream import Upstream

NOTES_EVERY_S = 0.2
HOUSEKEEPING_S = 1.0
QUIET_S = 0.3

log = get_logger("daemon")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaDaemonSettings:
    """Where the daemon listens, and the bounds that the platform states.

    ``linger_s`` is how long a leaving daemon takes new connections, ``grace_s``
    when it must have ended, ``cores`` the VM's processor.
    """

    zone: ZoneId
    caller_address: str
    peer_address: str
    cores: float = 1.0
    grace_s: float = 6.0
    linger_s: float = 3.0
    control: ReplicaSettings = field(default_factory=ReplicaSettings)
    routing: Policy = field(default_factory=Policy)
    health_policy: str = "none"
    security: Security = field(default_factory=Security)


class ReplicaDaemon:
    """One proxy daemon on the platform.

    ``make_pages`` returns the pages to serve beside the callers' port, by their
    address: the directory, readiness, metrics. The functions of ``regularly`` are
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
        regularly: tuple[Callable[[], None], ...] = (),
    ):
        self._regularly = regularly
        self._reactor = reactor
        self.cfg = cfg
        self.life = Lifecycle()
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
        self._followers = Followers(reactor, self.node, carry_out)
        self._peers = PeerLink(
            reactor,
            self.node.own.id,
            self.node,
            cfg.security,
            carry_out,
            answerers={Follow: self._followers.answer},
        )
        self.gateway.connect(
            {
                CallPeer: self._peers.call,
                ReadStore: self._feed.read,
                WriteMember: self._feed.write,
                News: self._followers.tell,
            }
        )
        self._front = FrontFactory(reactor, self.gateway, None, dialect=dialect)
        self._pages = make_pages(self)
        self._ports: list[Any] = []
        self._caller_port: Any = None
        self._calls = RegularCalls(reactor)
        self._limits_of: object = None

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent to this VM."""
        serving = self.life.state == "serving"
        return serving and self.node.is_ready(self._reactor.seconds())

    def addresses(self, zone: ZoneId | None) -> CallerAddresses:
        """Return the addresses that a caller should use."""
        return self.node.addresses(self._reactor.seconds(), zone)

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        host, port = split_address(self.cfg.peer_address)
        await self._peers.start(host, port)
        self._caller_port = await listen(
            self._reactor, self.cfg.caller_address, self._front
        )
        for address, site in self._pages.items():
            self._ports.append(await listen(self._reactor, address, site))
        self.gateway.start()
        self._calls.add(NOTES_EVERY_S, self._keep_notes)
        self._calls.add(HOUSEKEEPING_S, self._keep_house)
        for function in self._regularly:
            self._calls.add(HOUSEKEEPING_S, function)
        self.life.started()
        log.info(
            "Started.",
            vm=self.node.own.id,
            zone=self.cfg.zone,
            callers=self.cfg.caller_address,
        )

    async def stop(self) -> None:
        """Send callers elsewhere, finish what is in flight, end in time."""
        if self.life.state in ("leaving", "draining", "stopped"):
            return
        began_at = self._reactor.seconds()
        end_at = began_at + self.cfg.grace_s * 11 / 12
        self.life.leave()
        log.info("Leaving.", in_flight=self.gateway.n_in_flight)
        self._front.draining = True
        self.gateway.carry_out(self.node.leave(began_at))
        await sleep(self._reactor, self.cfg.linger_s)
        self.life.drain()
        if self._caller_port is not None:
            await stop_listening(self._caller_port)
        left_s = end_at - self._reactor.seconds()
        await wait_until(self._reactor, self._is_quiet, left_s)
        self._front.close_idle()
        await self._close()
        self.life.stopped()
        log.info("Stopped.", in_flight=self.gateway.n_in_flight)

    def metrics_text(self) -> bytes:
        """Return the counters and histograms in the Prometheus text format."""
        pieces = render_pieces(
            self.metrics,
            revision=self.node.configuration.revision,
            n_in_flight=self.gateway.n_in_flight,
        )
        return b"".join(pieces)

    def status(self) -> dict[str, Any]:
        """Return what this VM believes, and how old that is, in seconds."""
        believed = self.node.control.describe(self._reactor.seconds())
        return {
            "state": self.life.state,
            "ready": self.is_ready,
            "in_flight": self.gateway.n_in_flight,
            **believed,
        }

    def reconfigure(self, cfg: ReplicaDaemonSettings) -> None:
        """Take in settings that changed; addresses stay as they are bound."""
        self.cfg = cfg
        self.node.control.apply_settings(cfg.control)
        log.info("Settings changed.", grace_s=cfg.grace_s, linger_s=cfg.linger_s)

    def _is_quiet(self) -> bool:
        self._front.close_quiet(self._reactor.seconds() - QUIET_S)
        return not self._front.n_connections and not self.gateway.n_in_flight

    async def _close(self) -> None:
        self.gateway.stop()
        self._calls.stop()
        for port in self._ports:
            await port.stopListening()
        await self._peers.stop()

    def _keep_notes(self) -> None:
        """Log what the node now believes, and apply the limits in force."""
        for note in self.node.pop_log_events():
            log.info(note.event, **dict(note.facts))
        document = self.node.control.document
        if document is not None and document.limits is not self._limits_of:
            self._limits_of = document.limits
            self._front.limits = Limits(
                body_bytes=document.limits.body_bytes,
                receive_s=document.limits.receive_s,
                idle_s=document.limits.idle_s,
                header_bytes=document.limits.header_bytes,
            )

    def _keep_house(self) -> None:
        now = self._reactor.seconds()
        self._front.close_slow(now)
        self._upstream.close_idle(now)
        self._peers.close_idle()
        log_health_events(self.node)


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
