"""Which VMs pool the evidence on a service."""

from collections.abc import Iterable

from wagtailpaddle_core import ServiceId, VmId, rank

N_WATCHERS = 3


def watchers(
    service: ServiceId, vms: Iterable[VmId], *, n_watchers: int = N_WATCHERS
) -> tuple[VmId, ...]:
    """Return the VMs that digests on ``service`` go to, equal on every VM.

    >>> len(watchers(ServiceId("booking"), [VmId("a"), VmId("b")]))
    2
    """
    return tuple(rank(service, vms)[:n_watchers])
