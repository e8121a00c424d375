"""Classifies not-fresh refusals as justified or wrongful."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from enum import Enum

from wagtailpaddle_standins.fakes.fabric import Fabric
from wagtailpaddle_standins.soak.host import Host
from wagtailpaddle_standins.soak.platform import Platform

CHECK_INTERVAL_S = 0.25
GRACE_S = 6.0
"""The time a VM has to become fresh once it is able to, including a start."""


class Cause(Enum):
    """Why a VM refused as not fresh."""

    DUE = "due"
    NO_SHARE = "no share reached"
    WRONGFUL = "wrongful"


class FreshAudit:
    """Tracks from outside which VMs are able to be fresh.

    A VM is able to if it ran and reached the log, or the holders of a majority
    of the seats, in both directions. A not-fresh refusal is wrongful once the
    VM has been able to for longer than ``GRACE_S``.
    """

    def __init__(self, fabric: Fabric, platform: Platform, hosts: Mapping[str, Host]):
        self.causes: Counter[Cause] = Counter()
        self.wrongful: list[str] = []
        self._fabric = fabric
        self._platform = platform
        self._hosts = hosts
        self._able_since: dict[str, float] = {}
        self._check()

    def on_refusal(self, host: Host) -> None:
        """Record that a VM refused a request as not fresh."""
        now = self._fabric.now
        local = self._fabric.clock(host.process)
        since = self._able_since.get(host.process.name, now)
        is_fresh = host.node.is_fresh(local)
        cause = Cause.DUE
        if is_fresh and host.node.control.quota.may_spend(local):
            cause = Cause.NO_SHARE
        elif now - since > GRACE_S:
            cause = Cause.WRONGFUL
            what = "shares" if is_fresh else "seats"
            self.wrongful.append(f"{host.process.name} not fresh by {what} {now:.2f}")
        self.causes[cause] += 1

    def _check(self) -> None:
        now = self._fabric.now
        able = {}
        for host in self._hosts.values():
            if self._is_running(host) and self._can_be_fresh(host):
                name = host.process.name
                able[name] = self._able_since.get(name, now)
        self._able_since = able
        self._fabric.at(now + CHECK_INTERVAL_S, self._check)

    def _is_running(self, host: Host) -> bool:
        return host.process.alive and host.process.paused_until <= self._fabric.now

    def _can_be_fresh(self, host: Host) -> bool:
        membership = host.node.control.membership
        if membership.incarnations.is_self_gone:
            return False
        place = host.process.place
        if self._platform.is_up and (place, "log") not in self._fabric.cuts:
            return True
        held = {
            seat
            for other in self._hosts.values()
            if other is host or self._is_reachable(place, other)
            for seat in other.node.control.membership.held_seats
        }
        return all(
            _is_majority(seats, held) for seats in membership.roster.majorities()
        )

    def _is_reachable(self, place: str, other: Host) -> bool:
        there = other.process.place
        cuts = {(place, there), (there, place)}
        return self._is_running(other) and not cuts & self._fabric.cuts


def _is_majority(seats: Collection[str], held: Collection[str]) -> bool:
    return 2 * sum(seat in held for seat in seats) > len(seats)
