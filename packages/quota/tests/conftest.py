import pytest
from wagtailpaddle_core import AccountId, VmId
from wagtailpaddle_quota import (
    AppendRecord,
    Limit,
    ShareRateLimiter,
)

ACCOUNT = AccountId("kiosk")


@pytest.fixture
def limits():
    return {ACCOUNT: Limit(rate=10.0, burst=10.0)}


@pytest.fixture
def make_limiter(limits):
    """Return a factory of limiters that hold all shares, ready and full at time 100."""

    def make(vm="a", *, ready=True, vms=("a",), n_shares=1):
        limiter = ShareRateLimiter(
            VmId(vm), limits=limits.get, n_groups=1, n_shares=n_shares
        )
        limiter.on_roster(0.0, vms, ())
        if ready:
            for action in limiter.tick(0.0):
                if isinstance(action, AppendRecord):
                    limiter.on_record(0.0, limiter.next_offset, action.record)
            limiter.on_settled(0.0, 0.0, limiter.next_offset)
            limiter.on_confirmed(100.0, 100.0, limiter.next_offset)
        return limiter

    return make
