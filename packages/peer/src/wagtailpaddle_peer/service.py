"""The gRPC service between daemons and its client."""

from collections.abc import Callable
from hmac import compare_digest
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
from wagtailpaddle_peer.messages import Failed
from wagtailpaddle_peer.peer_grpc import PeerBase, PeerStub

MAX_MESSAGE_BYTES = 1 << 20
CALL_TIMEOUT_S = 1.0
SECRET_HEADER = "x-fleet-secret"

Handler = Callable[[VmId, Any], Any]


class PeerError(Exception):
    """A peer did not answer, or answered with an error."""


class PeerServer(PeerBase):
    """Serves the calls of other daemons.

    ``handler`` gets the sender and the message and returns the reply. With a
    ``secret``, calls that do not carry it are refused.
    """

    def __init__(self, vm: VmId, handler: Handler, *, secret: str = ""):
        self._vm = vm
        self._handler = handler
        self._secret = secret
        self._server = Server([self])

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host:port``. Raises ``OSError``."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self._server.close()
        await self._server.wait_closed()

    async def Call(self, stream: Stream[pb.Envelope, pb.Envelope]) -> None:  # noqa: N802
        """Answer one message of a peer."""
        presented = str((stream.metadata or {}).get(SECRET_HEADER, ""))
        if not compare_digest(presented.encode(), self._secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong fleet secret")
        envelope = await stream.recv_message()
        if envelope is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no message")
        await stream.send_message(encode_envelope(self._vm, self._answer(envelope)))

    def _answer(self, envelope: pb.Envelope) -> Any:
        try:
            sender, body = decode_envelope(envelope)
        except MessageError as exc:
            return Failed(str(exc))
        return self._handler(sender, body)


class PeerClient:
    """Calls other daemons over kept connections."""

    def __init__(self, vm: VmId, *, secret: str = ""):
        self._vm = vm
        self._metadata = {SECRET_HEADER: secret}
        self._channels: dict[str, Channel] = {}

    async def call(
        self, address: str, body: Any, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Any:
        """Return the reply of the daemon at ``address`` (``host:port``).

        Raises ``PeerError`` when none comes within ``timeout_s`` seconds.
        """
        stub = PeerStub(self._channel(address))
        request = encode_envelope(self._vm, body)
        try:
            envelope = await stub.Call(
                request, timeout=timeout_s, metadata=self._metadata
            )
            reply = decode_envelope(envelope)[1]
        except (
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
            OSError,
            TimeoutError,
            MessageError,
        ) as exc:
            raise PeerError(f"peer {address!r}: {exc!r}") from None
        if isinstance(reply, Failed):
            raise PeerError(f"peer {address!r}: {reply.reason}")
        return reply

    def close(self) -> None:
        """Close every connection."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port))
            self._channels[address] = channel
        return channel
