"""Discrete-event model of VMs and backend servers for measures of routing."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from wagtailpaddle_core import ANSWERS, Outcome, ServerId, ServiceId, ZoneId
from wagtailpaddle_routing import (
    Action,
    AttemptOutcome,
    AttemptResult,
    Deliver,
    Dispatch,
    Dispatcher,
    Job,
    Refuse,
    ServerView,
)

SERVICE = ServiceId("service")
SAME_ZONE_DELAY_S = 0.0005
CROSS_ZONE_DELAY_S = 0.003
SHED_RESPONSE_S = 0.001


class Clock:
    """Simulated clock that runs scheduled callbacks in order of time."""

    __slots__ = ("_events", "_n_events", "now")

    def __init__(self) -> None:
        self.now: float = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._n_events: int = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule ``call(*args)`` at ``when``."""
        self._n_events += 1
        heappush(self._events, (when, self._n_events, call, args))

    def run(self, until: float) -> None:
        """Run the callbacks up to ``until``."""
        while self._events and self._events[0][0] <= until:
            when, _, call, args = heappop(self._events)
            self.now = when
            call(*args)
        self.now = until


class ModelServer:
    """A server with slots that sheds requests when all slots are busy.

    ``report`` replaces the true load in its responses, if set. With ``refuses``
    it accepts no connection, with ``hangs`` it never responds. With ``swallows``
    it accepts requests beyond its slots; this is used together with ``hangs``.
    """

    __slots__ = (
        "hangs",
        "id",
        "n_busy",
        "n_served",
        "n_shed",
        "n_slots",
        "refuses",
        "report",
        "swallows",
        "zone",
    )

    def __init__(self, id: ServerId, zone: ZoneId) -> None:
        self.id = id
        self.zone = zone
        self.n_slots: int = 4
        self.n_busy: int = 0
        self.n_served: int = 0
        self.n_shed: int = 0
        self.refuses: bool = False
        self.hangs: bool = False
        self.swallows: bool = False
        self.report: float | None = None

    def load(self) -> float:
        """Return the load that the server reports."""
        return self.n_busy / self.n_slots if self.report is None else self.report


class Tally:
    """Counts the outcomes of the requests of one client account.

    ``n_lost_unseen`` is the part of ``n_unknown`` that was not idempotent and was
    sent to a hanging server before the hang could be detected.
    """

    __slots__ = (
        "latencies_s",
        "n_lost_unseen",
        "n_refused",
        "n_sent",
        "n_served",
        "n_unknown",
    )

    def __init__(self) -> None:
        self.n_sent: int = 0
        self.n_served: int = 0
        self.n_refused: int = 0
        self.n_unknown: int = 0
        self.n_lost_unseen: int = 0
        self.latencies_s: list[float] = []

    @property
    def served(self) -> float:
        """The share of the requests that were served."""
        return self.n_served / self.n_sent if self.n_sent else 1.0

    @property
    def served_of_servable(self) -> float:
        """The share served of the requests that some policy could have served."""
        n_servable = self.n_sent - self.n_lost_unseen
        return self.n_served / n_servable if n_servable else 1.0


