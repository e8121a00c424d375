"""Choice of the VMs that collect the evidence on a service."""

from collections.abc import Iterable

from wagtailpaddle_core import ServiceId, VmId, rank

N_MONITORS = 3


def select_monitors(
    service: ServiceId, vms: Iterable[VmId], *, n_monitors: int = N_MONITORS
) -> tuple[VmId, ...]:
    """Return the VMs that receive digests on ``service``.

    The result is the same on every VM with the same ``vms``.

    >>> len(select_monitors(ServiceId("booking"), [VmId("a"), VmId("b")]))
    2
    """
    return tuple(rank(service, vms)[:n_monitors])
