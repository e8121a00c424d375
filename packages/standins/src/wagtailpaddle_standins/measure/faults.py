"""Kinds of fault of simulated backend servers."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import Registry, VmId
from wagtailpaddle_health import Verdict

MEDIAN_LATENCY_S = 0.025
LATENCY_SIGMA = 0.5
OUTLIER_SHARE = 0.01
OUTLIER_FACTOR = 8.0
BACKGROUND_ERROR_SHARE = 0.01
CONNECT_S = 0.001
TIMEOUT_S = 10.0
FLAP_BAD_S = 3.0
FLAP_PERIOD_S = 10.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """Result and latency of one attempt."""

    verdict: Verdict
    latency_s: float


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """Context of an attempt: age of the fault, sending VM, random generator."""

    age_s: float
    vm: VmId
    random: Random


Fault = Callable[[AttemptContext], Attempt]
FAULTS: Registry[Fault] = Registry("fault")


def healthy(context: AttemptContext) -> Attempt:
    """Respond like a healthy server, with background errors and latency noise."""
    random = context.random
    latency_s = MEDIAN_LATENCY_S * random.lognormvariate(0.0, LATENCY_SIGMA)
    if random.random() < OUTLIER_SHARE:
        latency_s *= OUTLIER_FACTOR
    failed = random.random() < BACKGROUND_ERROR_SHARE
    return Attempt(Verdict.FAILURE if failed else Verdict.SUCCESS, latency_s)


def failing(context: AttemptContext, share: float) -> Attempt:
    """Fail a share of the requests and serve the others as a healthy server does."""
    attempt = healthy(context)
    if context.random.random() < share:
        return Attempt(Verdict.FAILURE, attempt.latency_s)
    return attempt


def slowed(context: AttemptContext, share: float, factor: float) -> Attempt:
    """Multiply the latency of a share of the requests by ``factor``."""
    attempt = healthy(context)
    if context.random.random() < share:
        return Attempt(attempt.verdict, attempt.latency_s * factor)
    return attempt


@FAULTS.register("down")
def down(context: AttemptContext) -> Attempt:
    """Refuse every connection."""
    return Attempt(Verdict.UNREACHABLE, CONNECT_S)


@FAULTS.register("hang")
def hang(context: AttemptContext) -> Attempt:
    """Accept requests and never respond."""
    return Attempt(Verdict.FAILURE, TIMEOUT_S)


@FAULTS.register("fails-all-work")
def fails_all_work(context: AttemptContext) -> Attempt:
    """Fail every request, though probes would pass."""
    return failing(context, 1.0)


@FAULTS.register("errors-20%")
def errors_fifth(context: AttemptContext) -> Attempt:
    """Fail one request in five."""
    return failing(context, 0.2)


@FAULTS.register("slow-20%")
def slow_fifth(context: AttemptContext) -> Attempt:
    """Respond to one request in five with ten times the latency."""
    return slowed(context, 0.2, 10.0)


@FAULTS.register("slow-x5")
def slow_all(context: AttemptContext) -> Attempt:
    """Respond to all requests with five times the latency."""
    return slowed(context, 1.0, 5.0)


@FAULTS.register("hang-20%")
def hang_fifth(context: AttemptContext) -> Attempt:
    """Never respond to one request in five."""
    if context.random.random() < 0.2:
        return hang(context)
    return healthy(context)


@FAULTS.register("flapping")
def flapping(context: AttemptContext) -> Attempt:
    """Fail all requests for 3 s in every 10 s."""
    is_bad = context.age_s % FLAP_PERIOD_S < FLAP_BAD_S
    return failing(context, 1.0 if is_bad else 0.0)


@FAULTS.register("cold-start")
def cold_start(context: AttemptContext) -> Attempt:
    """Begin with six times the latency and fall to the normal one within 20 s."""
    factor = max(1.0, 6.0 - 5.0 * context.age_s / 20.0)
    return slowed(context, 1.0, factor)


@FAULTS.register("incident-30%")
def incident(context: AttemptContext) -> Attempt:
    """Fail three requests in ten."""
    return failing(context, 0.3)


@FAULTS.register("incident-slow")
def incident_slow(context: AttemptContext) -> Attempt:
    """Respond to all requests with five times the latency."""
    return slowed(context, 1.0, 5.0)
