import pytest
from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId
from wagtailpaddle_health import (
    HealthBook,
    HealthDigest,
    Observation,
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


class Bench:
    """A book with a clock and short words for what happens to it."""

    def __init__(self, n_servers=6, *, policy="scan", vm="vm-0", **pool):
        self.now = 100.0
        self.book = HealthBook(VmId(vm), policy=policy)
        self.set_pool(make_pool(n_servers, **pool))
        self._sequences = {}

    def set_pool(self, pool):
        self.pool = pool
        self.book.set_pool(self.now, pool)

    def see(self, server, verdict, n=1, *, latency_s=0.02, overdue=False):
        seen = Observation(SERVICE, server, verdict, latency_s, overdue)
        return [self.book.observe(self.now, seen) for _ in range(n)][-1]

    def see_all_succeed(self, n=30, *, but=()):
        for server in self.pool.servers:
            if server.id not in but:
                self.see(server.id, Verdict.SUCCESS, n)

    def see_failing(self, *servers, verdict=Verdict.FAILURE, n=5, latency_s=0.02):
        for _ in range(n):
            self.see_all_succeed(4, but=servers)
            for server in servers:
                if server not in self.out():
                    self.see(server, verdict, latency_s=latency_s)

    def tell(self, vm, server, n_success, n_failure, **more):
        line = ServerDigest(server, n_success, n_failure, 0.02, **more)
        return self.tell_lines(vm, (line,))

    def tell_lines(self, vm, lines=(), opinions=()):
        self._sequences[vm] = self._sequences.get(vm, 0) + 1
        digest = HealthDigest(
            VmId(vm), SERVICE, tuple(lines), tuple(opinions), self._sequences[vm]
        )
        return self.book.merge(self.now, digest)

    def wait(self, seconds, step=0.25):
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            self.book.tick(self.now)

    def standing(self, server):
        found = self.book.standing(self.now, SERVICE)
        return next(item for item in found if item.id == server)

    def state(self, server):
        return self.standing(server).state

    def states(self):
        return [item.state for item in self.book.standing(self.now, SERVICE)]

    def out(self):
        gone = (ServerState.EJECTED, ServerState.AVOIDED)
        found = self.book.standing(self.now, SERVICE)
        return [item.id for item in found if item.state in gone]


@pytest.fixture
def bench():
    return Bench()


@pytest.fixture
def make_bench():
    return Bench


@pytest.fixture
def pools():
    return make_pool
