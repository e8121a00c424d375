"""The daemon: wires the node to the network and the clock."""

import asyncio
import json
from typing import Any
from uuid import uuid4

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall
from twisted.web.server import Site
from wagtailpaddle_core import VmId
from wagtailpaddle_node import Node
from wagtailpaddle_peer import (
    Acknowledged,
    PeerClient,
    PeerServer,
    RecordError,
    decode_record,
)

from wagtailpaddle_daemon.admin import Admin
from wagtailpaddle_daemon.front import FrontFactory, Limits
from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_daemon.logclient import LOG_ADAPTERS, LogError
from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.settings import Settings
from wagtailpaddle_daemon.upstream import Upstream

TICK_S = 0.1
LOG_POLL_S = 0.5
DRAIN_POLL_S = 0.05

log = get_logger("daemon")


class Daemon:
    """One proxy daemon; several can live in one process."""

    def __init__(self, reactor: Any, cfg: Settings):
        self._reactor = reactor
        self.cfg = cfg
        self.vm = VmId(f"{cfg.peer_address}/{uuid4().hex[:8]}")
        self.node = Node(site=cfg.site, n_vms=cfg.n_vms)
        self.log_client = LOG_ADAPTERS[cfg.log_adapter](reactor, cfg.log_url)
        self.gateway = Gateway(reactor, self.node, Upstream(reactor))
        self._peers = PeerServer(self.vm, self._on_peer, secret=cfg.fleet_secret)
        self._peer_client = PeerClient(self.vm, secret=cfg.fleet_secret)
        self._ports: list[Any] = []
        self._loops: list[LoopingCall] = []

    async def start(self) -> None:
        """Listen and begin to follow the log."""
        limits = Limits(body_bytes=self.cfg.max_body_bytes)
        self._front = FrontFactory(
            self._reactor, self.gateway, self._directory, limits=limits
        )
        await self._listen(self.cfg.caller_address, self._front)
        await self._listen(self.cfg.admin_address, Site(Admin(self).app.resource()))
        host, port = split_address(self.cfg.peer_address)
        await as_deferred(self._peers.start(host, port))
        self._loop(TICK_S, self._tick)
        self._loop(LOG_POLL_S, self._poll_log)
        log.info("Started.", vm=self.vm, callers=self.cfg.caller_address)

    async def stop(self) -> None:
        """Finish what is in flight, then close everything."""
        log.info("Draining.", in_flight=self.gateway.n_in_flight)
        self.node.draining = True
        self._front.draining = True
        self._front.close_idle()
        give_up_at = self._reactor.seconds() + self.cfg.drain_s
        while self.gateway.n_in_flight and self._reactor.seconds() < give_up_at:
            await sleep(self._reactor, DRAIN_POLL_S)
        for loop in self._loops:
            loop.stop()
        for port in self._ports:
            await port.stopListening()
        self._peer_client.close()
        await as_deferred(self._peers.stop())
        log.info("Stopped.", in_flight=self.gateway.n_in_flight)

    async def _listen(self, address: str, factory: Any) -> None:
        host, port = split_address(address)
        endpoint = TCP4ServerEndpoint(self._reactor, port, interface=host)
        self._ports.append(await endpoint.listen(factory))

    def _loop(self, interval_s: float, function: Any) -> None:
        loop = LoopingCall(function)
        loop.clock = self._reactor
        self._loops.append(loop)
        loop.start(interval_s).addErrback(
            lambda failure: log.error("Loop died.", failure=failure.getTraceback())
        )

    def _tick(self) -> None:
        now = self._reactor.seconds()
        self.gateway.carry_out(self.node.on_tick(now))
        self._front.close_slow(now)

    def _directory(self, key_hash: str | None, zone: str | None) -> bytes:
        document = {"addresses": [self.cfg.caller_address], "keep_s": 10.0}
        return json.dumps(document).encode()

    def _poll_log(self) -> Deferred[None]:
        return Deferred.fromCoroutine(self.catch_up())

    async def catch_up(self) -> None:
        """Fold what the log has beyond this VM's revision."""
        sent_at = self._reactor.seconds()
        try:
            read = await self.log_client.read("config", self.node.fold.next_offset)
            records = tuple(
                (offset, decode_record(data)) for offset, data in read.records
            )
        except (LogError, RecordError) as exc:
            log.warning("Log read failed.", error=str(exc))
            return
        now = self._reactor.seconds()
        self.gateway.carry_out(self.node.on_log(now, sent_at, records, read.head))

    def _on_peer(self, sender: VmId, body: Any) -> Any:
        return Acknowledged()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def as_deferred(coroutine: Any) -> Deferred[Any]:
    """Run an asyncio coroutine on the loop that the reactor shares."""
    return Deferred.fromFuture(asyncio.ensure_future(coroutine))


def sleep(reactor: Any, seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after ``seconds``."""
    waiter: Deferred[None] = Deferred()
    reactor.callLater(seconds, waiter.callback, None)
    return waiter
