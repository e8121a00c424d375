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

from wagtailpaddle_standins.measure.faults import (
    Attempt,
    AttemptContext,
    Fault,
    healthy,
)

N_VMS = 36
ZONES = (ZoneId("a"), ZoneId("b"), ZoneId("c"))
TICK_S = 0.05
PEER_DELAY_S = 0.0015
BASELINE_AT_S = -120.0
IDEMPOTENT_SHARE = 0.7
MAX_ATTEMPTS = 3
ACCOUNT_SHARES = (0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02)
"""Share of the requests that each client account sends."""

ACCOUNTS = tuple(range(len(ACCOUNT_SHARES)))
EXCLUDED_STATES = (ServerState.EJECTED, ServerState.AVOIDED)


class SimulatedPool:
    """One service: its servers, its request rate and the injected faults."""

    __slots__ = (
        "affected_vms",
        "faults",
        "n_failed_attempts",
        "n_failed_requests",
        "n_lost_by",
        "n_refused",
        "n_requests",
        "n_sent_by",
        "n_servers",
        "n_verifications",
        "rate",
        "service",
        "stopped",
    )

    def __init__(self, service: ServiceId, n_servers: int, rate: float) -> None:
        self.service = service
        self.n_servers = n_servers
        self.rate = rate
        self.faults: dict[ServerId, tuple[float, Fault]] = {}
        self.affected_vms: frozenset[VmId] = frozenset()
        self.stopped: bool = False
        self.n_requests: int = 0
        self.n_failed_attempts: int = 0
        self.n_failed_requests: int = 0
        self.n_refused: int = 0
        self.n_verifications: int = 0
        self.n_sent_by: Counter[int] = Counter()
        self.n_lost_by: Counter[int] = Counter()

    @property
    def servers(self) -> tuple[ServerId, ...]:
        """The ids of the configured servers."""
        return tuple(
            ServerId(f"{self.service}/{index}") for index in range(self.n_servers)
        )

    def make_pool(self, floor: float, sensitivity: float) -> Pool:
        """Return the pool as the outlier detector takes it."""
        servers = tuple(
            PoolServer(server, ZONES[index % len(ZONES)])
            for index, server in enumerate(self.servers)
        )
        return Pool(self.service, servers, floor, sensitivity)


@dataclass(frozen=True, slots=True)
class _Request:
    pool: SimulatedPool
    vm: VmId
    idempotent: bool
    account: int
    tried: frozenset[ServerId] = frozenset()


