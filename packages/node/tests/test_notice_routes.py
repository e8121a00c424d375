"""Notices about servers cross each zone boundary once.

Every failure of a server is told to all active VMs, so on a fleet of many zones
these notices were most of the calls between zones.
"""

from collections import Counter

import pytest
from wagtailpaddle_node.notice_routes import NoticeRoutes
from wagtailpaddle_replica import Member
from wagtailpaddle_routing import TrustNotice

ZONES = ("a", "b", "c", "d")
NOTICE = TrustNotice("booking", "s1", failed=True)


def member(zone, index):
    name = f"{zone}{index}"
    return Member(name, zone, f"{name}:80", f"{name}:81")


@pytest.fixture
def members():
    return [member(zone, index) for zone in ZONES for index in range(3)]


@pytest.fixture
def routes(members):
    """Return the routes of each active VM."""
    found = {item.id: NoticeRoutes(item) for item in members}
    for each in found.values():
        each.set_active(members)
    return found


def spread(routes, sender, *, lost=()):
    """Send a notice; return how often each VM got it, and the calls between zones."""
    n_received = Counter()
    n_between_zones = 0
    calls = [(sender, *hop) for hop in routes[sender].first_hops(NOTICE)]
    while calls:
        caller, vm, notice = calls.pop()
        n_between_zones += caller[0] != vm[0]
        if vm in lost:
            hops = routes[caller].on_failed(vm, notice)
            calls += [(caller, *hop) for hop in hops]
            continue
        n_received[vm] += 1
        calls += [(vm, *hop) for hop in routes[vm].on_received(notice)]
    return n_received, n_between_zones


@pytest.mark.parametrize("sender", ["a0", "b2", "d1"])
def test_every_active_vm_gets_a_notice_once(routes, sender):
    n_received, _ = spread(routes, sender)
    assert n_received == Counter(set(routes) - {sender})


def test_notice_crosses_each_zone_boundary_once(routes):
    _, n_between_zones = spread(routes, "a0")
    assert n_between_zones == len(ZONES) - 1


def test_vm_that_was_to_forward_and_is_gone_keeps_no_notice_from_its_zone(routes):
    first_hops = routes["a0"].first_hops(NOTICE)
    lost = {vm for vm, _ in first_hops if vm[0] != "a"}
    n_received, _ = spread(routes, "a0", lost=lost)
    assert n_received == Counter(set(routes) - lost - {"a0"})


def test_forwarded_notice_is_not_forwarded_again(routes):
    assert routes["b0"].on_received(NOTICE) == ()
