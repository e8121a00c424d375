"""Simulated VMs with outlier detectors and pools of faulty servers."""

import heapq
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId
from wagtailpaddle_health import (
    HealthDigest,
    Observation,
    OutlierDetector,
    Pool,
    PoolServer,
    ServerHealth,
    ServerState,
    Verdict,
    select_monitors,
)

from wagtailpaddle_standins.measure.faults import Attempt, Fault, Moment, usual

N_VMS = 36
ZONES = (ZoneId("a"), ZoneId("b"), ZoneId("c"))
TICK_S = 0.05
PEER_DELAY_S = 0.0015
WARM_AT = -120.0
IDEMPOTENT_SHARE = 0.7
MAX_ATTEMPTS = 3
ACCOUNT_SHARES = (0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02)
"""Share of the requests that each client account sends."""

ACCOUNTS = tuple(range(len(ACCOUNT_SHARES)))
OUT = (ServerState.EJECTED, ServerState.AVOIDED)


class FakePool:
    """One service: its servers, its request rate and the injected faults."""

    __slots__ = (
        "cut_vms",
        "faults",
        "n_failed_attempts",
        "n_failed_requests",
        "n_lost_by",
        "n_refused",
        "n_requests",
        "n_sent_by",
        "n_servers",
        "n_tests",
        "rate",
        "service",
        "stopped",
    )

    def __init__(self, service: ServiceId, n_servers: int, rate: float) -> None:
        self.service = service
        self.n_servers = n_servers
        self.rate = rate
        self.faults: dict[ServerId, tuple[float, Fault]] = {}
        self.cut_vms: frozenset[VmId] = frozenset()
        self.stopped: bool = False
        self.n_requests: int = 0
        self.n_failed_attempts: int = 0
        self.n_failed_requests: int = 0
        self.n_refused: int = 0
        self.n_tests: int = 0
        self.n_sent_by: Counter[int] = Counter()
        self.n_lost_by: Counter[int] = Counter()

    @property
    def servers(self) -> tuple[ServerId, ...]:
        """The ids of the configured servers."""
        return tuple(
            ServerId(f"{self.service}/{index}") for index in range(self.n_servers)
        )

    def configured(self, floor: float, sensitivity: float) -> Pool:
        """Return the pool as the outlier detector takes it."""
        servers = tuple(
            PoolServer(server, ZONES[index % len(ZONES)])
            for index, server in enumerate(self.servers)
        )
        return Pool(self.service, servers, floor, sensitivity)


@dataclass(frozen=True, slots=True)
class _Request:
    pool: FakePool
    vm: VmId
    idempotent: bool
    account: int
    tried: frozenset[ServerId] = frozenset()


