"""Balance and churn of the methods that assign a subset of the servers to a VM."""

from collections import Counter
from collections.abc import Iterator, Sequence

from wagtailpaddle_core import ServerId, VmId, ZoneId
from wagtailpaddle_routing import SUBSETTERS, ServerView, subset

from wagtailpaddle_standins.measure.registry import MEASURES

N_ZONES = 8
CASES = ((200, 19, 8), (1500, 100, 8), (6500, 150, 6))
"""Number of VMs that use a service, number of its servers, size of a subset."""


@MEASURES.register("subsets")
def subsets(seed: int) -> Iterator[str]:
    """Yield one line for each case and method.

    ``moved`` is the share of the pairs of VM and server that change when one
    VM, or one server, is replaced.
    """
    yield (
        f"{'VMs':>5} {'servers':>7} {'size':>4} {'method':11} {'mean':>6} "
        f"{'least':>5} {'most':>5} {'moved by VM':>11} {'moved by server':>15}"
    )
    for n_vms, n_servers, size in CASES:
        vms = [VmId(f"{seed}/vm-{index}") for index in range(n_vms)]
        servers = [_view(f"{seed}/server-{i}", i) for i in range(n_servers)]
        other_vms = [*vms[:-1], VmId(f"{seed}/vm-0-new")]
        other_servers = [*servers[1:], _view(f"{seed}/server-new", 0)]
        for method in SUBSETTERS.names():
            pairs = _pairs(vms, servers, size, method)
            n_users = Counter(server for _, server in pairs)
            counts = [n_users[server.id] for server in servers]
            by_vm = _pairs(other_vms, servers, size, method)
            by_server = _pairs(vms, other_servers, size, method)
            yield (
                f"{n_vms:5} {n_servers:7} {size:4} {method:11} "
                f"{len(pairs) / n_servers:6.1f} {min(counts):5} {max(counts):5} "
                f"{_moved(pairs, by_vm):11.4f} {_moved(pairs, by_server):15.4f}"
            )


Pairs = set[tuple[VmId, ServerId]]


def _view(name: str, index: int) -> ServerView:
    zone = ZoneId(f"zone-{index % N_ZONES}")
    return ServerView(ServerId(name), zone, slots=4, connections=300)


def _pairs(
    vms: Sequence[VmId], servers: Sequence[ServerView], size: int, method: str
) -> Pairs:
    sample = vms[:: max(1, len(vms) // 1500)]
    return {
        (vm, name)
        for vm in sample
        for name in subset(vm, vms, servers, size, method=method)
    }


def _moved(before: Pairs, after: Pairs) -> float:
    return len(after - before) / len(before)
