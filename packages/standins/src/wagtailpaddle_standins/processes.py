"""Starts and ends the processes of a small system on loopback."""

import hashlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

OPERATOR_TOKEN = "operator-token-of-the-demo"
FLEET_SECRET = "fleet-secret-of-the-demo"
STOP_TIMEOUT_S = 15.0
SECOND_SIGNAL_AFTER_S = 0.2


class ReservedPorts:
    """Ports of the loopback address that only this program's processes use.

    Each port stays bound, without listening, until ``close``. The system gives
    a bound port to nobody who asks for any free one, neither to listen on nor
    to connect from, and still lets a server that reuses addresses listen on it.
    """

    def __init__(self, n_ports: int):
        self._sockets = [socket.socket() for _ in range(n_ports)]
        for sock in self._sockets:
            sock.bind(("127.0.0.1", 0))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._ports = [sock.getsockname()[1] for sock in self._sockets]

    def take(self) -> int:
        """Return a port that was not taken before."""
        return self._ports.pop()

    def close(self) -> None:
        """Give the ports back."""
        for sock in self._sockets:
            sock.close()


@dataclass(frozen=True, slots=True)
class DaemonAddress:
    """Where one daemon of the system listens."""

    zone: str
    caller: str
    peer: str
    admin: str


class Processes:
    """Processes that this program started, by name."""

    __slots__ = ("folder", "running")

    def __init__(self) -> None:
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.folder: Path = Path(tempfile.mkdtemp(prefix="wagtailpaddle-"))

    def start(
        self,
        name: str,
        module: str,
        args: Sequence[str],
        *,
        env: Mapping[str, str] = os.environ,
    ) -> None:
        """Start ``python -m module args``; it logs to a file of its name."""
        command = [sys.executable, "-m", module, *args]
        with open(self.log_path(name), "ab") as log:
            self.running[name] = subprocess.Popen(
                command, env=dict(env), stdout=log, stderr=log
            )

    def log_path(self, name: str) -> Path:
        """Return the file to which a process logs."""
        return self.folder / f"{name}.log"

    def start_daemon(
        self,
        name: str,
        at: DaemonAddress,
        log_port: int,
        *,
        site: str = "default",
        vias: Sequence[str] = (),
    ) -> None:
        """Start one daemon that follows the log on ``log_port``.

        ``vias`` are relays as ``relayed`` takes them, for its calls of peers.
        """
        operators = "demo=" + hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        args = [
            f"--site={site}",
            f"--zone={at.zone}",
            f"--caller-address={at.caller}",
            f"--peer-address={at.peer}",
            f"--admin-address={at.admin}",
            f"--log-url=http://127.0.0.1:{log_port}",
            f"--vm-list-url=http://127.0.0.1:{log_port}/vms",
            f"--operators={operators}",
            f"--fleet-secret={FLEET_SECRET}",
            "--log-level=warning",
        ]
        if vias:
            args = [*(f"--via={via}" for via in vias), *args]
        module = "standins.relayed" if vias else "daemon.main"
        self.start(name, f"wagtailpaddle_{module}", args)

    def kill(self, name: str) -> None:
        """End one process without notice."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def wait(self, name: str, *, timeout_s: float) -> int:
        """Wait for a process that ends by itself; return its exit status."""
        return self.running.pop(name).wait(timeout_s)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def stop(self, name: str) -> int:
        """Stop one process gracefully and return its exit status."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> dict[str, int]:
        """Stop every process and return the exit statuses.

        Each gets a second signal, at which a daemon ends at once.
        """
        for number in (signal.SIGCONT, signal.SIGTERM):
            for process in self.running.values():
                process.send_signal(number)
        time.sleep(SECOND_SIGNAL_AFTER_S)
        return {name: self.stop(name) for name in reversed(list(self.running))}
