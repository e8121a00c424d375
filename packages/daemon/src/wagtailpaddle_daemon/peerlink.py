"""Peer link: makes the node's calls to other daemons and serves theirs."""

import asyncio
import ssl
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred
from wagtailpaddle_core import VmId
from wagtailpaddle_node import CallPeer, NodeAction, RequestNode
from wagtailpaddle_peer import PeerClient, PeerError, PeerServer, Security

from wagtailpaddle_daemon.logs import get_logger
from wagtailpaddle_daemon.settings import Settings

log = get_logger("peers")


class PeerLink:
    """Serves calls from other daemons and makes calls to them.

    ``handlers`` handle messages of some types; they return the reply, None for an
    acknowledgement, or an awaitable of either. The node replies to messages of all
    other types immediately.
    """

    def __init__(
        self,
        reactor: Any,
        vm: VmId,
        node: RequestNode,
        security: Security,
        carry_out: Callable[[tuple[NodeAction, ...]], None],
        *,
        handlers: Mapping[type, Callable[[Any], Any]] | None = None,
    ):
        self._reactor = reactor
        self._node = node
        self._carry_out = carry_out
        self._server = PeerServer(vm, self._on_message, security)
        self._client = PeerClient(vm, security, reactor.seconds)
        self._handlers = dict(handlers or {})
        self._tasks: set[Any] = set()

    def start(self, host: str, port: int) -> Deferred[None]:
        """Listen on ``host:port``."""
        return as_deferred(self._server.start(host, port))

    def stop(self) -> Deferred[None]:
        """Cancel every call and close every connection."""
        for task in tuple(self._tasks):
            task.cancel()
        self._client.close()
        return as_deferred(self._server.stop())

    def call(self, action: CallPeer) -> None:
        """Make a call and pass its reply or failure to the node."""
        task = asyncio.ensure_future(self._call(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close_idle(self) -> None:
        """Close idle connections."""
        self._client.close_idle()

    async def _call(self, action: CallPeer) -> None:
        try:
            reply = await self._client.call(
                action.address,
                action.body,
                receiver=action.receiver,
                timeout_s=action.timeout_s,
            )
        except PeerError as exc:
            log.debug("Call failed.", error=str(exc))
            actions = self._node.on_peer_failed(self._reactor.seconds(), action.call)
        except Exception as exc:
            log.error("Call raised an exception.", error=repr(exc))
            actions = self._node.on_peer_failed(self._reactor.seconds(), action.call)
        else:
            now = self._reactor.seconds()
            actions = self._node.on_peer_reply(now, action.call, reply)
        self._carry_out(actions)

    def _on_message(self, sender: VmId, body: Any) -> Any:
        handler = self._handlers.get(type(body))
        if handler is not None:
            return handler(body)
        return self._node.on_message(self._reactor.seconds(), sender, body)


def make_security(cfg: Settings) -> Security:
    """Return the authentication between daemons that the settings define.

    Raises ``OSError`` if a certificate file cannot be read.
    """
    if not cfg.peer_tls_cert:
        return Security(secret=cfg.fleet_secret.encode())
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    client.check_hostname = False
    server.verify_mode = ssl.CERT_REQUIRED
    for context in (server, client):
        context.load_cert_chain(cfg.peer_tls_cert, cfg.peer_tls_key)
        context.load_verify_locations(cfg.peer_tls_ca)
        context.set_alpn_protocols(["h2"])
    return Security(cfg.fleet_secret.encode(), server, client)


def as_deferred(coroutine: Any) -> Deferred[Any]:
    """Run an asyncio coroutine on the event loop that the reactor uses."""
    return Deferred.fromFuture(asyncio.ensure_future(coroutine))
