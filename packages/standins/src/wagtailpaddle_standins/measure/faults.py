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
BACKGROUND_ERRORS = 0.01
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
class Moment:
    """Context of an attempt: age of the fault, sending VM, random generator."""

    age_s: float
    vm: VmId
    random: Random


Fault = Callable[[Moment], Attempt]
FAULTS: Registry[Fault] = Registry("fault")


def usual(moment: Moment) -> Attempt:
    """Respond like a healthy server, with background errors and latency noise."""
    random = moment.random
    latency_s = MEDIAN_LATENCY_S * random.lognormvariate(0.0, LATENCY_SIGMA)
    if random.random() < OUTLIER_SHARE:
        latency_s *= OUTLIER_FACTOR
    failed = random.random() < BACKGROUND_ERRORS
    return Attempt(Verdict.FAILURE if failed else Verdict.SUCCESS, latency_s)


def failing(moment: Moment, share: float) -> Attempt:
    """Fail a share of the requests and serve the others as a healthy server does."""
    attempt = usual(moment)
    if moment.random.random() < share:
        return Attempt(Verdict.FAILURE, attempt.latency_s)
    return attempt


def slowed(moment: Moment, share: float, factor: float) -> Attempt:
    """Multiply the latency of a share of the requests by ``factor``."""
    attempt = usual(moment)
    if moment.random.random() < share:
        return Attempt(attempt.verdict, attempt.latency_s * factor)
    return attempt


@FAULTS.register("down")
def down(moment: Moment) -> Attempt:
    """Refuse every connection."""
    return Attempt(Verdict.UNREACHABLE, CONNECT_S)


@FAULTS.register("hang")
def hang(moment: Moment) -> Attempt:
    """Accept requests and never respond."""
    return Attempt(Verdict.FAILURE, TIMEOUT_S)


@FAULTS.register("fails-all-work")
def fails_all_work(moment: Moment) -> Attempt:
    """Fail every request, though probes would pass."""
    return failing(moment, 1.0)


@FAULTS.register("errors-20%")
def errors_fifth(moment: Moment) -> Attempt:
    """Fail one request in five."""
    return failing(moment, 0.2)


@FAULTS.register("slow-20%")
def slow_fifth(moment: Moment) -> Attempt:
    """Respond to one request in five with ten times the latency."""
    return slowed(moment, 0.2, 10.0)


@FAULTS.register("slow-x5")
def slow_all(moment: Moment) -> Attempt:
    """Respond to all requests with five times the latency."""
    return slowed(moment, 1.0, 5.0)


@FAULTS.register("hang-20%")
def hang_fifth(moment: Moment) -> Attempt:
    """Never respond to one request in five."""
    if moment.random.random() < 0.2:
        return hang(moment)
    return usual(moment)


@FAULTS.register("flapping")
def flapping(moment: Moment) -> Attempt:
    """Fail all requests for 3 s in every 10 s."""
    is_bad = moment.age_s % FLAP_PERIOD_S < FLAP_BAD_S
    return failing(moment, 1.0 if is_bad else 0.0)


@FAULTS.register("cold-start")
def cold_start(moment: Moment) -> Attempt:
    """Begin with six times the latency and fall to the normal one within 20 s."""
    factor = max(1.0, 6.0 - 5.0 * moment.age_s / 20.0)
    return slowed(moment, 1.0, factor)


@FAULTS.register("incident-30%")
def incident(moment: Moment) -> Attempt:
    """Fail three requests in ten."""
    return failing(moment, 0.3)


@FAULTS.register("incident-slow")
def incident_slow(moment: Moment) -> Attempt:
    """Respond to all requests with five times the latency."""
    return slowed(moment, 1.0, 5.0)
