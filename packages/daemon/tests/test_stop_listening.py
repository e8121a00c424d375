"""Closing a port: connections that the kernel has queued are accepted first.

A caller whose connection is still in the kernel's queue may have sent its request
already. Closing the port resets such a connection, and the caller can't know
whether the request ran.
"""

import socket

import pytest
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from wagtailpaddle_daemon.reactor_util import LISTEN_BACKLOG, stop_listening

N_QUEUED = 8


class CountingFactory(Factory):
    """Counts the connections that were accepted."""

    def __init__(self):
        self.n_accepted = 0

    def buildProtocol(self, addr):  # noqa: N802
        self.n_accepted += 1
        return Protocol()


@pytest.fixture
def factory():
    return CountingFactory()


@pytest.fixture
def port(factory):
    port = reactor.listenTCP(0, factory, backlog=LISTEN_BACKLOG, interface="127.0.0.1")
    yield port
    reactor.runUntilCurrent()
    if port.connected:
        port.connectionLost(None)


@pytest.fixture
def connect(port):
    clients = []

    def connect(n_clients):
        address = ("127.0.0.1", port.getHost().port)
        clients.extend(socket.create_connection(address) for _ in range(n_clients))

    yield connect
    for client in clients:
        client.close()


@pytest.fixture
def quiet_port(port, connect):
    """Return a port whose last traffic was a single connection."""
    connect(1)
    port.doRead()
    return port


def start(coroutine):
    """Run a coroutine up to its first wait."""
    coroutine.send(None)


def test_every_queued_connection_is_accepted(quiet_port, connect, factory):
    before = factory.n_accepted
    connect(N_QUEUED)
    start(stop_listening(quiet_port))
    assert factory.n_accepted - before == N_QUEUED


def test_connections_queued_until_the_port_is_closed_are_accepted(
    quiet_port, connect, factory
):
    before = factory.n_accepted
    start(stop_listening(quiet_port))
    connect(N_QUEUED)
    reactor.runUntilCurrent()
    assert not quiet_port.connected
    assert factory.n_accepted - before == N_QUEUED
