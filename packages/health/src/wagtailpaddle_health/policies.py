"""Policies that judge servers by their evidence, registered by name."""

from dataclasses import dataclass
from typing import Protocol

from wagtailpaddle_core import Registry

from wagtailpaddle_health.evidence import Baseline, Evidence
from wagtailpaddle_health.scan import (
    FAILURE,
    NO_SUSPICION,
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
    """The evidence on another server of the pool, for comparison.

    ``baseline`` is how much evidence there was when the judged server became
    suspect, None while it is healthy. ``suspicion`` is that of the other server.
    """

    evidence: Evidence
    baseline: Baseline | None
    suspicion: float


@dataclass(frozen=True, slots=True)
class PolicyInput:
    """The evidence on which one server is judged at time ``second``.

    ``references`` are the servers that it is compared with. A ``cold`` server is
    new and may be slow at first, so it is not judged by latency.
    """

    second: int
    evidence: Evidence
    references: tuple[ReferenceEvidence, ...]
    sensitivity: float
    cold: bool = False


class Policy(Protocol):
    """Computes judgements from evidence; has no state of its own."""

    @property
    def verifies_suspects(self) -> bool:
        """Whether suspects are tested with idempotent requests."""

    @property
    def shares_evidence(self) -> bool:
        """Whether VMs send their evidence to the monitors of a service."""

    @property
    def uses_sequential_test(self) -> bool:
        """Whether a single failure starts a sequential test."""

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Judge a server by this VM's own evidence."""

    def judge_fleet(self, subject: PolicyInput) -> Judgement:
        """Judge a server by the evidence of all VMs that reported to this one."""


POLICIES: Registry[type[Policy]] = Registry("health policy")


def threshold(sensitivity: float) -> float:
    """Return the log likelihood ratio, in nats, at which a server is ejected."""
    return MIN_THRESHOLD + THRESHOLD_RANGE * (1 - sensitivity)


@POLICIES.register("none")
@dataclass(frozen=True, slots=True)
class NoEjection:
    """Never ejects a server."""

    verifies_suspects: bool = False
    shares_evidence: bool = False
    uses_sequential_test: bool = False

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Return no suspicion."""
        return NO_SUSPICION

    def judge_fleet(self, subject: PolicyInput) -> Judgement:
        """Return no suspicion."""
        return NO_SUSPICION


@POLICIES.register("consecutive")
@dataclass(frozen=True, slots=True)
class ConsecutiveFailures:
    """Avoids a server after ``CONSECUTIVE_FAILURES`` failures in a row on this VM."""

    verifies_suspects: bool = False
    shares_evidence: bool = False
    uses_sequential_test: bool = False

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Judge by the number of own consecutive failures."""
        n_failures = subject.evidence.consecutive_failures
        if n_failures < CONSECUTIVE_FAILURES:
            return NO_SUSPICION
        return Judgement(1.0, 1.0, "in a row", n_failures, n_failures)

    def judge_fleet(self, subject: PolicyInput) -> Judgement:
        """Return no suspicion."""
        return NO_SUSPICION


class _ScanPolicy:
    uses_incident_ratio: bool

    def _zone_windows(self, subject: PolicyInput) -> tuple[Window, ...]:
        """Return the evidence by zone if several zones use the server, else nothing."""
        windows = subject.evidence.by_zone.values() if self.uses_incident_ratio else ()
        windows_in_use = tuple(
            item for item in windows if item.total(subject.second).n_attempts
        )
        return windows_in_use if len(windows_in_use) > 1 else ()

    def judge_local(self, subject: PolicyInput) -> Judgement:
        """Judge by this VM's own evidence, without corroboration by other VMs."""
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
        """Judge by the evidence of all VMs; one VM's failures alone do not suffice."""
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
    """Tests suspects with idempotent requests; finds them by the windows alone."""

    verifies_suspects: bool = True
    shares_evidence: bool = True
    uses_sequential_test: bool = False
    uses_incident_ratio: bool = False


@POLICIES.register("scan")
@dataclass(frozen=True, slots=True)
class SequentialTestScan(_ScanPolicy):
    """Starts a sequential test, with idempotent requests, at the first failure."""

    verifies_suspects: bool = True
    shares_evidence: bool = True
    uses_sequential_test: bool = True
    uses_incident_ratio: bool = True


def _bad_kinds(subject: PolicyInput) -> tuple[int, ...]:
    return (FAILURE, UNREACHABLE) if subject.cold else (FAILURE, UNREACHABLE, SLOW)
