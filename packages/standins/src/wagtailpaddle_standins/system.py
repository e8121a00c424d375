"""A small whole system on loopback: platform, backend servers and daemons."""

from functools import partial
from itertools import count
from typing import Any

from wagtailpaddle_standins.backend import (
    CONTROL_PATH,
    HEALTH_CONTROL_PATH,
    SEEN_PATH,
)
from wagtailpaddle_standins.client import Client, wait_for
from wagtailpaddle_standins.logservice import CONTROL_PATH as LOG_CONTROL_PATH
from wagtailpaddle_standins.logservice import VMS_CONTROL_PATH
from wagtailpaddle_standins.processes import (
    OPERATOR_TOKEN,
    DaemonAddress,
    Processes,
    free_ports,
)

ZONES = ("a", "b", "c")
N_BOOKING = 12
N_INVENTORY = 10
READY_TIMEOUT_S = 60.0


class System:
    """Separate processes that make up a deployment; use it in a ``with``."""

    def __init__(self, *, n_daemons: int = 3):
        self.processes = Processes()
        self.load_numbers = count(1)
        ports = free_ports(1 + N_BOOKING + N_INVENTORY + 3 * n_daemons)
        self.log_port = ports.pop()
        self.servers = {
            f"booking-{index:02}": ports.pop() for index in range(N_BOOKING)
        }
        self.servers.update(
            {f"inventory-{index:02}": ports.pop() for index in range(N_INVENTORY)}
        )
        self.daemons = [
            DaemonAddress(
                ZONES[index % len(ZONES)],
                *(f"127.0.0.1:{ports.pop()}" for _ in range(3)),
            )
            for index in range(n_daemons)
        ]

    def __enter__(self) -> "System":
        try:
            self._start()
        except BaseException:
            self.processes.stop_all()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.processes.stop_all()

    def _start(self) -> None:
        self.processes.start(
            "log", "wagtailpaddle_standins.logservice", [f"--port={self.log_port}"]
        )
        servers = [f"--server={name}={port}" for name, port in self.servers.items()]
        self.processes.start("backends", "wagtailpaddle_standins.backend", servers)
        self._await(lambda: Client(f"127.0.0.1:{self.log_port}").request("GET", "/vms"))
        self.list_vms()
        for index in range(len(self.daemons)):
            self.start(index)
        for index in range(len(self.daemons)):
            self._await(partial(self._probe, index))

    def _probe(self, index: int) -> object:
        return self.operator(index).request("GET", "/v1/status")

    def _await(self, ask: Any) -> None:
        if not wait_for(lambda: ask() is not None):
            raise RuntimeError("a process of the system did not start in time")

    def operator(self, index: int) -> Client:
        """Return a connection to a daemon's administration API."""
        return Client(self.daemons[index].admin, token=OPERATOR_TOKEN)

    def caller(self, index: int, secret: str = "") -> Client:
        """Return a caller's connection to a daemon."""
        return Client(self.daemons[index].caller, token=secret)

    def list_vms(self, *, leaving: tuple[int, ...] = ()) -> None:
        """State the daemons' VMs in the platform's list."""
        entries = [
            {"peer_address": at.peer, "zone": at.zone, "leaving": index in leaving}
            for index, at in enumerate(self.daemons)
        ]
        Client(f"127.0.0.1:{self.log_port}").send("PUT", VMS_CONTROL_PATH, entries)

    def set_log(self, **mode: Any) -> None:
        """Make the log service fail as ``logservice.Mode`` says; {} mends it."""
        Client(f"127.0.0.1:{self.log_port}").send("PUT", LOG_CONTROL_PATH, mode)

    def set_fault(
        self, server: str, fault: str, *, fraction: float = 1.0, parameter: float = 0.0
    ) -> None:
        """Make a backend server treat its work badly; "" mends it."""
        mode = {"fault": fault, "fraction": fraction, "parameter": parameter}
        Client(f"127.0.0.1:{self.servers[server]}").send("PUT", CONTROL_PATH, mode)

    def set_page(self, server: str, page: str, *, parameter: float = 0.0) -> None:
        """Make a backend server show a health page of ``HEALTH_PAGES``."""
        mode = {"page": page, "parameter": parameter}
        client = Client(f"127.0.0.1:{self.servers[server]}")
        client.send("PUT", HEALTH_CONTROL_PATH, mode)

    def seen(self) -> list[dict[str, Any]]:
        """Return every request that some backend server began to run."""
        found = []
        for port in self.servers.values():
            found += Client(f"127.0.0.1:{port}").request("GET", SEEN_PATH).json()
        return found

    def revision(self, index: int) -> int:
        """Return the revision that a daemon has folded."""
        return self.operator(index).request("GET", "/v1/status").json()["revision"]

    def publish(self, document: dict[str, Any]) -> None:
        """Publish a base document and wait until every daemon has it."""
        reply = self.operator(0).send("PUT", "/v1/base", document)
        if reply.status != 200:
            raise RuntimeError(f"publish failed: {reply.body!r}")
        revision = reply.json()["revision"] + 1
        for index in range(len(self.daemons)):
            self.wait_for_revision(index, revision)

    def wait_for_revision(self, index: int, revision: int) -> None:
        """Wait until a daemon has folded up to ``revision``."""
        if not wait_for(lambda: self.revision(index) >= revision):
            raise RuntimeError(f"daemon {index} did not reach {revision}")

    def wait_until_ready(self, *indices: int) -> None:
        """Wait until daemons (default: all) serve and can spend their shares."""
        for index in indices or range(len(self.daemons)):
            ready = partial(self._is_ready, index)
            if not wait_for(ready, timeout_s=READY_TIMEOUT_S):
                raise RuntimeError(f"daemon {index} did not become ready")

    def _is_ready(self, index: int) -> bool:
        return self.operator(index).request("GET", "/v1/status").json()["ready"]

    def issue(self, account: str, *, index: int = 0) -> dict[str, str]:
        """Issue a key and wait until every daemon knows it."""
        path = f"/v1/accounts/{account}/keys"
        reply = self.operator(index).send("POST", path, {}).json()
        for each in range(len(self.daemons)):
            self.wait_for_revision(each, reply["revision"] + 1)
        return reply

    def kill(self, index: int) -> None:
        """End a daemon without notice."""
        self.processes.kill(f"daemon-{index}")

    def start(self, index: int) -> None:
        """Start a daemon, a new incarnation on its address."""
        address = self.daemons[index]
        self.processes.start_daemon(f"daemon-{index}", address, self.log_port)

    def stop(self, index: int) -> int:
        """Stop a daemon gracefully and return its exit status."""
        return self.processes.stop(f"daemon-{index}")

    def base_document(self) -> dict[str, Any]:
        """Return the base document of a small deployment."""
        accounts = {
            f"account-{index}": {"rate": 300.0, "burst": 300.0} for index in range(8)
        }
        return {
            "accounts": accounts,
            "services": {
                name: {"servers": self._server_tables(name)}
                for name in ("booking", "inventory")
            },
            "routes": {
                "catalogue": {
                    "path": "/catalogue",
                    "service": "booking",
                    "methods": ["GET"],
                    "idempotent": True,
                },
                "book": {
                    "path": "/deliveries",
                    "service": "booking",
                    "methods": ["POST"],
                },
                "inventory": {
                    "path": "/inventory",
                    "service": "inventory",
                    "methods": ["GET"],
                    "idempotent": True,
                },
                "claims": {
                    "path": "/claims",
                    "service": "inventory",
                    "methods": ["POST"],
                },
            },
        }

    def _server_tables(self, service: str) -> dict[str, Any]:
        return {
            name: {
                "address": "127.0.0.1",
                "port": port,
                "zone": ZONES[index % len(ZONES)],
            }
            for index, (name, port) in enumerate(sorted(self.servers.items()))
            if name.startswith(service)
        }
