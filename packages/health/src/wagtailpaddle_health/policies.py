"""Policies that judge servers, filed by name."""

from dataclasses import dataclass
from typing import Protocol

from wagtailpaddle_core import Registry

from wagtailpaddle_health.evidence import Baseline, Evidence
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
MIN_THRESHOLD = 9.0
THRESHOLD_RANGE = 11.0


@dataclass(frozen=True, slots=True)
class ReferenceEvidence:
    """The evidence on another server, and what it was when the doubt began."""

    evidence: Evidence
    baseline: Baseline | None
    suspicion: float


@dataclass(frozen=True, slots=True)
class PolicyInput:
    """One server to be judged in the second ``second``.

    ``references`` is what it is compared with. A ``cold`` server is new and may be
    slow.
    """

    second: int
    evidence: Evidence
    references: tuple[ReferenceEvidence, ...]
    sensitivity: float
    cold: bool = False


class Policy(Protocol):
    """Turns evidence into judgements; holds no state of its own."""

    @property
    def verifies_suspects(self) -> bool:
        """Whether suspects are asked for work that can be repeated."""

    @property
    def shares_evidence(self) -> bool:
        """Whether VMs tell each reference their evidence."""

    @property
    def uses_sequential_test(self) -> bool:
        """Whether a single failure starts a sequential test."""

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Judge a server by this VM's own evidence."""

    def judge_fleet(self, subject: PolicyInput) -> Judgement:
        """Judge a server by the evidence of all VMs that reported here."""


POLICIES: Registry[type[Policy]] = Registry("health policy")


def threshold(sensitivity: float) -> float:
    """Return the log likelihood ratio, in nats, at which a server is ejected."""
    return MIN_THRESHOLD + THRESHOLD_RANGE * (1 - sensitivity)


@POLICIES.register("none")
@dataclass(frozen=True, slots=True)
class NoEjection:
    """Ejects nobody."""

    verifies_suspects: bool = False
    shares_evidence: bool = False
    uses_sequential_test: bool = False

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Find nothing."""
        return NOTHING

    def judge_fleet(self, subject: PolicyInput) -> Judgement:
        """Find nothing."""
        return NOTHING


@POLICIES.register("consecutive")
@dataclass(frozen=True, slots=True)
class Consecutive:
    """Avoids a server after some failures in a row on this VM."""

    verifies_suspects: bool = False
    shares_evidence: bool = False
    uses_sequential_test: bool = False

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Judge by the streak of own failures."""
        n_failures = subject.evidence.consecutive_failures
        if n_failures < CONSECUTIVE_FAILURES:
            return NOTHING
        return Judgement(1.0, 1.0, "in a row", n_failures, n_failures)

    def judge_fleet(self, subject: PolicyInput) -> Judgement:
        """Find nothing."""
        return NOTHING


class _ScanPolicy:
    uses_incident_ratio: bool

    def _zone_windows(self, subject: PolicyInput) -> tuple[Window, ...]:
        """Return the evidence by zone, if more than one zone uses the server."""
        windows = subject.evidence.by_zone.values() if self.uses_incident_ratio else ()
        windows_in_use = tuple(
            item for item in windows if item.total(subject.second).n_attempts
        )
        return windows_in_use if len(windows_in_use) > 1 else ()

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Judge by own evidence, whoever else saw it."""
        return judge(
            subject.second,
            subject.evidence.own,
            [
                Reference(
                    reference.evidence.own,
                    reference.baseline.own if reference.baseline else None,
                    reference.suspicion,
                )
                for reference in subject.references
            ],
            threshold=threshold(subject.sensitivity),
            kinds=_bad_kinds(subject),
            uses_incident_ratio=self.uses_incident_ratio,
        )

    def judge_fleet(self, subject: PolicyInput) -> Judgement:
        """Judge by all evidence, less the VM that saw most of the failures."""
        return judge(
            subject.second,
            subject.evidence.pooled,
            [
                Reference(
                    reference.evidence.pooled,
                    reference.baseline.pooled if reference.baseline else None,
                    reference.suspicion,
                )
                for reference in subject.references
            ],
            threshold=threshold(subject.sensitivity),
            bad_by_vm=tuple(subject.evidence.bad_by_vm.values()),
            by_zone=self._zone_windows(subject),
            kinds=_bad_kinds(subject),
            uses_incident_ratio=self.uses_incident_ratio,
        )


@POLICIES.register("previous")
@dataclass(frozen=True, slots=True)
class VerifyingScan(_ScanPolicy):
    """Tests suspects, but finds them by the windows alone."""

    verifies_suspects: bool = True
    shares_evidence: bool = True
    uses_sequential_test: bool = False
    uses_incident_ratio: bool = False


@POLICIES.register("scan")
@dataclass(frozen=True, slots=True)
class SequentialTestScan(_ScanPolicy):
    """Asks for idempotent work from the first failure to an answer."""

    verifies_suspects: bool = True
    shares_evidence: bool = True
    uses_sequential_test: bool = True
    uses_incident_ratio: bool = True


def _bad_kinds(subject: PolicyInput) -> tuple[int, ...]:
    return (FAILURE, UNREACHABLE) if subject.cold else (FAILURE, UNREACHABLE, SLOW)
