"""Starts and ends the processes of a small system on loopback."""

import hashlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field

OPERATOR_TOKEN = "operator-token-of-the-demo"
FLEET_SECRET = "fleet-secret-of-the-demo"
STOP_TIMEOUT_S = 15.0


def free_ports(n_ports: int) -> list[int]:
    """Return ports of the loopback address that nobody listens on."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@dataclass(frozen=True, slots=True)
class DaemonAddress:
    """Where one daemon of the system listens."""

    zone: str
    caller: str
    peer: str
    admin: str


@dataclass(slots=True)
class Processes:
    """Processes that this program started, by name."""

    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def start(self, name: str, module: str, args: Sequence[str]) -> None:
        """Start ``python -m module args``."""
        command = [sys.executable, "-m", module, *args]
        self.running[name] = subprocess.Popen(command, env=dict(os.environ))

    def start_daemon(
        self, name: str, at: DaemonAddress, log_port: int, extra: Sequence[str] = ()
    ) -> None:
        """Start one daemon that follows the log on ``log_port``."""
        operators = "demo=" + hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        args = [
            f"--zone={at.zone}",
            f"--caller-address={at.caller}",
            f"--peer-address={at.peer}",
            f"--admin-address={at.admin}",
            f"--log-url=http://127.0.0.1:{log_port}",
            f"--vm-list-url=http://127.0.0.1:{log_port}/vms",
            f"--operators={operators}",
            f"--fleet-secret={FLEET_SECRET}",
            "--log-level=warning",
            *extra,
        ]
        self.start(name, "wagtailpaddle_daemon.main", args)

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
        """Stop every process and return the exit statuses."""
        return {name: self.stop(name) for name in reversed(list(self.running))}
