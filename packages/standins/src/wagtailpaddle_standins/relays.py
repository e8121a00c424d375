"""Relays between processes on loopback that can drop, delay and reset.

``PUT /_control`` with ``{"port": ["forward"]}`` states for each relay, by its
port, what it does from then on: it drops ``forward`` what the connecting side
sends, ``backward`` what the target sends; ``slow`` delays both; ``reset`` ends
every connection once. A relay that is not named passes everything on.
Connections that lost bytes are closed when their relay passes on again.
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
    """One side of a relayed connection; ``way`` is where its bytes go."""

    def __init__(self, relay: "Relay", way: str):
        self.relay = relay
        self.way = way
        self.other: Side | None = None
        self.waiting: list[bytes] = []
        self.has_lost = False
        self.delayed_until: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target, or begin to pass on."""
        self.transport.setTcpNoDelay(True)
        if self.way == FORWARD:
            self.relay.sides.add(self)
            loop: Any = reactor
            loop.connectTCP("127.0.0.1", self.relay.target, TargetFactory(self))
            return
        assert self.other is not None
        self.other.other = self
        self.transport.write(b"".join(self.other.waiting))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, or drop them."""
        if self.way in self.relay.modes:
            self.has_lost = True
        elif self.other is None:
            self.waiting.append(data)
        elif self.delayed_until is not None or SLOW in self.relay.modes:
            self._pass_on_later(self.other, data)
        else:
            self.other.transport.write(data)

    def _pass_on_later(self, other: "Side", data: bytes) -> None:
        """Delay bytes; those that come after them do not overtake them."""
        loop: Any = reactor
        at = loop.seconds() + (SLOW_S if SLOW in self.relay.modes else 0.0)
        self.delayed_until = at = max(at, self.delayed_until or at)
        loop.callLater(at - loop.seconds(), other.transport.write, data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other side, unless it would not hear of it."""
        self.relay.sides.discard(self)
        if self.other is not None and self.way not in self.relay.modes:
            self.other.transport.loseConnection()


class TargetFactory(ClientFactory):
    """Connects to the target on behalf of one side."""

    noisy = False

    def __init__(self, side: Side):
        self._side = side

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Return the protocol towards the target."""
        target = Side(self._side.relay, BACKWARD)
        target.other = self._side
        return target

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Tell the connecting side that nobody listens."""
        self._side.transport.abortConnection()


class Relay(Factory):
    """Passes connections on to the port ``target``."""

    noisy = False

    def __init__(self, target: int):
        self.target = target
        self.modes: frozenset[str] = frozenset()
        self.sides: set[Side] = set()

    def buildProtocol(self, addr: Any) -> Side:  # noqa: N802
        """Return the protocol towards the connecting side."""
        return Side(self, FORWARD)

    def impair(self, modes: frozenset[str]) -> None:
        """State what is dropped or delayed from now on."""
        is_reset = RESET in modes
        healed = self.modes - modes
        self.modes = modes - {RESET}
        for side in tuple(self.sides):
            has_lost = side.has_lost or (side.other is not None and side.other.has_lost)
            if is_reset or (healed and has_lost):
                side.transport.abortConnection()
                if side.other is not None and side.other.transport is not None:
                    side.other.transport.abortConnection()


class Control(Resource):
    """Takes in what the relays drop and delay."""

    isLeaf = True  # noqa: N815

    def __init__(self, relays: dict[int, Relay]):
        super().__init__()
        self._relays = relays

    def render_PUT(self, request: Any) -> bytes:  # noqa: N802
        """Set every relay anew."""
        modes = json.loads(request.content.read())
        for port, relay in self._relays.items():
            relay.impair(frozenset(modes.get(str(port), ())))
        return b"{}"


def main() -> None:
    """Relay until ended."""
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