class ModelVm:
    """One VM: a dispatcher whose attempts go to the simulated servers."""

    def __init__(
        self, model: "Model", zone: ZoneId, seed: int, options: dict[str, Any]
    ):
        self.zone = zone
        self.dispatcher = Dispatcher(zone=zone, seed=seed, **options)
        self._model = model
        self._jobs: dict[str, tuple[Job, float]] = {}
        self._running: dict[str, tuple[int, ModelServer | None]] = {}
        self._sent: dict[str, tuple[float, ModelServer]] = {}
        self._wake_at = float("inf")

    def arrive(self, job: Job, service_s: float) -> None:
        """Admit a request that occupies a slot for ``service_s``."""
        self._jobs[job.id] = job, service_s
        self.carry_out(self.dispatcher.arrive(self._model.clock.now, job))

    def carry_out(self, actions: tuple[Action, ...]) -> None:
        """Carry out actions and schedule the next wake-up."""
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(action)
                case Deliver():
                    self._on_outcome(action.request, None)
                case Refuse():
                    self._on_outcome(action.request, ANSWERS[action.kind].outcome)
        clock = self._model.clock
        wake_at = self.dispatcher.next_wake(clock.now)
        if wake_at is not None and wake_at < self._wake_at:
            self._wake_at = wake_at
            clock.at(wake_at, self._wake, wake_at)

    def _wake(self, wake_at: float) -> None:
        if wake_at == self._wake_at:
            self._wake_at = float("inf")
            self.carry_out(self.dispatcher.tick(self._model.clock.now))

    def _dispatch(self, action: Dispatch) -> None:
        clock = self._model.clock
        server = self._model.servers[action.server]
        self._model.record_dispatch(self, server)
        delay_s = SAME_ZONE_DELAY_S if server.zone == self.zone else CROSS_ZONE_DELAY_S
        self._running[action.request] = action.attempt, None
        self._sent[action.request] = clock.now, server
        token = action.request, action.attempt
        clock.at(
            clock.now + delay_s, self._on_arrival, server, token, clock.now, delay_s
        )
        if action.timeout_at - clock.now < 1e6:
            clock.at(action.timeout_at, self._on_timeout, token, clock.now)

    def _on_arrival(
        self,
        server: ModelServer,
        token: tuple[str, int],
        sent_at: float,
        delay_s: float,
    ) -> None:
        if self._running.get(token[0]) != (token[1], None):
            return
        clock = self._model.clock
        if server.refuses:
            outcome = AttemptOutcome.NOT_SENT
            clock.at(clock.now + delay_s, self._finish, token, outcome, sent_at)
            return
        if server.n_busy >= server.n_slots and not server.swallows:
            server.n_shed += 1
            response_at = clock.now + SHED_RESPONSE_S + delay_s
            load = server.load()
            clock.at(
                response_at, self._finish, token, AttemptOutcome.SHED, sent_at, load
            )
            return
        server.n_busy += 1
        self._running[token[0]] = token[1], server
        if not server.hangs:
            done_at = clock.now + self._jobs[token[0]][1]
            clock.at(done_at, self._on_served, token, sent_at, delay_s)

    def _on_served(
        self, token: tuple[str, int], sent_at: float, delay_s: float
    ) -> None:
        attempt, server = self._running.get(token[0], (0, None))
        if attempt != token[1] or server is None:
            return
        load = server.load()
        server.n_busy -= 1
        server.n_served += 1
        self._running[token[0]] = attempt, None
        clock = self._model.clock
        outcome = AttemptOutcome.ANSWERED
        clock.at(clock.now + delay_s, self._finish, token, outcome, sent_at, load)

    def _on_timeout(self, token: tuple[str, int], sent_at: float) -> None:
        attempt, server = self._running.get(token[0], (0, None))
        if attempt != token[1]:
            return
        clock = self._model.clock
        timeout_at = self.dispatcher.extend_timeout(
            clock.now, self._jobs[token[0]][0].id
        )
        if timeout_at > clock.now:
            clock.at(timeout_at, self._on_timeout, token, sent_at)
            return
        if server is not None:
            server.n_busy -= 1
        self._finish(token, AttemptOutcome.TIMED_OUT, sent_at)

    def _finish(
        self,
        token: tuple[str, int],
        outcome: AttemptOutcome,
        sent_at: float,
        load: float | None = None,
    ) -> None:
        if self._running.get(token[0], (0, None))[0] != token[1]:
            return
        del self._running[token[0]]
        now = self._model.clock.now
        result = AttemptResult(outcome, now - sent_at, load=load)
        job = self._jobs[token[0]][0]
        self.carry_out(self.dispatcher.finish(now, job.id, result))

    def _on_outcome(self, request: str, refusal: Outcome | None) -> None:
        job, _ = self._jobs.pop(request)
        sent_at, server = self._sent.pop(request, (0.0, None))
        hangs = server is not None and server.hangs
        unseen = hangs and not job.idempotent and sent_at < self._model.detectable_at
        self._model.record_outcome(job, refusal, unseen=unseen)


class Model:
    """A fleet of VMs in front of the servers of one service."""

    def __init__(
        self,
        *,
        n_vms: int,
        n_servers: int,
        n_zones: int = 3,
        n_slots: int = 4,
        seed: int,
        options: dict[str, Any],
    ):
        self.clock = Clock()
        self.random = Random(seed)
        self.tallies: dict[str, Tally] = {}
        self.detectable_at = 0.0
        self.n_same_zone = 0
        self.n_cross_zone = 0
        zones = [ZoneId(f"zone-{index}") for index in range(n_zones)]
        self.servers = {
            name: ModelServer(name, zones[index % n_zones])
            for index, name in enumerate(
                ServerId(f"server-{index}") for index in range(n_servers)
            )
        }
        for server in self.servers.values():
            server.n_slots = n_slots
        self.vms = [
            ModelVm(self, zones[index % n_zones], seed * 1000 + index, options)
            for index in range(n_vms)
        ]
        self.set_weights({})

    def set_weights(self, weights: dict[ServerId, float]) -> None:
        """Set the weights of the servers on every VM; 1 where none is given."""
        views = tuple(
            ServerView(
                server.id,
                server.zone,
                server.n_slots,
                300,
                weight=weights.get(server.id, 1.0),
            )
            for server in self.servers.values()
        )
        for vm in self.vms:
            now = self.clock.now
            vm.carry_out(
                vm.dispatcher.set_servers(
                    now, SERVICE, views, n_sharing_vms=len(self.vms)
                )
            )

    def record_dispatch(self, vm: ModelVm, server: ModelServer) -> None:
        """Count an attempt as within the zone or across zones."""
        if vm.zone == server.zone:
            self.n_same_zone += 1
        else:
            self.n_cross_zone += 1

    def p99_latency_s(self) -> float:
        """Return the 99th percentile of the latencies so far."""
        found = sorted(v for tally in self.tallies.values() for v in tally.latencies_s)
        return found[len(found) * 99 // 100]

    def record_outcome(
        self, job: Job, refusal: Outcome | None, *, unseen: bool = False
    ) -> None:
        """Count a response, or a refusal by its outcome.

        ``unseen`` means that the hang of the server could not be detected yet.
        """
        tally = self.tallies[job.account]
        if refusal is None:
            tally.n_served += 1
            tally.latencies_s.append(self.clock.now - job.arrived_at)
        elif refusal is Outcome.NOT_RUN:
            tally.n_refused += 1
        else:
            tally.n_unknown += 1
            tally.n_lost_unseen += unseen
