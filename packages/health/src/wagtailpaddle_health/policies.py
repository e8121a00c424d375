"""Policies that judge servers, filed by name."""

from dataclasses import dataclass
from typing import Protocol

from wagtailpaddle_core import Registry

from wagtailpaddle_health.evidence import Evidence, Mark
from wagtailpaddle_health.scan import (
    FAILURE,
    NOTHING,
    SLOW,
    UNREACHABLE,
    Judgement,
    Reference,
    judge,
)
from wagtailpaddle_health.window import Window

CONSECUTIVE_FAILURES = 5
LEAST_THRESHOLD = 9.0
THRESHOLD_RANGE = 11.0


@dataclass(frozen=True, slots=True)
class Other:
    """The evidence on another server, and what it was when the doubt began."""

    evidence: Evidence
    mark: Mark | None
    suspicion: float


@dataclass(frozen=True, slots=True)
class Case:
    """One server to be judged in the second ``second``.

    ``others`` is what it is compared with. A ``cold`` server is new and may be
    slow.
    """

    second: int
    evidence: Evidence
    others: tuple[Other, ...]
    sensitivity: float
    cold: bool = False


class Policy(Protocol):
    """Turns evidence into judgements; holds no state of its own."""

    @property
    def verifies(self) -> bool:
        """Whether suspects are asked for work that can be repeated."""

    @property
    def shares(self) -> bool:
        """Whether VMs tell each other their evidence."""

    @property
    def inquires(self) -> bool:
        """Whether a single failure starts a sequential test."""

    def local(self, case: Case) -> Judgement:
        """Judge a server by this VM's own evidence."""

    def fleet(self, case: Case) -> Judgement:
        """Judge a server by the evidence of all VMs that reported here."""


POLICIES: Registry[type[Policy]] = Registry("health policy")


def threshold(sensitivity: float) -> float:
    """Return the log likelihood ratio, in nats, at which a server is ejected."""
    return LEAST_THRESHOLD + THRESHOLD_RANGE * (1 - sensitivity)


@POLICIES.register("none")
@dataclass(frozen=True, slots=True)
class NoEjection:
    """Ejects nobody."""

    verifies: bool = False
    shares: bool = False
    inquires: bool = False

    def local(self, case: Case) -> Judgement:
        """Find nothing."""
        return NOTHING

    def fleet(self, case: Case) -> Judgement:
        """Find nothing."""
        return NOTHING


@POLICIES.register("consecutive")
@dataclass(frozen=True, slots=True)
class Consecutive:
    """Avoids a server after some failures in a row on this VM."""

    verifies: bool = False
    shares: bool = False
    inquires: bool = False

    def local(self, case: Case) -> Judgement:
        """Judge by the streak of own failures."""
        streak = case.evidence.streak
        if streak < CONSECUTIVE_FAILURES:
            return NOTHING
        return Judgement(1.0, 1.0, "in a row", streak, streak)

    def fleet(self, case: Case) -> Judgement:
        """Find nothing."""
        return NOTHING


class _Scan:
    compares: bool

    def _zones(self, case: Case) -> tuple[Window, ...]:
        """Return the evidence by zone, if more than one zone uses the server."""
        windows = case.evidence.zones.values() if self.compares else ()
        used = tuple(item for item in windows if item.total(case.second).n_attempts)
        return used if len(used) > 1 else ()

    def local(self, case: Case) -> Judgement:
        """Judge by own evidence, whoever else saw it."""
        return judge(
            case.second,
            case.evidence.own,
            [
                Reference(
                    other.evidence.own,
                    other.mark.own if other.mark else None,
                    other.suspicion,
                )
                for other in case.others
            ],
            threshold=threshold(case.sensitivity),
            channels=_channels(case),
            compares=self.compares,
        )

    def fleet(self, case: Case) -> Judgement:
        """Judge by all evidence, less the VM that saw most of the failures."""
        return judge(
            case.second,
            case.evidence.pooled,
            [
                Reference(
                    other.evidence.pooled,
                    other.mark.pooled if other.mark else None,
                    other.suspicion,
                )
                for other in case.others
            ],
            threshold=threshold(case.sensitivity),
            origins=tuple(case.evidence.origins.values()),
            zones=self._zones(case),
            channels=_channels(case),
            compares=self.compares,
        )


@POLICIES.register("previous")
@dataclass(frozen=True, slots=True)
class VerifyingScan(_Scan):
    """Tests suspects, but finds them by the windows alone."""

    verifies: bool = True
    shares: bool = True
    inquires: bool = False
    compares: bool = False


@POLICIES.register("scan")
@dataclass(frozen=True, slots=True)
class InquiringScan(_Scan):
    """Asks for idempotent work from the first failure to an answer."""

    verifies: bool = True
    shares: bool = True
    inquires: bool = True
    compares: bool = True


def _channels(case: Case) -> tuple[int, ...]:
    return (FAILURE, UNREACHABLE) if case.cold else (FAILURE, UNREACHABLE, SLOW)
