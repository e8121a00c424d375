"""Division of each server's connections among the VMs that use it."""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from wagtailpaddle_core import ServerId, VmId, ensure, score

from wagtailpaddle_routing.subset import MIN_SUBSET, ZonedServer, subset

DESIRED_CONNECTIONS = 4
PROBE_CONNECTIONS = 3
"""Connections to each server that are reserved for health probes."""

MAX_SKEW = 1.5
VM_COUNT_STEP = 1.25


class LimitedServer(ZonedServer, Protocol):
    """A server with its zone and its connection limit."""

    @property
    def connections(self) -> int:
        """How many connections all VMs together may open to the server."""


def servers_per_vm(n_servers: int, connections: int, n_vms: int) -> int:
    """Return how many servers of a service each of ``n_vms`` VMs uses.

    The size leaves every VM ``DESIRED_CONNECTIONS`` to each of its servers, even
    to a server that is used by ``MAX_SKEW`` times the mean number of VMs. It is
    at least ``MIN_SUBSET`` as long as every VM still gets one connection to each,
    and never less than one. The number of VMs is rounded up in steps, so that the
    size seldom changes.

    >>> servers_per_vm(12, 300, 36), servers_per_vm(100, 300, 1500)
    (12, 6)
    >>> servers_per_vm(19, 300, 6500)
    1
    """
    rounded_n_vms = 1.0
    while rounded_n_vms < n_vms:
        rounded_n_vms *= VM_COUNT_STEP
    connections_per_vm = n_servers * connections / (rounded_n_vms * MAX_SKEW)
    size = max(
        connections_per_vm / DESIRED_CONNECTIONS, min(MIN_SUBSET, connections_per_vm), 1
    )
    return min(n_servers, int(size))


class ConnectionShares:
    """How many connections this VM may open to each server of one service.

    A server's connections are divided equally among the VMs of the roster that
    use it. If there are more VMs than connections, the VMs with the highest
    scores for the server get one each and the others none. So the sum over all
    VMs with the same roster stays within the server's limit. Adding or removing
    a VM changes only the counts of the servers that it uses, and computes one
    score for each server.
    """

    def __init__(
        self, vm: VmId, servers: Sequence[LimitedServer], vms: frozenset[VmId]
    ) -> None:
        self._vm = vm
        self._servers = tuple(servers)
        self._vms: frozenset[VmId] = frozenset()
        self._size = 0
        self._own_servers: frozenset[ServerId] = frozenset()
        self._n_sharing_vms: Counter[ServerId] = Counter()
        self._n_outranking: Counter[ServerId] = Counter()
        self._is_first: dict[ServerId, bool] = {}
        self.set_vms(vms)

    def set_vms(self, vms: frozenset[VmId]) -> None:
        """Replace the roster; ``vms`` includes this VM."""
        connections = min((item.connections for item in self._servers), default=1)
        size = servers_per_vm(len(self._servers), connections, len(vms))
        if size != self._size:
            self._size = size
            self._vms = frozenset()
            self._n_sharing_vms.clear()
            self._n_outranking.clear()
            self._own_servers = frozenset(self._servers_of(self._vm))
        if not self.is_full_mesh:
            for vm in vms - self._vms:
                self._count_vm(vm, 1)
            for vm in self._vms - vms:
                self._count_vm(vm, -1)
        self._vms = vms
        self._is_first.clear()

    @property
    def is_full_mesh(self) -> bool:
        """Whether every VM uses every server."""
        return self._size >= len(self._servers)

    def n_sharing_vms(self, server: ServerId) -> int:
        """Return how many VMs use a server."""
        return len(self._vms) if self.is_full_mesh else self._n_sharing_vms[server]

    def connections(self, server: LimitedServer) -> int:
        """Return how many connections this VM may open to a server, possibly 0."""
        if server.id not in self._own_servers:
            return 0
        n_sharing_vms = self.n_sharing_vms(server.id)
        total = self.request_connections(server)
        if n_sharing_vms > total:
            return int(self._n_vms_outranking(server.id) < total)
        allowed = total // n_sharing_vms
        ensure(
            allowed * n_sharing_vms <= server.connections,
            "connections-within-limit",
            server=server.id,
            n_users=n_sharing_vms,
        )
        return allowed

    def is_assigned(self, server: ServerId) -> bool:
        """Return whether this VM ranks first among the VMs that use a server."""
        is_first = self._is_first.get(server)
        if is_first is None:
            is_first = self._n_vms_outranking(server) == 0
            self._is_first[server] = is_first
        return is_first

    def request_connections(self, server: LimitedServer) -> int:
        """Return how many of a server's connections are not reserved for probes."""
        return max(1, server.connections - PROBE_CONNECTIONS)

    def _n_vms_outranking(self, server: ServerId) -> int:
        """Return how many VMs that use a server rank before this VM."""
        if self.is_full_mesh:
            return sum(self._outranks(vm, server) for vm in self._vms)
        return self._n_outranking[server]

    def _servers_of(self, vm: VmId) -> tuple[ServerId, ...]:
        return subset(vm, (), self._servers, self._size, min_size=1)

    def _count_vm(self, vm: VmId, sign: int) -> None:
        for server in self._servers_of(vm):
            self._n_sharing_vms[server] += sign
            if server in self._own_servers and self._outranks(vm, server):
                self._n_outranking[server] += sign

    def _outranks(self, vm: VmId, server: ServerId) -> bool:
        if vm == self._vm:
            return False
        key = f"{server}/user"
        return (score(key, vm), vm) > (score(key, self._vm), self._vm)
