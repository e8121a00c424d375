"""A complete test system on loopback: platform, backend servers and daemons."""

from functools import partial
from itertools import count
from typing import Any

from wagtailpaddle_standins.backend import (
    CONTROL_PATH,
    HEALTH_CONTROL_PATH,
    SEEN_PATH,
)
from wagtailpaddle_standins.client import Client, wait_for
from wagtailpaddle_standins.deployments import (
    ZONES,
    Deployment,
    Document,
    small_deployment,
    with_loopback_ports,
)
from wagtailpaddle_standins.logservice import CONTROL_PATH as LOG_CONTROL_PATH
from wagtailpaddle_standins.logservice import VMS_CONTROL_PATH
from wagtailpaddle_standins.processes import (
    OPERATOR_TOKEN,
    DaemonAddress,
    Processes,
    ReservedPorts,
)
from wagtailpaddle_standins.relaylinks import RelayLinks

READY_TIMEOUT_S = 60.0
INTERNAL_ERROR_MARKERS = (
    "Traceback",
    "invariant",
    "failed.",
    "raised an exception.",
    "died",
    "broke",
)


class System:
    """A deployment in separate processes, used as a context manager.

    With ``relayed`` the daemons connect to each other and to the log through
    relays, so that ``cut`` and ``cut_log`` can drop one direction of a link.
    """

    def __init__(
        self,
        deployment: Deployment | None = None,
        *,
        n_daemons: int = 3,
        relayed: bool = False,
    ):
        self.deployment = deployment or small_deployment()
        self.processes = Processes()
        self.load_numbers = count(1)
        names = sorted(self.deployment.servers())
        n_relays = n_daemons * n_daemons + 1 if relayed else 0
        self._ports = ReservedPorts(1 + len(names) + 3 * n_daemons + n_relays)
        self.log_port = self._ports.acquire()
        self.servers = {name: self._ports.acquire() for name in names}
        self.daemons = [self._address(index) for index in range(n_daemons)]
        self._relays = RelayLinks(self._ports, self.daemons, self.log_port, relayed)

    def _address(self, index: int) -> DaemonAddress:
        addresses = (f"127.0.0.1:{self._ports.acquire()}" for _ in range(3))
        return DaemonAddress(ZONES[index % len(ZONES)], *addresses)

    def __enter__(self) -> "System":
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.processes.stop_all()
        self._ports.close()

    def _start(self) -> None:
        self.processes.start(
            "log", "wagtailpaddle_standins.logservice", [f"--port={self.log_port}"]
        )
        if self._relays.arguments:
            self.processes.start(
                "relays", "wagtailpaddle_standins.relays", self._relays.arguments
            )
        servers = [f"--server={name}={port}" for name, port in self.servers.items()]
        self.processes.start("backends", "wagtailpaddle_standins.backend", servers)
        self._wait_for_response(
            lambda: Client(f"127.0.0.1:{self.log_port}").request("GET", "/vms")
        )
        self.list_vms()
        for index in range(len(self.daemons)):
            self.start(index)
        for index in range(len(self.daemons)):
            self._wait_for_response(partial(self._probe, index))

    def _probe(self, index: int) -> object:
        return self.operator(index).request("GET", "/v1/status")

    def _wait_for_response(self, request: Any) -> None:
        if not wait_for(lambda: request() is not None):
            raise RuntimeError(
                "the log service or a daemon did not respond in time after its start"
            )

    def operator(self, index: int) -> Client:
        """Return a connection to a daemon's administration API."""
        return Client(self.daemons[index].admin, token=OPERATOR_TOKEN)

    def caller(self, index: int, secret: str = "") -> Client:
        """Return a connection to a daemon's caller address."""
        return Client(self.daemons[index].caller, token=secret)

    def list_vms(self, *, leaving: tuple[int, ...] = ()) -> None:
        """Publish the daemons in the platform's list of VMs."""
        entries = [
            {"peer_address": at.peer, "zone": at.zone, "leaving": index in leaving}
            for index, at in enumerate(self.daemons)
        ]
        Client(f"127.0.0.1:{self.log_port}").send("PUT", VMS_CONTROL_PATH, entries)

    def set_log(self, **mode: Any) -> None:
        """Set the faults of the log service (``logservice.Mode``); none clears them."""
        Client(f"127.0.0.1:{self.log_port}").send("PUT", LOG_CONTROL_PATH, mode)

    def set_fault(
        self, server: str, fault: str, *, fraction: float = 1.0, parameter: float = 0.0
    ) -> None:
        """Set the fault of a backend server; "" clears it."""
        mode = {"fault": fault, "fraction": fraction, "parameter": parameter}
        Client(f"127.0.0.1:{self.servers[server]}").send("PUT", CONTROL_PATH, mode)

    def set_page(self, server: str, page: str, *, parameter: float = 0.0) -> None:
        """Set the health page (of ``HEALTH_PAGES``) that a backend server returns."""
        mode = {"page": page, "parameter": parameter}
        client = Client(f"127.0.0.1:{self.servers[server]}")
        client.send("PUT", HEALTH_CONTROL_PATH, mode)

    def cut(self, sender: int, receiver: int) -> None:
        """Drop everything that one daemon sends to another until ``heal``."""
        self._relays.cut(sender, receiver)

    def cut_log(self, index: int) -> None:
        """Drop the responses of the log and the list of VMs to one daemon."""
        self._relays.cut_log(index)

    def heal(self) -> None:
        """Restore all links."""
        self._relays.heal()

    def internal_errors(self) -> list[str]:
        """Return the log lines that show an internal error of a daemon."""
        return [
            f"{path.stem}: {line}"
            for path in sorted(self.processes.folder.glob("daemon-*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if any(word in line for word in INTERNAL_ERROR_MARKERS)
        ]

    def received_requests(self) -> list[dict[str, Any]]:
        """Return every request that a backend server started to process."""
        found = []
        for port in self.servers.values():
            found += Client(f"127.0.0.1:{port}").request("GET", SEEN_PATH).json()
        return found

    def revision(self, index: int) -> int:
        """Return the revision up to which a daemon has folded."""
        return self.operator(index).request("GET", "/v1/status").json()["revision"]

    def deploy(self) -> None:
        """Publish the deployment's documents and wait until all daemons are ready."""
        self.publish(self.base_document())
        if self.deployment.overlay:
            overlay = with_loopback_ports(self.deployment.overlay, self.servers)
            self.publish(overlay, to=f"/v1/overlays/{self.deployment.site}")
        self.wait_until_ready()

    def publish(self, document: Document, *, to: str = "/v1/base") -> None:
        """Publish a document and wait until every daemon has folded it."""
        reply = self.operator(0).send("PUT", to, document)
        if reply.status != 200:
            raise RuntimeError(
                f"PUT {to} failed with status {reply.status}: {reply.body!r}"
            )
        revision = reply.json()["revision"] + 1
        for index in range(len(self.daemons)):
            self.wait_for_revision(index, revision)

    def wait_for_revision(self, index: int, revision: int) -> None:
        """Wait until a daemon has folded up to ``revision``."""
        if not wait_for(lambda: self.revision(index) >= revision):
            raise RuntimeError(f"daemon {index} did not reach revision {revision}")

    def wait_until_ready(self, *indices: int) -> None:
        """Wait until daemons (default: all) report that they are ready.

        A ready daemon serves callers and can spend its shares.
        """
        for index in indices or range(len(self.daemons)):
            ready = partial(self._is_ready, index)
            if not wait_for(ready, timeout_s=READY_TIMEOUT_S):
                raise RuntimeError(
                    f"daemon {index} was not ready within {READY_TIMEOUT_S:.0f} s"
                )

    def _is_ready(self, index: int) -> bool:
        return self.operator(index).request("GET", "/v1/status").json()["ready"]

    def issue(self, account: str, *, index: int = 0) -> dict[str, str]:
        """Issue a key and wait until every daemon has folded it."""
        path = f"/v1/accounts/{account}/keys"
        reply = self.operator(index).send("POST", path, {}).json()
        for each in range(len(self.daemons)):
            self.wait_for_revision(each, reply["revision"] + 1)
        return reply

    def kill(self, index: int) -> None:
        """Kill a daemon (SIGKILL)."""
        self.processes.kill(f"daemon-{index}")

    def start(self, index: int, *options: str) -> None:
        """Start a daemon, or a new incarnation of it on the same address.

        ``options`` are further arguments of its command line.
        """
        address = self.daemons[index]
        self.processes.start_daemon(
            f"daemon-{index}",
            address,
            self._relays.log_port(index),
            site=self.deployment.site,
            vias=self._relays.vias(index),
            options=options,
        )

    def stop(self, index: int) -> int:
        """Stop a daemon with SIGTERM and return its exit status."""
        return self.processes.stop(f"daemon-{index}")

    def base_document(self) -> Document:
        """Return the base document with the addresses of the running servers."""
        return with_loopback_ports(self.deployment.base, self.servers)
