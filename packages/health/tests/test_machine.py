import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId
from wagtailpaddle_health import (
    HealthBook,
    HealthDigest,
    Observation,
    Opinion,
    Pool,
    PoolServer,
    ServerDigest,
    ServerState,
    Verdict,
)

SERVICE = ServiceId("booking")
VMS = [VmId(f"vm-{index}") for index in range(3)]
OUT = (ServerState.EJECTED, ServerState.AVOIDED)
servers = st.integers(0, 7).map(lambda index: ServerId(f"s{index}"))
flags = st.lists(st.booleans(), min_size=8, max_size=8)
shares = st.floats(allow_nan=True, allow_infinity=True) | st.floats(0, 3)
counts = st.integers(-1, 60)


class HealthMachine(RuleBasedStateMachine):
    """Three books that hear each other, with any evidence in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.sequence = 10**6
        self.books = [HealthBook(vm) for vm in VMS]
        self.configure(8, [False] * 8, [False] * 8, 0.5)

    @rule(
        n_servers=st.integers(0, 8),
        leaving=flags,
        draining=flags,
        floor=st.sampled_from([0.0, 0.3, 0.5, 0.8, 1.0]),
    )
    def configure(self, n_servers, leaving, draining, floor):
        listed = tuple(
            PoolServer(
                ServerId(f"s{index}"),
                ZoneId("a"),
                leaving[index] and leaving[index - 1],
                draining[index] and draining[index - 1],
            )
            for index in range(n_servers)
        )
        self.pool = Pool(SERVICE, listed, floor, 0.8)
        for book in self.books:
            book.set_pool(self.now, self.pool)

    @rule(
        vm=st.integers(0, 2),
        server=servers,
        verdict=st.sampled_from(Verdict),
        n=st.integers(1, 12),
        latency_s=st.sampled_from([0.02, 0.5, 10.0, math.nan]),
        overdue=st.booleans(),
    )
    def observe(self, vm, server, verdict, n, latency_s, overdue):
        seen = Observation(SERVICE, server, verdict, latency_s, overdue)
        for _ in range(n):
            self.books[vm].observe(self.now, seen)

    @rule(n=st.integers(1, 40), but=st.sets(servers, max_size=3))
    def succeed(self, n, but):
        for server in self.pool.servers:
            for vm in range(3):
                if server.id not in but:
                    self.observe(vm, server.id, Verdict.SUCCESS, n, 0.02, False)

    @rule(failing=st.sets(servers, min_size=1, max_size=5))
    def fail(self, failing):
        for _ in range(2):
            self.succeed(4, failing)
            for server in sorted(failing):
                for vm in range(3):
                    self.observe(vm, server, Verdict.FAILURE, 2, 0.02, False)

    @rule()
    def exchange(self):
        for book in self.books:
            for digest in book.digests(self.now):
                assert len(digest.servers) <= 64
                for other in self.books:
                    if other is not book:
                        other.merge(self.now, digest)

    @rule(
        server=servers,
        n_success=counts,
        n_failure=counts,
        n_slow=counts,
        score=shares,
        suspicion=shares,
    )
    def lie(self, server, n_success, n_failure, n_slow, score, suspicion):
        self.sequence += 1
        line = ServerDigest(server, n_success, n_failure, 0.0, 0, n_slow)
        opinion = Opinion(server, suspicion, score)
        digest = HealthDigest(VmId("liar"), SERVICE, (line,), (opinion,), self.sequence)
        for book in self.books:
            book.merge(self.now, digest)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0, 11.0, 70.0]))
    def wait(self, seconds):
        self.now += seconds
        for book in self.books:
            book.tick(self.now)

    @invariant()
    def ejection_keeps_the_floor(self):
        working = [s.id for s in self.pool.servers if not (s.leaving or s.draining)]
        needed = math.ceil(self.pool.floor * len(self.pool.servers) - 1e-9)
        for book in self.books:
            standing = {s.id: s for s in book.standing(self.now, SERVICE)}
            out = [s for s in working if standing[s].state in OUT]
            assert not out or len(working) - len(out) >= max(1, needed)
            limited = [s for s in working if standing[s].idempotent_only]
            n_open = len(working) - len(out) - len(limited)
            assert not limited or n_open >= max(1, needed)

    @invariant()
    def standings_are_sound(self):
        for book in self.books:
            standing = book.standing(self.now, SERVICE)
            assert [s.id for s in standing] == [s.id for s in self.pool.servers]
            assert book.n_tracks <= len(standing)
            for item in standing:
                assert (item.weight == 0) == (item.state in OUT)
                assert 0 <= item.weight <= 1


HealthMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=40
)
test_machine = HealthMachine.TestCase
