"""A simulated clock, processes and network, with pauses, crashes and loss."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

CALL_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """Network faults; ``slow``, ``loss`` and ``duplicate`` are probabilities.

    A message is delayed by up to ``delay_s``, a slow one by up to ``slow_s``.
    """

    delay_s: float = 0.003
    slow_s: float = 2.0
    slow: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0


class Process:
    """One incarnation of a process on a VM, whose clock has an arbitrary offset."""

    __slots__ = ("alive", "clock_offset_s", "name", "paused_until", "place")

    def __init__(self, name: str, place: str, clock_offset_s: float) -> None:
        self.name = name
        self.place = place
        self.clock_offset_s = clock_offset_s
        self.alive: bool = True
        self.paused_until: float = 0.0

    def pause_until(self, when: float) -> None:
        """Suspend the process; a longer pause in progress is not shortened."""
        self.paused_until = max(self.paused_until, when)


@dataclass(frozen=True, order=True, slots=True)
class _Event:
    at: float
    number: int
    run: Callable[[], None] = field(compare=False)


class Fabric:
    """Runs events in time order; a run is determined by its seed.

    ``cuts`` holds one-way (source, target) pairs of places; messages between
    them are dropped.
    """

    def __init__(self, seed: int, network_faults: NetworkFaults | None = None):
        self.rng = random.Random(seed)
        self.network_faults = network_faults or NetworkFaults()
        self.now = 0.0
        self.n_messages = 0
        self.cuts: set[tuple[str, str]] = set()
        self._events: list[_Event] = []
        self._n_events = 0

    def at(self, when: float, run: Callable[[], None]) -> None:
        """Schedule ``run`` for ``when``."""
        self._n_events += 1
        event = _Event(max(when, self.now), self._n_events, run)
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Run all events up to ``end`` and set the clock to it."""
        while self._events and self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.run()
        self.now = end

    def on(self, process: Process, when: float, run: Callable[[], None]) -> None:
        """Schedule ``run`` in ``process`` for ``when``, or for the end of its pause.

        It does not run if the process is no longer alive.
        """

        def attempt() -> None:
            if not process.alive:
                return
            if self.now < process.paused_until:
                self.at(process.paused_until, attempt)
                return
            run()

        self.at(when, attempt)

    def clock(self, process: Process) -> float:
        """Return the current time on the clock of ``process``."""
        return self.now + process.clock_offset_s

    def send(self, source: str, target: Process, run: Callable[[], None]) -> None:
        """Deliver a message; it may be lost, delayed or duplicated."""
        self.n_messages += 1
        n_copies = 1 + (self.rng.random() < self.network_faults.duplicate)
        for _ in range(n_copies):
            if (source, target.place) in self.cuts:
                continue
            if self.rng.random() < self.network_faults.loss:
                continue
            longest = self.network_faults.delay_s
            if self.rng.random() < self.network_faults.slow:
                longest = self.network_faults.slow_s
            delay = self.rng.uniform(longest / 3, longest)
            self.on(target, self.now + delay, run)

    def call(
        self,
        source: Process,
        target: Process | None,
        handle: Callable[[], object],
        on_reply: Callable[[object], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Call ``target``; a reply after the timeout is still delivered."""
        answered = False

        def reply_arrives(reply: object) -> None:
            nonlocal answered
            answered = True
            on_reply(reply)

        def request_arrives() -> None:
            assert target is not None
            reply = handle()
            self.send(target.place, source, lambda: reply_arrives(reply))

        def timeout() -> None:
            if not answered:
                on_failed()

        if target is not None:
            self.send(source.place, target, request_arrives)
        self.on(source, self.now + CALL_TIMEOUT_S, timeout)
