"""The gRPC service between daemons and its client."""

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
from wagtailpaddle_peer.codec import (
    MessageError,
    decode_envelope,
    encode_envelope,
)
from wagtailpaddle_peer.messages import Acknowledged, Failed
from wagtailpaddle_peer.peer_grpc import PeerBase, PeerStub

MAX_MESSAGE_BYTES = 4 << 20
CALL_TIMEOUT_S = 1.0
CHANNEL_IDLE_S = 60.0
MAC_HEADER = "x-fleet-mac"

CLOSE_AFTER_S = 2.0
"""How long calls on a connection that is no longer used may still end."""

Handler = Callable[[VmId, Any], Any]
"""Returns the reply to a message, or an awaitable of it."""


class PeerError(Exception):
    """A peer did not answer, or answered with an error."""


@dataclass(frozen=True, slots=True)
class Security:
    """How daemons make sure of each other.

    With a ``secret`` each message and each reply carries a keyed digest, so
    the secret itself never travels. With ``tls`` contexts the connections are
    encrypted, and certificates decide who may call.
    """

    secret: bytes = b""
    server_tls: SSLContext | None = None
    client_tls: SSLContext | None = None

    def mac(self, *parts: bytes) -> str:
        """Return the keyed digest of ``parts``, empty without a secret."""
        if not self.secret:
            return ""
        keyed = hmac.new(self.secret, digestmod="sha256")
        for part in parts:
            keyed.update(len(part).to_bytes(8, "big"))
            keyed.update(part)
        return keyed.hexdigest()

    def signed(self, message: Any) -> bytes:
        """Return the bytes of a message that the digest covers, if there is one."""
        return message.SerializeToString(deterministic=True) if self.secret else b""

    def metadata(self, *parts: bytes) -> dict[str, str]:
        """Return the metadata that carry the digest; none without a secret.

        gRPC allows no empty values.
        """
        mac = self.mac(*parts)
        return {MAC_HEADER: mac} if mac else {}

    def is_valid(self, presented: object, *parts: bytes) -> bool:
        """Return whether ``presented`` is the keyed digest of ``parts``."""
        expected = self.mac(*parts)
        return hmac.compare_digest(str(presented or "").encode(), expected.encode())


class PeerServer(PeerBase):
    """Serves the calls of other daemons.

    ``handler`` gets the sender and the message and returns the reply, or None
    if there is nothing to say.
    """

    def __init__(self, vm: VmId, handler: Handler, security: Security):
        self._vm = vm
        self._handler = handler
        self._security = security
        self._server = Server([self])

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host:port``. Raises ``OSError``."""
        await self._server.start(host, port, ssl=self._security.server_tls)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self._server.close()
        await self._server.wait_closed()

    async def Call(self, stream: Stream[pb.Envelope, pb.Envelope]) -> None:  # noqa: N802
        """Answer one message of a peer."""
        envelope = await stream.recv_message()
        if envelope is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no message")
        data = self._security.signed(envelope)
        presented = (stream.metadata or {}).get(MAC_HEADER, "")
        if not self._security.is_valid(presented, data):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong fleet secret")
        if envelope.ByteSize() > MAX_MESSAGE_BYTES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "the message is too large")
        answer = self._answer(envelope)
        if isawaitable(answer):
            answer = await answer
        reply = encode_envelope(self._vm, Acknowledged() if answer is None else answer)
        told = self._security.signed(reply)
        await stream.send_initial_metadata(metadata=self._security.metadata(data, told))
        await stream.send_message(reply)

    def _answer(self, envelope: pb.Envelope) -> Any:
        if envelope.receiver not in ("", self._vm):
            return Failed(f"{envelope.receiver!r} does not run here")
        try:
            sender, body = decode_envelope(envelope)
        except MessageError as exc:
            return Failed(str(exc))
        return self._handler(sender, body)


class _Link:
    __slots__ = ("channel", "used_at")

    def __init__(self, channel: Channel, used_at: float) -> None:
        self.channel = channel
        self.used_at = used_at


class PeerClient:
    """Calls other daemons over kept connections."""

    def __init__(self, vm: VmId, security: Security, clock: Callable[[], float]):
        self._vm = vm
        self._security = security
        self._clock = clock
        self._links: dict[str, _Link] = {}

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
        ``PeerError`` when no valid reply comes within ``timeout_s`` seconds.
        """
        envelope = encode_envelope(self._vm, body, receiver=receiver)
        try:
            answer = await self._exchange(address, envelope, timeout_s)
            reply = decode_envelope(answer)[1]
        except (
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
            OSError,
            TimeoutError,
            MessageError,
        ) as exc:
            if isinstance(exc, TimeoutError | OSError):
                self._abandon(address)
            raise PeerError(f"peer {address!r}: {exc!r}") from None
        if isinstance(reply, Failed):
            raise PeerError(f"peer {address!r}: {reply.reason}")
        return reply

    async def _exchange(
        self, address: str, envelope: pb.Envelope, timeout_s: float
    ) -> pb.Envelope:
        data = self._security.signed(envelope)
        stub = PeerStub(self._channel(address))
        metadata = self._security.metadata(data)
        try:
            async with stub.Call.open(timeout=timeout_s, metadata=metadata) as stream:
                await stream.send_message(envelope, end=True)
                answer = await stream.recv_message()
                presented = (stream.initial_metadata or {}).get(MAC_HEADER, "")
        except AttributeError as exc:
            # grpclib deletes the transport of a connection that was just lost.
            raise ConnectionError(f"the connection was lost: {exc}") from None
        if answer is None:
            raise MessageError("no reply")
        told = self._security.signed(answer)
        if not self._security.is_valid(presented, data, told):
            raise MessageError("the reply does not carry the fleet secret")
        return answer

    def _abandon(self, address: str) -> None:
        """Use a connection that brought no answer for no further call.

        It may have gone silent for good, and nothing else would show that.
        """
        link = self._links.pop(address, None)
        if link is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_AFTER_S, link.channel.close)

    def close_idle(self) -> None:
        """Close connections that were not used for a while."""
        oldest = self._clock() - CHANNEL_IDLE_S
        for address, link in list(self._links.items()):
            if link.used_at < oldest:
                link.channel.close()
                del self._links[address]

    def close(self) -> None:
        """Close every connection."""
        for link in self._links.values():
            link.channel.close()
        self._links.clear()

    def _channel(self, address: str) -> Channel:
        link = self._links.get(address)
        if link is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), ssl=self._security.client_tls)
            link = self._links[address] = _Link(channel, 0.0)
        link.used_at = self._clock()
        return link.channel
