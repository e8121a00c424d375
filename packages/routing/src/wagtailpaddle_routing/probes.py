"""Schedule of health probes, and interpretation of their results.

A health page is only a hint. It can stop new requests to a server that says
that it is leaving, but it never proves that a server is healthy.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from heapq import heapify, heappop, heappush
from random import Random

from wagtailpaddle_core import ServerId, ServiceId

from wagtailpaddle_routing.answers import LEAVING_STATES

PROBE_INTERVAL_S = 1.0
PROBE_JITTER = 0.2
PROBE_TIMEOUT_S = 1.0
MAX_PROBES_PER_CALL = 64
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500

Target = tuple[ServiceId, ServerId]


@dataclass(frozen=True, slots=True)
class Probe:
    """Request the page at ``path`` from a server, with the time-out ``timeout_s``."""

    service: ServiceId
    server: ServerId
    path: str
    timeout_s: float = PROBE_TIMEOUT_S


class ProbeOutcome(StrEnum):
    """How a probe ended; ``UNREADABLE`` pages are malformed or too large."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed-out"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a probe; ``state`` and ``load`` are as the page states them.

    ``cold_s`` is how much longer the server says that it is cold, or None.
    """

    outcome: ProbeOutcome
    status: int = 0
    state: str = ""
    load: float | None = None
    cold_s: float | None = None


@dataclass(frozen=True, slots=True)
class ProbeReading:
    """The interpretation of a probe's result.

    ``leaving`` is None if the page does not state it. ``load`` is in [0, 1] or
    None. ``failed`` and ``unreachable`` make the server suspect. ``late`` is set if
    the failure is that no answer came in time.
    """

    leaving: bool | None = None
    load: float | None = None
    failed: bool = False
    unreachable: bool = False
    late: bool = False
    cold_s: float | None = None


def interpret_probe(result: ProbeResult) -> ProbeReading:
    """Return the interpretation of a probe's result.

    A leaving server may answer with status 503. A client error means that the
    page does not exist, which is not a failure of the server.

    >>> interpret_probe(ProbeResult(ProbeOutcome.ANSWERED, 503, "draining")).leaving
    True
    >>> interpret_probe(ProbeResult(ProbeOutcome.ANSWERED, 404)).failed
    False
    """
    if result.outcome is ProbeOutcome.UNREACHABLE:
        return ProbeReading(unreachable=True)
    if result.outcome is not ProbeOutcome.ANSWERED:
        return ProbeReading(failed=True, late=result.outcome is ProbeOutcome.TIMED_OUT)
    load = result.load
    if load is not None and not 0.0 <= load <= 1.0:
        load = None
    if result.state in LEAVING_STATES:
        return ProbeReading(leaving=True, load=load, cold_s=result.cold_s)
    failed = result.status >= FIRST_SERVER_ERROR_STATUS
    if result.status >= FIRST_ERROR_STATUS:
        return ProbeReading(failed=failed, cold_s=result.cold_s)
    return ProbeReading(leaving=False, load=load, cold_s=result.cold_s)


class ProbeScheduler:
    """Schedules the probes of all targets, jittered so that VMs do not align.

    >>> plan = ProbeScheduler(Random(1))
    >>> plan.set_targets(0.0, {(ServiceId("booking"), ServerId("s1")): "/health"})
    >>> plan.due(2.0)[0].path
    '/health'
    >>> plan.due(2.0)
    ()
    """

    def __init__(self, random: Random, *, interval_s: float = PROBE_INTERVAL_S):
        self._random = random
        self._interval_s = interval_s
        self._paths: dict[Target, str] = {}
        self._heap: list[tuple[float, Target]] = []

    def __contains__(self, target: Target) -> bool:
        return target in self._paths

    def set_targets(self, now: float, paths: Mapping[Target, str]) -> None:
        """Replace the targets; targets that remain keep their schedule."""
        self._heap = [item for item in self._heap if item[1] in paths]
        for target in paths:
            if target not in self._paths:
                first_at = now + self._random.random() * self._interval_s
                self._heap.append((first_at, target))
        heapify(self._heap)
        self._paths = dict(paths)

    def next_at(self) -> float | None:
        """Return when the next probe is due, or None if there are no targets."""
        return self._heap[0][0] if self._heap else None

    def due(self, now: float) -> tuple[Probe, ...]:
        """Return the probes to send now, at most ``MAX_PROBES_PER_CALL``."""
        probes: list[Probe] = []
        while self._heap and len(probes) < MAX_PROBES_PER_CALL:
            at, target = self._heap[0]
            if at > now:
                break
            heappop(self._heap)
            heappush(self._heap, (now + self._jittered_interval_s(), target))
            probes.append(Probe(*target, self._paths[target]))
        return tuple(probes)

    def _jittered_interval_s(self) -> float:
        spread = PROBE_JITTER * (self._random.random() - 0.5)
        return self._interval_s * (1.0 + spread)
