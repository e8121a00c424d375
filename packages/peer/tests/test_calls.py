"""Calls between daemons over loopback, with and without a fleet secret."""

import asyncio
import socket

import pytest
from wagtailpaddle_core import VmId
from wagtailpaddle_peer import PeerClient, PeerError, PeerServer, Security
from wagtailpaddle_quota import TokenGrantBatch, TokenRequestBatch

REQUEST = TokenRequestBatch(())


@pytest.fixture
def port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def call(port, handler, *, secret=b"", timeout_s=2.0):
    """Return the reply of daemon b to one call of daemon a."""

    async def call_server():
        security = Security(secret=secret)
        server = PeerServer(VmId("b"), handler, security)
        client = PeerClient(VmId("a"), security, lambda: 0.0)
        await server.start("127.0.0.1", port)
        try:
            return await client.call(f"127.0.0.1:{port}", REQUEST, timeout_s=timeout_s)
        finally:
            client.close()
            await server.stop()

    return asyncio.run(call_server())


@pytest.mark.parametrize("secret", [b"", b"shared"])
def test_call_returns_the_reply_with_and_without_a_secret(port, secret):
    reply = call(port, lambda sender, body: TokenGrantBatch(()), secret=secret)
    assert reply == TokenGrantBatch(())


def test_handler_may_return_an_awaitable(port):
    async def reply_later():
        await asyncio.sleep(0.01)
        return TokenGrantBatch(())

    assert call(port, lambda sender, body: reply_later()) == TokenGrantBatch(())


def test_call_without_a_reply_times_out(port):
    async def reply_later():
        await asyncio.sleep(5.0)

    with pytest.raises(PeerError, match="Timeout"):
        call(port, lambda sender, body: reply_later(), timeout_s=0.1)
