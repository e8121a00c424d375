"""What goes into the health book and what comes out of it."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId

UNKNOWN_ZONE = ZoneId("")


class Verdict(StrEnum):
    """What one attempt says about its server.

    ``UNREACHABLE`` is a failure before the request could be sent (connection
    refused, connect timeout). ``OVERDUE`` reports an attempt that still runs
    after ``OutlierDetector.overdue_after`` seconds, so that a hanging server counts
    before the attempt's timeout; the end of that attempt is observed as well,
    with ``overdue`` set. ``NEUTRAL`` says nothing (shed, cancelled).
    """

    SUCCESS = "success"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    OVERDUE = "overdue"
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class Observation:
    """One attempt of real work. ``latency_s`` is in seconds.

    ``overdue`` says that an ``OVERDUE`` observation of the same attempt went
    before this one.
    """

    service: ServiceId
    server: ServerId
    verdict: Verdict
    latency_s: float
    overdue: bool = False


@dataclass(frozen=True, slots=True)
class PoolServer:
    """A configured server of a pool, as health sees it.

    A ``leaving`` or ``draining`` server gets no new work and is never counted
    as healthy.
    """

    id: ServerId
    zone: ZoneId
    leaving: bool = False
    draining: bool = False


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
    """Where a server stands between trusted and ejected.

    ``SUSPECT`` servers still work at a reduced weight. ``EJECTED`` is the
    fleet's verdict on the server; ``AVOIDED`` is this VM's own, because it alone
    sees the failures. ``PROBATION`` takes idempotent requests only, ``RAMPING``
    a share that grows to the full one.
    """

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    AVOIDED = "avoided"
    PROBATION = "probation"
    RAMPING = "ramping"


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """The standing of one server; ``weight`` in [0, 1] scales its work.

    ``idempotent_only`` keeps requests away that cannot be repeated. ``verify``
    asks for the next idempotent request whatever the weight, as long as this VM
    has none in flight there: fresh evidence is what the judgement waits for.
    ``load`` is the server's last report in [0, 1] while it is fresh, a hint.
    """

    id: ServerId
    state: ServerState
    weight: float
    reason: str = ""
    idempotent_only: bool = False
    verify: bool = False
    load: float | None = None


@dataclass(frozen=True, slots=True)
class ServerDigest:
    """Evidence on one server that one VM gathered since its last digest.

    ``n_failure`` counts every failed attempt, ``n_unreachable`` those of them
    that were never sent. ``n_slow`` counts slow or overdue attempts of any end.
    ``latency_s`` is the mean latency of the successes, 0 without any.
    """

    server: ServerId
    n_success: int
    n_failure: int
    latency_s: float
    n_unreachable: int = 0
    n_slow: int = 0


@dataclass(frozen=True, slots=True)
class Opinion:
    """What a VM concludes on one server from the evidence of several VMs.

    Both are log likelihood ratios as shares of the ejection threshold:
    ``suspicion`` from all evidence, ``score`` without the VM that reported most
    of the failures. ``reason`` names the kind of failure; ``n_failed`` of
    ``n_attempts`` are the counts of the window in which it is clearest.
    """

    server: ServerId
    suspicion: float
    score: float
    reason: str = ""
    n_failed: int = 0
    n_attempts: int = 0


@dataclass(frozen=True, slots=True)
class HealthDigest:
    """Evidence and opinions that one VM shares with others.

    ``to`` lists the VMs to send it to; empty means the service's watchers
    (``select_monitors``). ``sequence`` rises with each digest of ``vm`` for
    ``service``, so that a repeated one is ignored. ``zone`` is the availability
    zone of ``vm``, empty if unknown.
    """

    vm: VmId
    service: ServiceId
    servers: tuple[ServerDigest, ...]
    opinions: tuple[Opinion, ...] = ()
    sequence: int = 0
    to: tuple[VmId, ...] = ()
    zone: ZoneId = UNKNOWN_ZONE


class HealthEventKind(StrEnum):
    """What happened to a server's standing."""

    EJECTED = "ejected"
    AVOIDED = "avoided"
    READMITTED = "readmitted"
    KEPT = "kept"


@dataclass(frozen=True, slots=True)
class HealthEvent:
    """A change of standing for operators' logs.

    ``score`` is the evidence as a share of the ejection threshold, ``n_failed``
    of ``n_attempts`` what this VM knows of the window in which it was strongest.
    ``until`` is when an ejection ends, in the book's seconds, 0 otherwise.
    """

    at: float
    service: ServiceId
    server: ServerId
    kind: HealthEventKind
    reason: str
    score: float
    n_failed: int
    n_attempts: int
    until: float = 0.0
