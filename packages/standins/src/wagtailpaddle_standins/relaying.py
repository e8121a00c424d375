"""Which relay of a system passes on what, and which are cut."""

from collections.abc import Sequence

from wagtailpaddle_standins.client import Client
from wagtailpaddle_standins.processes import DaemonAddress, ReservedPorts
from wagtailpaddle_standins.relays import BACKWARD, CONTROL_PATH, FORWARD


class Relays:
    """Relays between daemons, one for each ordered pair, and to the log.

    Without ``relayed`` there are none and nothing can be cut.
    """

    def __init__(
        self,
        ports: ReservedPorts,
        daemons: Sequence[DaemonAddress],
        log_port: int,
        relayed: bool,
    ):
        self.arguments: list[str] = []
        self._daemons = daemons
        self._log_port = log_port
        self._pairs: dict[tuple[int, int], int] = {}
        self._logs: dict[int, int] = {}
        self._dropped: dict[int, list[str]] = {}
        if not relayed:
            return
        self._control = ports.take()
        self.arguments.append(f"--control={self._control}")
        for sender in range(len(daemons)):
            self._logs[sender] = self._relay(ports, log_port)
            for receiver, daemon in enumerate(daemons):
                if receiver != sender:
                    port = self._relay(ports, peer_port(daemon))
                    self._pairs[sender, receiver] = port

    def _relay(self, ports: ReservedPorts, target: int) -> int:
        port = ports.take()
        self.arguments.append(f"--relay={port}={target}")
        return port

    def log_port(self, index: int) -> int:
        """Return where a daemon finds the log."""
        return self._logs.get(index, self._log_port)

    def vias(self, index: int) -> list[str]:
        """Return the relays of a daemon's calls, as ``relayed`` takes them."""
        return [
            f"{peer_port(self._daemons[receiver])}={port}"
            for (sender, receiver), port in self._pairs.items()
            if sender == index
        ]

    def cut(self, sender: int, receiver: int) -> None:
        """Drop what one daemon sends to another: calls and replies."""
        self._drop(self._pairs[sender, receiver], FORWARD)
        self._drop(self._pairs[receiver, sender], BACKWARD)

    def cut_log(self, index: int) -> None:
        """Drop the log's answers to one daemon."""
        self._drop(self._logs[index], BACKWARD)

    def heal(self) -> None:
        """Drop nothing more."""
        self._dropped.clear()
        self._tell()

    def _drop(self, port: int, way: str) -> None:
        self._dropped.setdefault(port, []).append(way)
        self._tell()

    def _tell(self) -> None:
        Client(f"127.0.0.1:{self._control}").send("PUT", CONTROL_PATH, self._dropped)


def peer_port(daemon: DaemonAddress) -> int:
    """Return the port on which a daemon takes calls of its peers."""
    return int(daemon.peer.rpartition(":")[2])
