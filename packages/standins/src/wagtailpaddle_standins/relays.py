"""TCP relays on loopback that can drop and delay bytes and reset connections.

``PUT /_control`` with ``{"port": ["forward"]}`` sets the modes of each relay, by
its port: ``forward`` drops the bytes of the connecting side, ``backward`` drops
those of the target, ``slow`` delays both directions, and ``reset`` aborts all
connections once. A relay that is not listed forwards everything. Connections
that lost bytes are aborted when their relay stops dropping.
"""

import argparse
import json
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.web.resource import Resource
from twisted.web.server import Site

CONTROL_PATH = "/_control"
FORWARD = "forward"
BACKWARD = "backward"
SLOW = "slow"
RESET = "reset"
SLOW_S = 0.25


class Side(Protocol):
    """One side of a relayed connection; its bytes flow in ``direction``."""

    def __init__(self, relay: "Relay", direction: str):
        self.relay = relay
        self.direction = direction
        self.other: Side | None = None
        self.buffered: list[bytes] = []
        self.has_lost = False
        self.delayed_until: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target, or start forwarding once it is connected."""
        self.transport.setTcpNoDelay(True)
        if self.direction == FORWARD:
            self.relay.sides.add(self)
            loop: Any = reactor
            loop.connectTCP("127.0.0.1", self.relay.target, TargetFactory(self))
            return
        assert self.other is not None
        self.other.other = self
        self.transport.write(b"".join(self.other.buffered))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward, buffer, delay or drop bytes."""
        if self.direction in self.relay.modes:
            self.has_lost = True
        elif self.other is None:
            self.buffered.append(data)
        elif self.delayed_until is not None or SLOW in self.relay.modes:
            self._forward_later(self.other, data)
        else:
            self.other.transport.write(data)

    def _forward_later(self, other: "Side", data: bytes) -> None:
        """Forward bytes after a delay; later bytes do not overtake them."""
        loop: Any = reactor
        forward_at = loop.seconds() + (SLOW_S if SLOW in self.relay.modes else 0.0)
        self.delayed_until = forward_at = max(
            forward_at, self.delayed_until or forward_at
        )
        loop.callLater(forward_at - loop.seconds(), other.transport.write, data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other side, unless this direction is being dropped."""
        self.relay.sides.discard(self)
        if self.other is not None and self.direction not in self.relay.modes:
            self.other.transport.loseConnection()


class TargetFactory(ClientFactory):
    """Connects to the target for one connecting side."""

    noisy = False

    def __init__(self, side: Side):
        self._side = side

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Return the protocol of the connection to the target."""
        target = Side(self._side.relay, BACKWARD)
        target.other = self._side
        return target

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Abort the connecting side, as the target does not accept connections."""
        self._side.transport.abortConnection()


class Relay(Factory):
    """Forwards connections to the port ``target``."""

    noisy = False

    def __init__(self, target: int):
        self.target = target
        self.modes: frozenset[str] = frozenset()
        self.sides: set[Side] = set()

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Return the protocol of the connecting side."""
        return Side(self, FORWARD)

    def set_modes(self, modes: frozenset[str]) -> None:
        """Set the modes and abort connections that were reset or lost bytes."""
        is_reset = RESET in modes
        restored = self.modes - modes
        self.modes = modes - {RESET}
        for side in tuple(self.sides):
            has_lost = side.has_lost or (side.other is not None and side.other.has_lost)
            if is_reset or (restored and has_lost):
                side.transport.abortConnection()
                if side.other is not None and side.other.transport is not None:
                    side.other.transport.abortConnection()


class Control(Resource):
    """The control resource that sets the modes of the relays."""

    isLeaf = True  # noqa: N815

    def __init__(self, relays: dict[int, Relay]):
        super().__init__()
        self._relays = relays

    def render_PUT(self, request: Any) -> bytes:  # noqa: N802
        """Replace the modes of every relay."""
        modes = json.loads(request.content.read())
        for port, relay in self._relays.items():
            relay.set_modes(frozenset(modes.get(str(port), ())))
        return b"{}"


def main() -> None:
    """Relay until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", type=int, required=True)
    parser.add_argument("--relay", action="append", metavar="PORT=TARGET")
    args = parser.parse_args()
    loop: Any = reactor
    relays = {}
    for entry in args.relay:
        port, _, target = entry.partition("=")
        relay = relays[int(port)] = Relay(int(target))
        loop.listenTCP(int(port), relay, interface="127.0.0.1")
    loop.listenTCP(args.control, Site(Control(relays)), interface="127.0.0.1")
    loop.run()


if __name__ == "__main__":
    main()
