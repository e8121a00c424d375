"""Which VMs a notice about a backend server is sent to.

Bytes between availability zones are expensive, so a notice crosses each zone
boundary once: one active VM of every other zone gets it and forwards it there.
"""

from collections.abc import Iterable
from dataclasses import replace

from wagtailpaddle_core import VmId, ZoneId, rank
from wagtailpaddle_replica import Member
from wagtailpaddle_routing import TrustNotice

Hops = tuple[tuple[VmId, TrustNotice], ...]
"""The VMs to call, each with the notice that it gets."""


class NoticeRoutes:
    """The active VMs by availability zone, as seen by ``own``.

    >>> own = Member(VmId("a1"), ZoneId("a"), "a1:80", "a1:81", 1)
    >>> routes = NoticeRoutes(own)
    >>> routes.set_active([own, replace(own, id=VmId("a2"))])
    >>> notice = TrustNotice(ServiceId("booking"), ServerId("s1"), failed=True)
    >>> [vm for vm, _ in routes.first_hops(notice)]
    ['a2']
    """

    def __init__(self, own: Member):
        self._own = own
        self._zone_of: dict[VmId, ZoneId] = {}
        self._vms_of: dict[ZoneId, tuple[VmId, ...]] = {}

    def set_active(self, members: Iterable[Member]) -> None:
        """Set the active VMs of the fleet."""
        self._zone_of = {
            item.id: item.zone for item in members if item.id != self._own.id
        }
        self._vms_of = {
            zone: tuple(sorted(vm for vm in self._zone_of if self._zone_of[vm] == zone))
            for zone in sorted(set(self._zone_of.values()))
        }

    def first_hops(self, notice: TrustNotice) -> Hops:
        """Return the VMs that get a notice of this VM directly."""
        hops = self._in_own_zone(notice)
        for zone, vms in self._vms_of.items():
            if zone != self._own.zone:
                first = rank(notice.server, vms)[0]
                hops += ((first, replace(notice, forward=len(vms) > 1)),)
        return hops

    def on_received(self, notice: TrustNotice) -> Hops:
        """Return the VMs that get a notice that this VM received."""
        return self._in_own_zone(notice) if notice.forward else ()

    def on_failed(self, vm: VmId, notice: TrustNotice) -> Hops:
        """Return the VMs that get a notice that did not reach ``vm``."""
        zone = self._zone_of.get(vm)
        if not notice.forward or zone is None:
            return ()
        direct = replace(notice, forward=False)
        return tuple((other, direct) for other in self._vms_of[zone] if other != vm)

    def _in_own_zone(self, notice: TrustNotice) -> Hops:
        direct = replace(notice, forward=False)
        return tuple((vm, direct) for vm in self._vms_of.get(self._own.zone, ()))
