"""Reports what speaks for and against each server that a request may be sent to."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import Registry, ServerId, ZoneId

from wagtailpaddle_routing.messages import FULL_LOAD
from wagtailpaddle_routing.pickers import (
    HIGH_SHED_LEVEL,
    LOW_LOAD,
    PROVEN_TTL_S,
    Candidates,
)
from wagtailpaddle_routing.retry import PendingRequest
from wagtailpaddle_routing.server import Server
from wagtailpaddle_routing.suspects import SuspectState


class Effect(StrEnum):
    """Whether a fact makes a server more or less likely to be chosen."""

    FOR = "for"
    AGAINST = "against"
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class Fact:
    """A property of a server and its effect on the choice.

    Names that end in ``_s`` are seconds, those that end in ``_per_s`` requests per
    second.
    """

    name: str
    value: str | float | bool
    effect: Effect = Effect.NEUTRAL


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server as a request sees it; an ``available`` one has a free slot now."""

    server: ServerId
    zone: ZoneId
    available: bool
    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class Inspection:
    """A server with all that a picker takes into account for a request."""

    candidates: Candidates
    server: Server
    pending: PendingRequest
    suspect: SuspectState

    @property
    def now(self) -> float:
        """The time of the inspection."""
        return self.candidates.now


Finding = tuple[str | float | bool, Effect]
"""The value of a fact, and its effect."""

FactFunction = Callable[[Inspection], Finding | None]
"""Returns a finding, or None if the fact does not concern the server."""

FACTS: Registry[FactFunction] = Registry("server fact")


def inspect_server(inspection: Inspection) -> Candidate:
    """Return the candidate with all registered facts that concern it."""
    server = inspection.server
    facts = []
    for name in FACTS.names():
        finding = FACTS[name](inspection)
        if finding is not None:
            facts.append(Fact(name, *finding))
    available = server.usable and inspection.candidates.is_available(
        server, inspection.pending
    )
    return Candidate(server.id, server.view.zone, available, tuple(facts))


def _against_if(condition: bool) -> Effect:
    return Effect.AGAINST if condition else Effect.NEUTRAL


def _time_left(now: float, at: float) -> Finding | None:
    """Return the seconds until ``at``, against the server, or None if it is past."""
    return (round(at - now, 3), Effect.AGAINST) if at > now else None


@FACTS.register("zone")
def zone(inspection: Inspection) -> Finding:
    """Whether the server is in this VM's zone."""
    is_local = inspection.server.view.zone == inspection.candidates.zone
    return ("own", Effect.FOR) if is_local else ("other", Effect.AGAINST)


@FACTS.register("weight")
def weight(inspection: Inspection) -> Finding:
    """The part of an equal share of requests that its health allows."""
    value = inspection.server.view.weight
    return round(value, 3), _against_if(value < 1.0)


@FACTS.register("leaving")
def leaving(inspection: Inspection) -> Finding | None:
    """Whether the server is leaving."""
    return (True, Effect.AGAINST) if inspection.server.view.leaving else None


@FACTS.register("evacuated")
def evacuated(inspection: Inspection) -> Finding | None:
    """Whether operators evacuated the server's zone."""
    return (True, Effect.AGAINST) if inspection.server.view.evacuated else None


@FACTS.register("cold_s")
def cold_s(inspection: Inspection) -> Finding | None:
    """Seconds for which the server still warms up and bears few requests."""
    return _time_left(inspection.now, inspection.server.view.cold_until)


@FACTS.register("probation")
def probation(inspection: Inspection) -> Finding | None:
    """Whether the server gets idempotent requests only."""
    if not inspection.server.view.probation:
        return None
    return True, _against_if(not inspection.pending.job.idempotent)


@FACTS.register("verify")
def verify(inspection: Inspection) -> Finding | None:
    """Whether its health asks for the next idempotent request."""
    return (True, Effect.FOR) if inspection.server.view.verify else None


@FACTS.register("in_flight")
def in_flight(inspection: Inspection) -> Finding:
    """This VM's requests in flight there, and the limit on them."""
    server = inspection.server
    is_full = server.in_flight >= server.cap
    return f"{server.in_flight} of {server.cap}", _against_if(is_full)


@FACTS.register("load")
def load(inspection: Inspection) -> Finding:
    """The load as a part of the server's slots."""
    value = inspection.server.current_load(inspection.now)
    effect = Effect.FOR if value < LOW_LOAD else _against_if(value >= FULL_LOAD)
    return round(value, 3), effect


@FACTS.register("shed_level")
def shed_level(inspection: Inspection) -> Finding | None:
    """The level of recent shed answers and failed connects."""
    value = inspection.server.shed_level(inspection.now)
    return (round(value, 3), _against_if(value > HIGH_SHED_LEVEL)) if value else None


@FACTS.register("last_success_s")
def last_success_s(inspection: Inspection) -> Finding | None:
    """Seconds since the start of the latest successful request of this VM."""
    age_s = inspection.now - inspection.suspect.last_success_at
    if age_s == float("inf"):
        return None
    return round(age_s, 3), Effect.FOR if age_s <= PROVEN_TTL_S else Effect.NEUTRAL


@FACTS.register("suspect")
def suspect(inspection: Inspection) -> Finding | None:
    """Whether the server failed lately."""
    is_suspect = inspection.suspect.is_suspect(inspection.now)
    return (True, Effect.AGAINST) if is_suspect else None


@FACTS.register("silent")
def silent(inspection: Inspection) -> Finding | None:
    """Whether the server has had work but answered none of it for long."""
    candidates = inspection.candidates
    is_silent = inspection.server.is_silent(
        candidates.now, candidates.silence_timeout_s
    )
    return (True, Effect.AGAINST) if is_silent else None


@FACTS.register("backoff_s")
def backoff_s(inspection: Inspection) -> Finding | None:
    """Seconds until the back-off after refused requests ends."""
    return _time_left(inspection.now, inspection.server.backoff_until)


@FACTS.register("limit_per_s")
def limit_per_s(inspection: Inspection) -> Finding | None:
    """The rate that the server states that it takes from all VMs."""
    stated = inspection.server.stated_limit
    if stated is None:
        return None
    return round(stated.per_s, 3), _against_if(not stated.allows(inspection.now))


@FACTS.register("rest_s")
def rest_s(inspection: Inspection) -> Finding | None:
    """Seconds for which the server asked to be left alone."""
    return _time_left(inspection.now, inspection.server.rest_until)


@FACTS.register("may_start_in_s")
def may_start_in_s(inspection: Inspection) -> Finding | None:
    """Seconds until all limits and rests of the server allow a request."""
    start_at = inspection.server.may_start_at(inspection.now)
    return _time_left(inspection.now, start_at)
