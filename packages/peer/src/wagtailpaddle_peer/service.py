"""The server and the client of the gRPC service between daemons."""

import asyncio
import hmac
from collections.abc import Callable
from dataclasses import dataclass
from inspect import isawaitable
from ssl import SSLContext
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream
from wagtailpaddle_core import VmId

from wagtailpaddle_peer import peer_pb2 as pb
from wagtailpaddle_peer.envelope import (
    MessageError,
    decode_envelope,
    encode_envelope,
)
from wagtailpaddle_peer.messages import Acknowledged, Failed
from wagtailpaddle_peer.peer_grpc import PeerBase, PeerStub

MAX_MESSAGE_BYTES = 4 << 20
CALL_TIMEOUT_S = 1.0
CHANNEL_IDLE_TIMEOUT_S = 60.0
MAC_HEADER = "x-fleet-mac"

CLOSE_GRACE_S = 2.0
"""Time allowed for pending calls before a discarded connection is closed."""

Handler = Callable[[VmId, Any], Any]
"""Returns the reply to a message, or an awaitable that yields the reply."""


class PeerError(Exception):
    """A peer did not reply, or replied with an error."""


@dataclass(frozen=True, slots=True)
class Security:
    """How daemons authenticate each other.

    With a ``secret``, each message and each reply carries an HMAC of its bytes,
    so the secret itself is never sent. With TLS contexts, connections are
    encrypted and callers are authenticated by their certificates.
    """

    secret: bytes = b""
    server_tls: SSLContext | None = None
    client_tls: SSLContext | None = None

    def mac(self, *parts: bytes) -> str:
        """Return the HMAC of ``parts``, empty without a secret."""
        if not self.secret:
            return ""
        digest = hmac.new(self.secret, digestmod="sha256")
        for part in parts:
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.hexdigest()

    def signed_bytes(self, message: Any) -> bytes:
        """Return the bytes of a message that the HMAC covers, none without a secret."""
        return message.SerializeToString(deterministic=True) if self.secret else b""

    def metadata(self, *parts: bytes) -> dict[str, str]:
        """Return the metadata with the HMAC of ``parts``.

        Without a secret there are none, since gRPC allows no empty values.
        """
        mac = self.mac(*parts)
        return {MAC_HEADER: mac} if mac else {}

    def is_valid_mac(self, received_mac: object, *parts: bytes) -> bool:
        """Return whether ``received_mac`` is the HMAC of ``parts``."""
        expected = self.mac(*parts)
        return hmac.compare_digest(str(received_mac or "").encode(), expected.encode())


