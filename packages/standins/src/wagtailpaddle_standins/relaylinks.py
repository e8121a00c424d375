"""The relays of a test system and the network partitions that they simulate."""

from collections.abc import Sequence

from wagtailpaddle_standins.client import Client
from wagtailpaddle_standins.processes import DaemonAddress, ReservedPorts
from wagtailpaddle_standins.relays import BACKWARD, CONTROL_PATH, FORWARD


class RelayLinks:
    """Relays for each ordered pair of daemons and from each daemon to the log.

    Without ``relayed`` there are no relays, and no link can be cut.
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
        self._control = ports.acquire()
        self.arguments.append(f"--control={self._control}")
        for sender in range(len(daemons)):
            self._logs[sender] = self._relay(ports, log_port)
            for receiver, daemon in enumerate(daemons):
                if receiver != sender:
                    port = self._relay(ports, peer_port(daemon))
                    self._pairs[sender, receiver] = port

    def _relay(self, ports: ReservedPorts, target: int) -> int:
        port = ports.acquire()
        self.arguments.append(f"--relay={port}={target}")
        return port

    def log_port(self, index: int) -> int:
        """Return the port through which a daemon connects to the log."""
        return self._logs.get(index, self._log_port)

    def vias(self, index: int) -> list[str]:
        """Return a daemon's relays as ``--via`` arguments of ``relayed``."""
        return [
            f"{peer_port(self._daemons[receiver])}={port}"
            for (sender, receiver), port in self._pairs.items()
            if sender == index
        ]

    def cut(self, sender: int, receiver: int) -> None:
        """Drop everything that one daemon sends to another: requests and replies."""
        self._drop(self._pairs[sender, receiver], FORWARD)
        self._drop(self._pairs[receiver, sender], BACKWARD)

    def cut_log(self, index: int) -> None:
        """Drop the responses of the log to one daemon."""
        self._drop(self._logs[index], BACKWARD)

    def heal(self) -> None:
        """Restore all links."""
        self._dropped.clear()
        self._send_modes()

    def _drop(self, port: int, direction: str) -> None:
        self._dropped.setdefault(port, []).append(direction)
        self._send_modes()

    def _send_modes(self) -> None:
        Client(f"127.0.0.1:{self._control}").send("PUT", CONTROL_PATH, self._dropped)


def peer_port(daemon: DaemonAddress) -> int:
    """Return the port on which a daemon listens for its peers."""
    return int(daemon.peer.rpartition(":")[2])
