import pytest
from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId
from wagtailpaddle_health import (
    HealthDigest,
    Observation,
    OutlierDetector,
    Pool,
    PoolServer,
    ServerDigest,
    ServerState,
    Verdict,
)

SERVICE = ServiceId("booking")


def server_ids(n_servers):
    return [ServerId(f"s{index:02d}") for index in range(n_servers)]


def make_pool(n_servers=6, *, floor=0.5, sensitivity=0.5, leaving=(), draining=()):
    servers = tuple(
        PoolServer(server, ZoneId("a"), server in leaving, server in draining)
        for server in server_ids(n_servers)
    )
    return Pool(SERVICE, servers, floor, sensitivity)


class DetectorHarness:
    """An outlier detector with a test clock and shortcuts for its inputs."""

    def __init__(self, n_servers=6, *, policy="scan", vm="vm-0", **pool):
        self.now = 100.0
        self.detector = OutlierDetector(VmId(vm), policy=policy)
        self.set_pool(make_pool(n_servers, **pool))
        self._sequences = {}

    def set_pool(self, pool):
        self.pool = pool
        self.detector.set_pool(self.now, pool)

    def observe(self, server, verdict, n=1, *, latency_s=0.02, overdue=False):
        observation = Observation(SERVICE, server, verdict, latency_s, overdue)
        return [self.detector.observe(self.now, observation) for _ in range(n)][-1]

    def all_succeed(self, n=30, *, excluding=()):
        for server in self.pool.servers:
            if server.id not in excluding:
                self.observe(server.id, Verdict.SUCCESS, n)

    def fail(self, *servers, verdict=Verdict.FAILURE, n=5, latency_s=0.02):
        for _ in range(n):
            self.all_succeed(4, excluding=servers)
            for server in servers:
                if server not in self.excluded():
                    self.observe(server, verdict, latency_s=latency_s)

    def receive_evidence(self, vm, server, n_success, n_failure, **counts):
        entry = ServerDigest(server, n_success, n_failure, 0.02, **counts)
        return self.receive_digest(vm, (entry,))

    def receive_digest(self, vm, entries=(), opinions=()):
        self._sequences[vm] = self._sequences.get(vm, 0) + 1
        digest = HealthDigest(
            VmId(vm), SERVICE, tuple(entries), tuple(opinions), self._sequences[vm]
        )
        return self.detector.merge(self.now, digest)

    def advance(self, seconds, step=0.25):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            self.detector.tick(self.now)

    def health(self, server):
        health = self.detector.server_health(self.now, SERVICE)
        return next(item for item in health if item.id == server)

    def state(self, server):
        return self.health(server).state

    def states(self):
        return [item.state for item in self.detector.server_health(self.now, SERVICE)]

    def excluded(self):
        excluded_states = (ServerState.EJECTED, ServerState.AVOIDED)
        health = self.detector.server_health(self.now, SERVICE)
        return [item.id for item in health if item.state in excluded_states]


@pytest.fixture
def harness():
    return DetectorHarness()


@pytest.fixture
def make_harness():
    return DetectorHarness


@pytest.fixture
def pools():
    return make_pool
