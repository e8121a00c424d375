"""Inputs and outputs of the outlier detector."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId

UNKNOWN_ZONE = ZoneId("")


class Verdict(StrEnum):
    """The outcome of an attempt, as evidence on its server.

    ``UNREACHABLE`` is a failure before the request could be sent (connection
    refused, connect timeout). ``OVERDUE`` reports an attempt that is still running
    after ``OutlierDetector.overdue_after`` seconds, so that a hanging server is
    noticed before the attempt times out; the end of that attempt is observed as
    well, with ``overdue`` set. ``NEUTRAL`` is no evidence (the attempt was shed or
    cancelled).
    """

    SUCCESS = "success"
    FAILURE = "failure"
    UNREACHABLE = "unreachable"
    OVERDUE = "overdue"
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class Observation:
    """The outcome of one attempt at a real request.

    ``overdue`` is set if the same attempt was observed as ``OVERDUE`` before. ``cold``
    is set if the server was warming up, so that a slow success is no evidence.
    """

    service: ServiceId
    server: ServerId
    verdict: Verdict
    latency_s: float
    overdue: bool = False
    cold: bool = False


@dataclass(frozen=True, slots=True)
class PoolServer:
    """A configured server of a pool.

    A ``leaving`` or ``draining`` server gets no new requests and never counts as
    healthy. An ``evacuated`` server is not judged either, and the floor does not
    count it.
    """

    id: ServerId
    zone: ZoneId
    leaving: bool = False
    draining: bool = False
    evacuated: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """The servers of one service and the settings of their outlier detection.

    ``floor`` is the fraction of the configured servers that ejection must leave
    in service. ``sensitivity`` is in (0, 1]: low values give fewer false
    ejections, high values give faster detection.
    """

    service: ServiceId
    servers: tuple[PoolServer, ...]
    floor: float
    sensitivity: float


class ServerState(StrEnum):
    """The state of a server in its life cycle.

    A ``SUSPECT`` server stays in service at a reduced weight. An ``EJECTED``
    server was excluded on the evidence of several VMs, an ``AVOIDED`` one by this
    VM alone, because only this VM sees the failures. A server on ``PROBATION``
    gets idempotent requests only. The weight of a ``RAMPING`` server rises to its
    full value (slow start).
    """

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    AVOIDED = "avoided"
    PROBATION = "probation"
    RAMPING = "ramping"


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """The health of one server, as routing uses it.

    ``weight`` in [0, 1] scales the requests that the server gets.
    ``idempotent_only`` excludes requests that cannot be repeated. ``verify`` asks
    for the next idempotent request regardless of the weight, unless this VM
    already has one in flight there, because the judgement needs fresh evidence.
    ``load`` in [0, 1] is what the server last reported, None if that is too old;
    it does not affect ``weight``.
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
    """Evidence on one server that one VM collected since its last digest.

    ``n_failure`` counts all failed attempts, ``n_unreachable`` those of them
    that were never sent. ``n_slow`` counts slow or overdue attempts, whether they
    failed or not. ``latency_s`` is the mean latency of the successes, or 0.
    """

    server: ServerId
    n_success: int
    n_failure: int
    latency_s: float
    n_unreachable: int = 0
    n_slow: int = 0


@dataclass(frozen=True, slots=True)
class Opinion:
    """A monitor's judgement of one server from the evidence of several VMs.

    ``suspicion`` and ``score`` are log likelihood ratios as fractions of the
    ejection threshold: ``suspicion`` from all evidence, ``score`` without the VM
    that reported most of the failures. ``reason`` names the kind of failure.
    ``n_failed`` and ``n_attempts`` are the counts of the window with the strongest
    evidence.
    """

    server: ServerId
    suspicion: float
    score: float
    reason: str = ""
    n_failed: int = 0
    n_attempts: int = 0


@dataclass(frozen=True, slots=True)
class HealthDigest:
    """Evidence and opinions that one VM sends to others.

    ``to`` lists the receivers; empty means the service's monitors
    (``select_monitors``). ``sequence`` increases with each digest of ``vm`` for
    ``service``, so that duplicates are ignored. ``zone`` is the availability zone
    of ``vm``, empty if unknown.
    """

    vm: VmId
    service: ServiceId
    servers: tuple[ServerDigest, ...]
    opinions: tuple[Opinion, ...] = ()
    sequence: int = 0
    to: tuple[VmId, ...] = ()
    zone: ZoneId = UNKNOWN_ZONE


class HealthEventKind(StrEnum):
    """What happened to a server.

    ``KEPT`` means that the floor keeps a failing server in service.
    """

    EJECTED = "ejected"
    AVOIDED = "avoided"
    READMITTED = "readmitted"
    KEPT = "kept"


@dataclass(frozen=True, slots=True)
class HealthEvent:
    """A change of a server's state, for operators' logs.

    ``score`` is the evidence as a fraction of the ejection threshold. ``n_failed``
    and ``n_attempts`` are the counts, as far as this VM knows them, of the window
    with the strongest evidence. ``until`` is when an ejection ends, in seconds of
    the detector's clock, or 0.
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
