import pytest
from wagtailpaddle_core import AccountId, VmId
from wagtailpaddle_quota import (
    AppendRecord,
    Limit,
    QuotaKeeper,
)

ACCOUNT = AccountId("kiosk")


@pytest.fixture
def limits():
    return {ACCOUNT: Limit(rate=10.0, burst=10.0)}


@pytest.fixture
def make_keeper(limits):
    """Build a keeper that holds all shares, ready and full, at time 100."""

    def make(vm="a", *, ready=True, vms=("a",), n_shares=1):
        keeper = QuotaKeeper(VmId(vm), limits=limits.get, n_groups=1, n_shares=n_shares)
        keeper.on_roster(0.0, vms, ())
        if ready:
            for action in keeper.tick(0.0):
                if isinstance(action, AppendRecord):
                    keeper.on_record(0.0, keeper.next_offset, action.record)
            keeper.on_settled(0.0, 0.0, keeper.next_offset)
            keeper.confirmed(100.0, 100.0, keeper.next_offset)
        return keeper

    return make
