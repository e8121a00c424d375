"""Fleet-wide rate limiters: shares, and baselines to compare them with."""

from collections.abc import Callable
from typing import Protocol

from wagtailpaddle_core import AccountId, Registry, rank
from wagtailpaddle_quota import TokenBucket

from wagtailpaddle_standins.fakes.audit import RateAudit
from wagtailpaddle_standins.fakes.fabric import Fabric, Process
from wagtailpaddle_standins.fakes.quota_fleet import QuotaFleet, Tally

LEASE_S = 5.0
RESTART_S = 5.0
AUDIT_OVERLAP_S = 1.2

Limits = dict[AccountId, tuple[float, float]]


class Limiter(Protocol):
    """A fleet that enforces the rates of client accounts."""

    fabric: Fabric
    places: list[str]
    tallies: dict[AccountId, Tally]
    audits: dict[AccountId, RateAudit]

    def request(self, place: str, account: AccountId, max_wait_s: float = 0.5) -> None:
        """Send one request of ``account`` to ``place``."""

    def pause(self, place: str, seconds: float) -> None:
        """Suspend a process for ``seconds``."""

    def crash(self, place: str) -> None:
        """Kill a process without a graceful stop."""

    def start(self, place: str) -> object:
        """Start a process in place of one that crashed."""


LIMITERS: Registry[Callable[[int, Limits, int], Limiter]] = Registry("limiter")


@LIMITERS.register("shares")
def shares(seed: int, limits: Limits, n_vms: int) -> Limiter:
    """Create a fleet that uses shares and borrowing as the daemons do."""
    return QuotaFleet(
        seed, limits, n_vms=n_vms, n_groups=64, n_shares=4, always_poll=False
    )


class _Vm:
    __slots__ = ("buckets", "process")

    def __init__(self, process: Process) -> None:
        self.process = process
        self.buckets: dict[AccountId, TokenBucket] = {}


class _Baseline:
    """The common part of both baselines: places, buckets and tallies."""

    def __init__(self, seed: int, limits: Limits, n_vms: int):
        self.fabric = Fabric(seed)
        self.places = [f"p{number}" for number in range(n_vms)]
        self.limits = limits
        self.tallies = {account: Tally() for account in limits}
        self.audits = {
            account: RateAudit(account, rate, burst, AUDIT_OVERLAP_S)
            for account, (rate, burst) in limits.items()
        }
        self.vms: dict[str, _Vm] = {}
        for place in self.places:
            self.start(place)

    def start(self, place: str) -> object:
        """Start a process with full buckets."""
        self.vms[place] = _Vm(Process(place, place, 0.0))
        return self.vms[place]

    def crash(self, place: str) -> None:
        """Kill a process without a graceful stop."""
        self.vms[place].process.alive = False
        self.fabric.at(self.fabric.now + RESTART_S, lambda: None)

    def pause(self, place: str, seconds: float) -> None:
        """Suspend a process for ``seconds``."""
        self.vms[place].process.paused_until = self.fabric.now + seconds

    def _is_up(self, place: str) -> bool:
        process = self.vms[place].process
        return process.alive and self.fabric.now >= process.paused_until

    def _bucket(self, place: str, account: AccountId, fraction: float) -> TokenBucket:
        rate, burst = self.limits[account]
        buckets = self.vms[place].buckets
        if account not in buckets:
            burst = max(1.0, burst * fraction)
            buckets[account] = TokenBucket(
                rate=rate * fraction, burst=burst, tokens=burst, now=self.fabric.now
            )
        return buckets[account]

    def _admit(self, account: AccountId) -> None:
        self.audits[account].admit(self.fabric.now)
        self.tallies[account].n_granted += 1

    def _acquire(
        self, place: str, account: AccountId, fraction: float, deadline_at: float
    ) -> None:
        """Acquire a token of a local bucket, waiting until the deadline at most."""
        bucket = self._bucket(place, account, fraction)
        now = self.fabric.now
        if bucket.acquire(now):
            self._admit(account)
            return
        at = now + max(bucket.wait_s(now), 0.001)
        if at > deadline_at:
            self.tallies[account].n_refused += 1
            return
        process = self.vms[place].process
        self.fabric.on(
            process, at, lambda: self._acquire(place, account, fraction, deadline_at)
        )


@LIMITERS.register("static")
class StaticLimiter(_Baseline):
    """Gives each of n VMs a bucket of rate/n and burst/n."""

    def request(self, place: str, account: AccountId, max_wait_s: float = 0.5) -> None:
        """Send one request of ``account`` to ``place``."""
        if not self._is_up(place):
            return
        self.tallies[account].n_sent += 1
        deadline_at = self.fabric.now + max_wait_s
        self._acquire(place, account, 1.0 / len(self.places), deadline_at)


@LIMITERS.register("owner")
class OwnerLimiter(_Baseline):
    """Gives one VM a lease on each account's bucket, which expires by the clock."""

    def __init__(self, seed: int, limits: Limits, n_vms: int):
        super().__init__(seed, limits, n_vms)
        self._owners: dict[AccountId, str] = {}
        self._down_since: dict[str, float] = {}

    def request(self, place: str, account: AccountId, max_wait_s: float = 0.5) -> None:
        """Send one request of ``account`` to ``place``, which asks the owner."""
        if not self._is_up(place):
            return
        tally = self.tallies[account]
        tally.n_sent += 1
        owner = self._owner(account)
        deadline_at = self.fabric.now + max_wait_s

        def refused() -> None:
            tally.n_refused += 1

        if owner == place:
            self._acquire(owner, account, 1.0, deadline_at)
            return
        self.fabric.call(
            self.vms[place].process,
            self.vms[owner].process,
            lambda: self._acquire(owner, account, 1.0, deadline_at),
            lambda reply: None,
            refused,
        )

    def _owner(self, account: AccountId) -> str:
        """Return the owner; an expired lease passes to the next VM in rank order."""
        owner = self._owners.setdefault(account, rank(account, self.places)[0])
        if self._is_up(owner):
            self._down_since.pop(owner, None)
            return owner
        since = self._down_since.setdefault(owner, self.fabric.now)
        if self.fabric.now - since < LEASE_S:
            return owner
        up = [place for place in rank(account, self.places) if self._is_up(place)]
        self._owners[account] = up[0] if up else owner
        return self._owners[account]