class FakeFleet:
    """VMs with separate evidence that serve requests and exchange health digests.

    Requests arrive at random times at random VMs; a VM picks a server at random
    by the weights of its own detector. Queues, networks and processes are not
    modelled, except for fixed delays.
    """

    def __init__(self, *, policy: str, seed: int, n_vms: int = N_VMS) -> None:
        self.random = Random(seed)
        self.vms = [VmId(f"vm-{index:02d}") for index in range(n_vms)]
        self.books = {
            vm: OutlierDetector(
                vm, zone=ZONES[index % len(ZONES)], policy=policy, seed=seed + index
            )
            for index, vm in enumerate(self.vms)
        }
        self.now = 0.0
        self.pools: dict[ServiceId, FakePool] = {}
        self.n_digests = 0
        self.n_lines = 0
        self._standing: dict[tuple[VmId, ServiceId], tuple[ServerHealth, ...]] = {}
        self._watchers: Mapping[ServiceId, tuple[VmId, ...]] = {}
        self._in_flight: dict[tuple[VmId, ServerId], int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        for index, vm in enumerate(self.vms):
            self._at(TICK_S * index / n_vms, self._ticker(vm))

    def add(
        self, pool: FakePool, *, floor: float = 0.5, sensitivity: float = 0.5
    ) -> None:
        """Configure a pool on every VM and start its requests."""
        self.pools[pool.service] = pool
        self.configure(pool, floor=floor, sensitivity=sensitivity)
        self._watchers = {
            service: select_monitors(service, self.vms) for service in self.pools
        }
        self._at(self.now, lambda: self._arrive(pool))

    def warm(self, pool: FakePool, n_each: int = 2) -> None:
        """Give every VM ``n_each`` old responses per server as its latency baseline.

        They are older than the evidence windows, and their digests are not sent.
        """
        for vm, book in self.books.items():
            for server in pool.servers * n_each:
                latency_s = usual(Moment(0.0, vm, self.random)).latency_s
                seen = Observation(pool.service, server, Verdict.SUCCESS, latency_s)
                book.observe(WARM_AT, seen)
            book.digests(WARM_AT)

    def configure(self, pool: FakePool, *, floor: float, sensitivity: float) -> None:
        """Set the pool's current servers on every VM."""
        for vm, book in self.books.items():
            book.set_pool(self.now, pool.configured(floor, sensitivity))
            self._refresh(vm, pool.service)

    def run_until(self, end: float) -> None:
        """Run the events up to the time ``end``."""
        events = self._events
        while events and events[0][0] <= end:
            self.now, _, action = heapq.heappop(events)
            action()
        self.now = end

    def states(self, service: ServiceId, server: ServerId) -> list[ServerState]:
        """Return the state of a server on each VM."""
        return [
            item.state
            for vm in self.vms
            for item in self._standing[vm, service]
            if item.id == server
        ]

    def share_out(self, service: ServiceId, server: ServerId) -> float:
        """Return the share of VMs that send a server no requests."""
        states = self.states(service, server)
        return sum(state in OUT for state in states) / len(states)

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (when, self._n_events, action))

    def _ticker(self, vm: VmId) -> Callable[[], None]:
        def tick() -> None:
            book = self.books[vm]
            for service in book.tick(self.now):
                self._refresh(vm, service)
            self._send(vm)
            self._at(self.now + TICK_S, tick)

        return tick

    def _send(self, vm: VmId) -> None:
        for digest in self.books[vm].digests(self.now):
            for peer in digest.to or self._watchers[digest.service]:
                if peer != vm:
                    self._deliver(peer, digest)

    def _deliver(self, peer: VmId, digest: HealthDigest) -> None:
        self.n_digests += 1
        self.n_lines += len(digest.servers) + len(digest.opinions)

        def arrive() -> None:
            for service in self.books[peer].merge(self.now, digest):
                self._refresh(peer, service)

        self._at(self.now + PEER_DELAY_S, arrive)

    def _refresh(self, vm: VmId, service: ServiceId) -> None:
        standing = self.books[vm].server_health(self.now, service)
        self._standing[vm, service] = standing

    def _arrive(self, pool: FakePool) -> None:
        if pool.stopped:
            return
        pool.n_requests += 1
        vm = self.random.choice(self.vms)
        idempotent = self.random.random() < IDEMPOTENT_SHARE
        account = self.random.choices(ACCOUNTS, ACCOUNT_SHARES)[0]
        pool.n_sent_by[account] += 1
        self._dispatch(_Request(pool, vm, idempotent, account))
        self._at(self.now + self.random.expovariate(pool.rate), self._arrival(pool))

    def _arrival(self, pool: FakePool) -> Callable[[], None]:
        return lambda: self._arrive(pool)

    def _dispatch(self, req: _Request) -> None:
        pool = req.pool
        server = self._choose(req)
        if server is None:
            self._lose(req)
            pool.n_refused += not req.tried
            return
        age_s, fault = self._fault(pool, req.vm, server)
        attempt = fault(Moment(age_s, req.vm, self.random))
        key = (req.vm, server)
        self._in_flight[key] = self._in_flight.get(key, 0) + 1
        limit_s = self.books[req.vm].overdue_after(self.now, pool.service)
        overdue = attempt.latency_s > limit_s
        if overdue:
            late = Attempt(Verdict.OVERDUE, limit_s)
            self._at(self.now + limit_s, lambda: self._observe(req, server, late))
        self._at(
            self.now + attempt.latency_s,
            lambda: self._finish(req, server, attempt, overdue),
        )

    def _choose(self, req: _Request) -> ServerId | None:
        usable = [
            item
            for item in self._standing[req.vm, req.pool.service]
            if item.weight > 0
            and item.id not in req.tried
            and (req.idempotent or not item.idempotent_only)
        ]
        if not usable:
            return None
        if req.idempotent and not req.tried:
            for item in usable:
                if item.verify and not self._in_flight.get((req.vm, item.id)):
                    req.pool.n_tests += 1
                    return item.id
        weights = [item.weight for item in usable]
        return self.random.choices(usable, weights)[0].id

    def _fault(self, pool: FakePool, vm: VmId, server: ServerId) -> tuple[float, Fault]:
        since, fault = pool.faults.get(server, (0.0, usual))
        if pool.cut_vms and vm not in pool.cut_vms:
            fault = usual
        return self.now - since, fault

    def _finish(
        self, req: _Request, server: ServerId, attempt: Attempt, overdue: bool
    ) -> None:
        self._in_flight[req.vm, server] -= 1
        self._observe(req, server, attempt, overdue)
        if attempt.verdict is Verdict.SUCCESS:
            return
        pool, tried = req.pool, req.tried | {server}
        pool.n_failed_attempts += 1
        may_repeat = req.idempotent or attempt.verdict is Verdict.UNREACHABLE
        if may_repeat and len(tried) < MAX_ATTEMPTS and not pool.stopped:
            self._dispatch(replace(req, tried=tried))
        else:
            self._lose(req)

    def _lose(self, req: _Request) -> None:
        req.pool.n_failed_requests += 1
        req.pool.n_lost_by[req.account] += 1

    def _observe(
        self, req: _Request, server: ServerId, attempt: Attempt, overdue: bool = False
    ) -> None:
        service = req.pool.service
        seen = Observation(service, server, attempt.verdict, attempt.latency_s, overdue)
        if self.books[req.vm].observe(self.now, seen):
            self._refresh(req.vm, service)
            self._send(req.vm)
