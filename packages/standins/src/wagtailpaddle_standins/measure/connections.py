"""Connections of a VM to the servers of a service, and the cost to assign them."""

from collections.abc import Iterator
from time import perf_counter

from wagtailpaddle_core import ServerId, VmId, ZoneId
from wagtailpaddle_routing import ConnectionShares, ServerView, servers_per_vm

from wagtailpaddle_standins.measure.registry import MEASURES

N_ZONES = 8
CONNECTIONS = 300
CASES = ((36, 12), (36, 15), (90, 19), (1500, 100), (6500, 19), (6500, 150))
"""Number of VMs in the roster, and of servers of the service."""
N_CHANGES = 20


@MEASURES.register("connections")
def connections(seed: int) -> Iterator[str]:
    """Yield one line for each case.

    ``users`` is the number of VMs that share the busiest server, ``total`` the
    most connections that they open to it together. ``without`` is the share of
    the assignments of a VM to a server that get no connection. The times are
    those of a service's first request and of a VM that joins or leaves.
    """
    yield (
        f"{'VMs':>5} {'servers':>7} {'size':>4} {'users':>5} {'total':>5} "
        f"{'without':>7} {'first ms':>8} {'change us':>9}"
    )
    for n_vms, n_servers in CASES:
        vms = [VmId(f"{seed}/vm-{index}") for index in range(n_vms)]
        servers = [_view(f"{seed}/server-{i}", i) for i in range(n_servers)]
        started_at = perf_counter()
        users = ConnectionShares(vms[0], servers, frozenset(vms))
        first_s = perf_counter() - started_at
        counts = [users.n_sharing_vms(item.id) for item in servers]
        rosters = [frozenset(vms[: n_vms - i % 2]) for i in range(N_CHANGES)]
        started_at = perf_counter()
        for roster in rosters:
            users.set_vms(roster)
        change_s = (perf_counter() - started_at) / N_CHANGES
        n_connections = users.request_connections(servers[0])
        n_busiest = max(counts)
        per_vm = n_connections // n_busiest
        n_unconnected = sum(max(0, count - n_connections) for count in counts)
        yield (
            f"{n_vms:5} {n_servers:7} "
            f"{servers_per_vm(n_servers, CONNECTIONS, n_vms):4} "
            f"{n_busiest:5} {per_vm * n_busiest if per_vm else n_connections:5} "
            f"{n_unconnected / sum(counts):7.3f} "
            f"{first_s * 1e3:8.1f} {change_s * 1e6:9.0f}"
        )


def _view(name: str, index: int) -> ServerView:
    zone = ZoneId(f"zone-{index % N_ZONES}")
    return ServerView(ServerId(name), zone, 4, CONNECTIONS)
