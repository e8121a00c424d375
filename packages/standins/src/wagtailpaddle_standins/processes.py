"""Starts and stops the processes of a test system on loopback."""

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
    """Loopback ports reserved for the processes of this program.

    Each port stays bound, without listening, until ``close``. The operating
    system never assigns a bound port as an ephemeral one, neither for listening
    nor for connecting, but a server that sets SO_REUSEADDR can listen on it.
    """

    def __init__(self, n_ports: int):
        self._sockets = [socket.socket() for _ in range(n_ports)]
        for sock in self._sockets:
            sock.bind(("127.0.0.1", 0))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._ports = [sock.getsockname()[1] for sock in self._sockets]

    def acquire(self) -> int:
        """Return a port that was not returned before."""
        return self._ports.pop()

    def close(self) -> None:
        """Release the ports."""
        for sock in self._sockets:
            sock.close()


@dataclass(frozen=True, slots=True)
class DaemonAddress:
    """The zone and the listening addresses of one daemon."""

    zone: str
    caller: str
    peer: str
    admin: str


class Processes:
    """The child processes of this program, by name."""

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
        """Start ``python -m module args`` with its output appended to its log file."""
        command = [sys.executable, "-m", module, *args]
        with open(self.log_path(name), "ab") as log:
            self.running[name] = subprocess.Popen(
                command, env=dict(env), stdout=log, stderr=log
            )

    def log_path(self, name: str) -> Path:
        """Return the path of a process's log file."""
        return self.folder / f"{name}.log"

    def start_daemon(
        self,
        name: str,
        address: DaemonAddress,
        log_port: int,
        *,
        site: str = "default",
        vias: Sequence[str] = (),
        options: Sequence[str] = (),
    ) -> None:
        """Start one daemon that reads the log at ``log_port``.

        ``vias`` are the relays for its connections to peers, as arguments
        ``PORT=RELAY`` of the module ``relayed``; ``options`` are further arguments.
        """
        operators = "demo=" + hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        args = [
            f"--site={site}",
            f"--zone={address.zone}",
            f"--caller-address={address.caller}",
            f"--peer-address={address.peer}",
            f"--admin-address={address.admin}",
            f"--log-url=http://127.0.0.1:{log_port}",
            f"--vm-list-url=http://127.0.0.1:{log_port}/vms",
            f"--operators={operators}",
            f"--fleet-secret={FLEET_SECRET}",
            "--log-level=warning",
            *options,
        ]
        if vias:
            args = [*(f"--via={via}" for via in vias), *args]
        module = "standins.relayed" if vias else "daemon.main"
        self.start(name, f"wagtailpaddle_{module}", args)

    def kill(self, name: str) -> None:
        """Kill one process (SIGKILL)."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def wait(self, name: str, *, timeout_s: float) -> int:
        """Wait until a process exits by itself; return its exit status."""
        return self.running.pop(name).wait(timeout_s)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    def stop(self, name: str) -> int:
        """Stop one process with SIGTERM and return its exit status.

        It is killed if it has not exited after ``STOP_TIMEOUT_S``.
        """
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> dict[str, int]:
        """Stop every process and return the exit statuses.

        Each process gets SIGTERM and then SIGINT, on which a daemon exits at once.
        """
        self._signal_all(signal.SIGCONT)
        self._signal_all(signal.SIGTERM)
        time.sleep(SECOND_SIGNAL_AFTER_S)
        self._signal_all(signal.SIGINT)
        return {name: self.stop(name) for name in reversed(list(self.running))}

    def _signal_all(self, number: int) -> None:
        for process in self.running.values():
            process.send_signal(number)
