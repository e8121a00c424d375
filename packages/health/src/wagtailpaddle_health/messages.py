"""What goes into the health book and what comes out of it."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId


class Verdict(StrEnum):
    """What one finished attempt says about its server."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class Observation:
    """One finished attempt of real work. ``latency_s`` is in seconds."""

    service: ServiceId
    server: ServerId
    verdict: Verdict
    latency_s: float


@dataclass(frozen=True, slots=True)
class PoolServer:
    """A configured server of a pool, as health sees it."""

    id: ServerId
    zone: ZoneId
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """The servers of one service and how they are judged.

    ``floor`` is the fraction of the configured servers that must stay
    healthy; ``sensitivity`` in (0, 1] trades false ejections (low) against
    detection time (high).
    """

    service: ServiceId
    servers: tuple[PoolServer, ...]
    floor: float
    sensitivity: float


class ServerState(StrEnum):
    """Where a server stands between trusted and ejected."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBATION = "probation"
    RAMPING = "ramping"


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """The standing of one server; ``weight`` in [0, 1] scales its work."""

    id: ServerId
    state: ServerState
    weight: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ServerDigest:
    """Evidence on one server from one VM over its recent window."""

    server: ServerId
    n_success: int
    n_failure: int
    latency_s: float


@dataclass(frozen=True, slots=True)
class HealthDigest:
    """Evidence that one VM shares with its peers."""

    vm: VmId
    service: ServiceId
    servers: tuple[ServerDigest, ...]
