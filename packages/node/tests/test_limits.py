import pytest
from wagtailpaddle_config import ClientAccount
from wagtailpaddle_core import AccountId, VmId
from wagtailpaddle_node.recent_limits import RecentLimits
from wagtailpaddle_quota import Granted, HandOverShare, Limit, ShareId, ShareRateLimiter

KIOSK = AccountId("kiosk")


def account(rate=4.0, burst=40.0):
    return ClientAccount(id=KIOSK, rate=rate, burst=burst)


@pytest.fixture
def limits():
    """Limits of a process that received its first accounts at time 50."""
    known = RecentLimits(window_s=3.0)
    known.record_changes(50.0, 0, {}, {KIOSK: account()}, None)
    return known


def test_initial_limits_count_as_changed_when_first_received(limits):
    assert limits.get(account()) == Limit(4.0, 40.0, 50.0)
    limits.record_changes(60.0, 1, {}, {KIOSK: account()}, None)
    assert limits.get(account()) == Limit(4.0, 40.0, 50.0)


def test_changed_limit_is_unsettled_and_then_settled(limits):
    changed = account(burst=80.0)
    assert limits.record_changes(60.0, 1, {KIOSK: account()}, {KIOSK: changed}, {KIOSK})
    assert limits.get(changed) == Limit(4.0, 80.0, 60.0, (40.0,))
    limits.settle(61.0, lambda offset: True)
    limits.settle(64.5, lambda offset: True)
    assert limits.get(changed) == Limit(4.0, 80.0, 64.5)


def test_starting_vm_grants_no_burst_that_may_be_spent(limits):
    limiter = ShareRateLimiter(
        VmId("b"),
        limits=lambda name: limits.get(account()),
        n_groups=1,
        n_shares=1,
    )
    message = HandOverShare(ShareId(0, 0), VmId("b"), 3, 1, 1000.0, ())
    assert limiter.on_message(51.0, VmId("a"), message).taken
    limiter.on_confirmed(51.0, 51.0, 0)
    decisions = [limiter.acquire(51.0, KIOSK, 51.0) for _ in range(40)]
    assert sum(isinstance(item, Granted) for item in decisions) == 4
