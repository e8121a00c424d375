"""Seeded schedule of the faults that a report injects, one after the other."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

from wagtailpaddle_standins.system import System

WARM_UP_S = 8.0
EPISODE_S = 8.0
PAUSE_S = 3.0
FLAP_S = 1.0
BACKGROUND_ERROR_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of gray failure: ``fraction`` of the requests meet ``fault``.

    With ``flaps``, the fault is on and off for a second each.
    """

    name: str
    fault: str
    fraction: float = 1.0
    parameter: float = 0.0
    flaps: bool = False


FAULT_KINDS = (
    FaultKind("errors", "error"),
    FaultKind("errors 20 %", "error", 0.2),
    FaultKind("hang", "hang"),
    FaultKind("slow by 1 s, 50 %", "slow", 0.5, 1.0),
    FaultKind("cut short", "cut"),
    FaultKind("closes", "close", 0.5),
    FaultKind("flapping", "error", flaps=True),
)


@dataclass(frozen=True, slots=True)
class Episode:
    """One fault of one server; times in seconds from the start of the load."""

    kind: FaultKind
    server: str
    begin_s: float
    end_s: float


def plan_episodes(servers: Sequence[str], seed: int) -> tuple[Episode, ...]:
    """Return one episode of each kind, each on a different server."""
    random = Random(seed)
    chosen = random.sample(sorted(servers), len(FAULT_KINDS))
    kinds = random.sample(FAULT_KINDS, len(FAULT_KINDS))
    step_s = EPISODE_S + PAUSE_S
    begins = [WARM_UP_S + index * step_s for index in range(len(kinds))]
    return tuple(
        Episode(kind, server, begin_s, begin_s + EPISODE_S)
        for kind, server, begin_s in zip(kinds, chosen, begins, strict=True)
    )


def duration_s(episodes: Sequence[Episode]) -> float:
    """Return the duration of the load that covers all episodes, in seconds."""
    return episodes[-1].end_s + PAUSE_S


@dataclass(frozen=True, slots=True)
class Step:
    """Sets the fault of ``server`` at ``at_s`` seconds; None ends the fault."""

    at_s: float
    server: str
    kind: FaultKind | None


def steps(episodes: Sequence[Episode]) -> list[Step]:
    """Return the changes of faults in order of time."""
    found = [step for episode in episodes for step in _steps_of(episode)]
    return sorted(found, key=lambda step: step.at_s)


def _steps_of(episode: Episode) -> Iterator[Step]:
    yield Step(episode.begin_s, episode.server, episode.kind)
    if episode.kind.flaps:
        n_switches = int((episode.end_s - episode.begin_s) / FLAP_S)
        for switch in range(1, n_switches):
            kind = None if switch % 2 else episode.kind
            yield Step(episode.begin_s + switch * FLAP_S, episode.server, kind)
    yield Step(episode.end_s, episode.server, None)


def inject_fault(system: System, step: Step) -> None:
    """Apply a step; a server without a fault has background errors."""
    if step.kind is None:
        system.set_fault(step.server, "error", fraction=BACKGROUND_ERROR_SHARE)
        return
    kind = step.kind
    system.set_fault(
        step.server, kind.fault, fraction=kind.fraction, parameter=kind.parameter
    )