class SimulatedFleet:
    """VMs with separate evidence that serve requests and exchange health digests.

    Requests arrive at random times at random VMs; a VM picks a server at random
    by the weights of its own detector. Queues, networks and processes are not
    modelled, except for fixed delays.
    """

    def __init__(self, *, policy: str, seed: int, n_vms: int = N_VMS) -> None:
        self.random = Random(seed)
        self.vms = [VmId(f"vm-{index:02d}") for index in range(n_vms)]
        self.detectors = {
            vm: OutlierDetector(
                vm, zone=ZONES[index % len(ZONES)], policy=policy, seed=seed + index
            )
            for index, vm in enumerate(self.vms)
        }
        self.now = 0.0
        self.pools: dict[ServiceId, SimulatedPool] = {}
        self.n_digests = 0
        self.n_lines = 0
        self._server_health: dict[tuple[VmId, ServiceId], tuple[ServerHealth, ...]] = {}
        self._monitors: Mapping[ServiceId, tuple[VmId, ...]] = {}
        self._in_flight: dict[tuple[VmId, ServerId], int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        for index, vm in enumerate(self.vms):
            self._schedule(TICK_S * index / n_vms, self._ticker(vm))

    def add(
        self, pool: SimulatedPool, *, floor: float = 0.5, sensitivity: float = 0.5
    ) -> None:
        """Configure a pool on every VM and start its requests."""
        self.pools[pool.service] = pool
        self.configure(pool, floor=floor, sensitivity=sensitivity)
        self._monitors = {
            service: select_monitors(service, self.vms) for service in self.pools
        }
        self._schedule(self.now, lambda: self._arrive(pool))

    def warm_up(self, pool: SimulatedPool, n_each: int = 2) -> None:
        """Give every VM ``n_each`` old responses per server as its latency baseline.

        They are older than the evidence windows, and their digests are not sent.
        """
        for vm, detector in self.detectors.items():
            for server in pool.servers * n_each:
                latency_s = healthy(AttemptContext(0.0, vm, self.random)).latency_s
                observation = Observation(
                    pool.service, server, Verdict.SUCCESS, latency_s
                )
                detector.observe(BASELINE_AT_S, observation)
            detector.digests(BASELINE_AT_S)

    def configure(
        self, pool: SimulatedPool, *, floor: float, sensitivity: float
    ) -> None:
        """Set the pool's current servers on every VM."""
        for vm, detector in self.detectors.items():
            detector.set_pool(self.now, pool.make_pool(floor, sensitivity))
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
            for item in self._server_health[vm, service]
            if item.id == server
        ]

    def excluded_share(self, service: ServiceId, server: ServerId) -> float:
        """Return the share of VMs that send a server no requests."""
        states = self.states(service, server)
        return sum(state in EXCLUDED_STATES for state in states) / len(states)

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (when, self._n_events, action))

    def _ticker(self, vm: VmId) -> Callable[[], None]:
        def tick() -> None:
            detector = self.detectors[vm]
            for service in detector.tick(self.now):
                self._refresh(vm, service)
            self._send(vm)
            self._schedule(self.now + TICK_S, tick)

        return tick

    def _send(self, vm: VmId) -> None:
        for digest in self.detectors[vm].digests(self.now):
            for peer in digest.to or self._monitors[digest.service]:
                if peer != vm:
                    self._deliver(peer, digest)

    def _deliver(self, peer: VmId, digest: HealthDigest) -> None:
        self.n_digests += 1
        self.n_lines += len(digest.servers) + len(digest.opinions)

        def arrive() -> None:
            for service in self.detectors[peer].merge(self.now, digest):
                self._refresh(peer, service)

        self._schedule(self.now + PEER_DELAY_S, arrive)

    def _refresh(self, vm: VmId, service: ServiceId) -> None:
        health = self.detectors[vm].server_health(self.now, service)
        self._server_health[vm, service] = health

    def _arrive(self, pool: SimulatedPool) -> None:
        if pool.stopped:
            return
        pool.n_requests += 1
        vm = self.random.choice(self.vms)
        idempotent = self.random.random() < IDEMPOTENT_SHARE
        account = self.random.choices(ACCOUNTS, ACCOUNT_SHARES)[0]
        pool.n_sent_by[account] += 1
        self._dispatch(_Request(pool, vm, idempotent, account))
        self._schedule(
            self.now + self.random.expovariate(pool.rate), self._arrival(pool)
        )

    def _arrival(self, pool: SimulatedPool) -> Callable[[], None]:
        return lambda: self._arrive(pool)

    def _dispatch(self, req: _Request) -> None:
        pool = req.pool
        server = self._choose(req)
        if server is None:
            self._fail(req)
            pool.n_refused += not req.tried
            return
        age_s, fault = self._fault(pool, req.vm, server)
        attempt = fault(AttemptContext(age_s, req.vm, self.random))
        key = (req.vm, server)
        self._in_flight[key] = self._in_flight.get(key, 0) + 1
        limit_s = self.detectors[req.vm].overdue_after(self.now, pool.service)
        overdue = attempt.latency_s > limit_s
        if overdue:
            overdue_attempt = Attempt(Verdict.OVERDUE, limit_s)
            self._schedule(
                self.now + limit_s, lambda: self._observe(req, server, overdue_attempt)
            )
        self._schedule(
            self.now + attempt.latency_s,
            lambda: self._finish(req, server, attempt, overdue),
        )

    def _choose(self, req: _Request) -> ServerId | None:
        eligible = [
            item
            for item in self._server_health[req.vm, req.pool.service]
            if item.weight > 0
            and item.id not in req.tried
            and (req.idempotent or not item.idempotent_only)
        ]
        if not eligible:
            return None
        if req.idempotent and not req.tried:
            for item in eligible:
                if item.verify and not self._in_flight.get((req.vm, item.id)):
                    req.pool.n_verifications += 1
                    return item.id
        weights = [item.weight for item in eligible]
        return self.random.choices(eligible, weights)[0].id

    def _fault(
        self, pool: SimulatedPool, vm: VmId, server: ServerId
    ) -> tuple[float, Fault]:
        since, fault = pool.faults.get(server, (0.0, healthy))
        if pool.affected_vms and vm not in pool.affected_vms:
            fault = healthy
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
            self._fail(req)

    def _fail(self, req: _Request) -> None:
        req.pool.n_failed_requests += 1
        req.pool.n_lost_by[req.account] += 1

    def _observe(
        self, req: _Request, server: ServerId, attempt: Attempt, overdue: bool = False
    ) -> None:
        service = req.pool.service
        observation = Observation(
            service, server, attempt.verdict, attempt.latency_s, overdue
        )
        if self.detectors[req.vm].observe(self.now, observation):
            self._refresh(req.vm, service)
            self._send(req.vm)
