"""Rates whose buckets one VM keeps for the whole fleet.

The pattern: callers of one account reach many VMs, each of which sees a little
of its rate. No VM may refuse what the whole fleet has room for, and all
together may not admit more than rate and burst.
"""

from random import Random

import pytest
from wagtailpaddle_quota import Granted, Limit, Refused, StockedRates, WaitUntil
from wagtailpaddle_quota.pool import START_TOKENS
from wagtailpaddle_quota.stock import AVOID_S, LOCAL_PARTS
from wagtailpaddle_quota.window import WindowBucket

LIMIT = Limit(rate=10.0, burst=20.0)
VMS = tuple(f"vm{n}" for n in range(7))
KEEPER = VMS[0]


class Fleet:
    """VMs that ask the keeper at once; ``cut`` ones reach nobody."""

    def __init__(self, limit=LIMIT):
        self.limit = limit
        self.cut = set()
        self.n_granted = 0
        self.rates = {vm: StockedRates(vm, lambda account: self.limit) for vm in VMS}
        for rates in self.rates.values():
            rates.set_keepers(0.0, VMS[:2])

    def carry(self, now, vm, asks):
        for ask in asks:
            if {vm, ask.vm} & self.cut:
                self.rates[vm].on_failed(now, ask.vm, ask.body)
                continue
            reply = self.rates[ask.vm].on_message(now, ask.body)
            self.rates[vm].on_reply(now, ask.vm, ask.body, reply)

    def request(self, now, vm):
        """Return whether a request at ``vm`` is admitted, waiting if it is to."""
        deadline = now + 0.4
        while True:
            decision = self.rates[vm].take(now, "kiosk", deadline)
            if not isinstance(decision, WaitUntil):
                break
            self.carry(now, vm, self.rates[vm].fetch(now, "kiosk"))
            now += 0.002
        admitted = isinstance(decision, Granted)
        self.n_granted += admitted
        return admitted

    def tick(self, now):
        for vm, rates in self.rates.items():
            self.carry(now, vm, rates.tick(now))

    def run(self, begin, until, per_s, *, seed=1, vms=VMS):
        """Send requests at random VMs; return how many were sent."""
        random, choices = Random(seed), Random(seed)
        now, n_sent, ticked = begin, 0, begin
        while now < until:
            now += random.expovariate(per_s)
            if now - ticked > 0.1:
                ticked = now
                self.tick(now)
            self.request(now, choices.choice(vms))
            n_sent += 1
        return n_sent


@pytest.fixture
def fleet():
    return Fleet()


@pytest.mark.parametrize("seed", range(5))
def test_account_within_its_rate_is_refused_nowhere(fleet, seed):
    n_sent = fleet.run(10.0, 40.0, per_s=LIMIT.rate * 0.6, seed=seed)
    assert fleet.n_granted == n_sent


@pytest.mark.parametrize("seed", range(5))
def test_hot_account_gets_rate_and_burst_over_all_vms_and_no_more(fleet, seed):
    fleet.run(10.0, 30.0, per_s=LIMIT.rate * 7, seed=seed)
    allowed = LIMIT.burst + LIMIT.rate * 20.0
    assert fleet.n_granted <= allowed + 1
    assert fleet.n_granted >= 0.95 * allowed


def test_refusal_of_a_hot_account_comes_at_once(fleet):
    fleet.run(10.0, 20.0, per_s=LIMIT.rate * 7)
    vm = VMS[3]
    while fleet.request(20.0, vm):
        pass
    # One question to the keeper, and the answer stands until its next token.
    decision = fleet.rates[vm].take(20.001, "kiosk", 21.0)
    assert isinstance(decision, Refused)
    assert 0.0 < decision.retry_after_s <= 1.0


def test_new_keeper_starts_with_little_because_the_former_may_have_given_all():
    fleet = Fleet(Limit(rate=0.001, burst=100.0))
    n_granted = 0
    while fleet.request(0.0, VMS[3]):
        n_granted += 1
    assert n_granted <= START_TOKENS


def test_second_keeper_is_asked_while_the_first_is_away(fleet):
    fleet.cut = {KEEPER}
    n_sent = fleet.run(10.0, 10.0 + AVOID_S, per_s=LIMIT.rate * 0.3)
    assert fleet.n_granted >= n_sent - 1


def test_vm_that_reaches_no_keeper_admits_its_part(fleet):
    vm = VMS[3]
    fleet.cut = {vm}
    granted = sum(fleet.request(10.0 + n * 0.01, vm) for n in range(1000))
    part = LIMIT.rate / LOCAL_PARTS
    assert part * 10.0 - 2 <= granted <= part * 10.0 + START_TOKENS + 2


def test_lowered_limit_counts_at_once(fleet):
    fleet.run(10.0, 20.0, per_s=LIMIT.rate * 0.6)
    fleet.limit = Limit(rate=1.0, burst=2.0)
    before = fleet.n_granted
    fleet.run(20.0, 30.0, per_s=6.0)
    # Tokens that lie at the VMs are spent first.
    assert fleet.n_granted - before <= 2.0 + 10.0 + 3 * len(VMS)


def test_account_without_a_limit_is_not_counted(fleet):
    fleet.limit = None
    assert fleet.request(0.0, VMS[3])


@pytest.mark.parametrize("seed", range(4))
def test_window_allows_rate_and_burst_in_every_window_and_no_more(seed):
    random = Random(seed)
    bucket = WindowBucket(
        rate=4.0, burst=10.0, tokens=START_TOKENS, now=0.0, window_s=5.0
    )
    taken, now = [], 0.0
    while now < 40.0:
        now += random.expovariate(30.0)
        if bucket.take(now):
            taken.append(now)
    for begin in taken:
        in_window = sum(begin <= at < begin + 5.0 for at in taken)
        assert in_window <= 4.0 * 5.0 + 10.0
    # A window's steps count until they are over, one more step in 50.
    assert len(taken) >= 0.95 * (4.0 + 10.0 / 5.0) * 40.0 - 30.0


def test_window_says_when_there_is_room_again():
    bucket = WindowBucket(rate=2.0, burst=0.0, tokens=10.0, now=0.0, window_s=5.0)
    assert bucket.take(1.0, 10.0)
    wait_s = bucket.wait(2.0)
    assert 4.0 <= wait_s <= 4.2
    assert not bucket.take(2.0 + wait_s - 0.11)
    assert bucket.take(2.0 + wait_s)


def test_window_takes_back_what_was_not_used():
    bucket = WindowBucket(rate=2.0, burst=0.0, tokens=10.0, now=0.0, window_s=5.0)
    bucket.take(0.0, 10.0)
    bucket.give(0.5, 4.0)
    assert bucket.tokens(0.5) == 4.0


def in_windows(per_s, seed, vms):
    """Return how many requests a fleet that counts by windows admits at ``vms``."""
    fleet = Fleet()
    fleet.rates = {
        vm: StockedRates(vm, lambda account: LIMIT, bucket="window") for vm in VMS
    }
    for rates in fleet.rates.values():
        rates.set_keepers(0.0, VMS[:2])
    fleet.run(10.0, 40.0, per_s=per_s, seed=seed, vms=vms)
    return fleet.n_granted


@pytest.mark.parametrize("seed", range(3))
def test_account_spread_over_the_fleet_gets_what_it_would_get_at_one_vm(seed):
    at_one = in_windows(LIMIT.rate * 1.2, seed, (KEEPER,))
    spread = in_windows(LIMIT.rate * 1.2, seed, VMS)
    # A token or two may lie at each VM at the end.
    assert spread >= at_one - 2 * len(VMS)