class PeerServer(PeerBase):
    """Serves the calls of other daemons.

    ``handler`` is called with the sender and the message. It returns the reply,
    or None for an ``Acknowledged`` reply.
    """

    def __init__(self, vm: VmId, handler: Handler, security: Security):
        self._vm = vm
        self._handler = handler
        self._security = security
        self._server = Server([self])

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host:port``. Raises ``OSError`` if that fails."""
        await self._server.start(host, port, ssl=self._security.server_tls)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self._server.close()
        await self._server.wait_closed()

    async def Call(self, stream: Stream[pb.Envelope, pb.Envelope]) -> None:  # noqa: N802
        """Handle one call: authenticate the message, then send the reply."""
        envelope = await stream.recv_message()
        if envelope is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the call contains no message")
        request_bytes = self._security.signed_bytes(envelope)
        received_mac = (stream.metadata or {}).get(MAC_HEADER, "")
        if not self._security.is_valid_mac(received_mac, request_bytes):
            raise GRPCError(
                Status.UNAUTHENTICATED,
                "the message's HMAC does not match the fleet secret",
            )
        if envelope.ByteSize() > MAX_MESSAGE_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"the message exceeds {MAX_MESSAGE_BYTES} bytes",
            )
        result = self._dispatch(envelope)
        if isawaitable(result):
            result = await result
        reply = encode_envelope(self._vm, Acknowledged() if result is None else result)
        reply_bytes = self._security.signed_bytes(reply)
        await stream.send_initial_metadata(
            metadata=self._security.metadata(request_bytes, reply_bytes)
        )
        await stream.send_message(reply)

    def _dispatch(self, envelope: pb.Envelope) -> Any:
        if envelope.receiver not in ("", self._vm):
            return Failed(
                f"receiver {envelope.receiver!r} is not this VM, {self._vm!r}"
            )
        try:
            sender, body = decode_envelope(envelope)
        except MessageError as exc:
            return Failed(str(exc))
        return self._handler(sender, body)


class _Connection:
    __slots__ = ("channel", "used_at")

    def __init__(self, channel: Channel, used_at: float) -> None:
        self.channel = channel
        self.used_at = used_at


class PeerClient:
    """Calls other daemons over persistent connections, one for each address."""

    def __init__(self, vm: VmId, security: Security, clock: Callable[[], float]):
        self._vm = vm
        self._security = security
        self._clock = clock
        self._connections: dict[str, _Connection] = {}

    async def call(
        self,
        address: str,
        body: Any,
        *,
        receiver: str = "",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Return the reply of the daemon at ``address`` (``host:port``).

        With a ``receiver`` only that incarnation of the VM answers. Raises
        ``PeerError`` if no valid reply arrives within ``timeout_s`` seconds.
        """
        envelope = encode_envelope(self._vm, body, receiver=receiver)
        try:
            reply_envelope = await self._exchange(address, envelope, timeout_s)
            reply = decode_envelope(reply_envelope)[1]
        except (
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
            OSError,
            TimeoutError,
            MessageError,
        ) as exc:
            if isinstance(exc, TimeoutError | OSError):
                self._discard(address)
            raise PeerError(f"peer {address!r}: {exc!r}") from None
        if isinstance(reply, Failed):
            raise PeerError(f"peer {address!r}: {reply.reason}")
        return reply

    async def _exchange(
        self, address: str, envelope: pb.Envelope, timeout_s: float
    ) -> pb.Envelope:
        request_bytes = self._security.signed_bytes(envelope)
        stub = PeerStub(self._channel(address))
        metadata = self._security.metadata(request_bytes)
        try:
            async with stub.Call.open(timeout=timeout_s, metadata=metadata) as stream:
                await stream.send_message(envelope, end=True)
                reply_envelope = await stream.recv_message()
                received_mac = (stream.initial_metadata or {}).get(MAC_HEADER, "")
        except AttributeError as exc:
            # grpclib raises this when it uses the transport of a connection that was
            # just lost, since it has deleted that attribute.
            raise ConnectionError(f"connection lost: {exc}") from None
        if reply_envelope is None:
            raise MessageError("the call ended without a reply")
        reply_bytes = self._security.signed_bytes(reply_envelope)
        if not self._security.is_valid_mac(received_mac, request_bytes, reply_bytes):
            raise MessageError("the reply's HMAC does not match the fleet secret")
        return reply_envelope

    def _discard(self, address: str) -> None:
        """Stop using a connection after a call on it got no reply.

        The connection may be dead, and a call without a reply is the only sign
        of that. It is closed after a delay, so that other pending calls can end.
        """
        connection = self._connections.pop(address, None)
        if connection is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_GRACE_S, connection.channel.close)

    def close_idle(self) -> None:
        """Close connections that were idle for ``CHANNEL_IDLE_TIMEOUT_S`` seconds."""
        cutoff_at = self._clock() - CHANNEL_IDLE_TIMEOUT_S
        for address, connection in list(self._connections.items()):
            if connection.used_at < cutoff_at:
                connection.channel.close()
                del self._connections[address]

    def close(self) -> None:
        """Close every connection."""
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    def _channel(self, address: str) -> Channel:
        connection = self._connections.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), ssl=self._security.client_tls)
            connection = self._connections[address] = _Connection(channel, 0.0)
        connection.used_at = self._clock()
        return connection.channel
