"""Evidence on one server: this VM's own and that reported by other VMs."""

from dataclasses import dataclass

from wagtailpaddle_core import ServerId, VmId, ZoneId

from wagtailpaddle_health.messages import UNKNOWN_ZONE, ServerDigest
from wagtailpaddle_health.window import NO_COUNTS, Counts, Window

MAX_REPORTING_VMS = 64
MAX_ZONES = 8


@dataclass(frozen=True, slots=True)
class Observer:
    """The VM that observed an attempt, and its zone (empty if unknown)."""

    vm: VmId
    zone: ZoneId = UNKNOWN_ZONE


class Evidence:
    """Evidence on one server, split by observer.

    ``own`` holds the attempts of this VM. ``pooled`` holds those of all VMs that
    reported to it, and is a window of its own only after the first such report.
    ``bad_by_vm`` holds failed and slow attempts by VM, ``by_zone`` all attempts by
    the zone of the VM. ``consecutive_failures`` counts this VM's failures in a row.
    """

    __slots__ = (
        "_pooled",
        "bad_by_vm",
        "by_zone",
        "consecutive_failures",
        "last_own_at",
        "own",
    )

    def __init__(self) -> None:
        self.own = Window()
        self.bad_by_vm: dict[VmId, Window] = {}
        self.by_zone: dict[ZoneId, Window] = {}
        self.consecutive_failures = 0
        self.last_own_at = float("-inf")
        self._pooled: Window | None = None

    @property
    def pooled(self) -> Window:
        """The attempts of all VMs."""
        return self.own if self._pooled is None else self._pooled

    def add_own(self, now: float, observer: Observer, counts: Counts) -> None:
        """Add attempts of this VM."""
        second = int(now)
        self.own.add(second, counts)
        if self._pooled is not None:
            self._pooled.add(second, counts)
        self._attribute(second, observer, counts)

    def add_other(self, now: float, observer: Observer, counts: Counts) -> None:
        """Add attempts that another VM reported."""
        if self._pooled is None:
            self._pooled = self.own.copy()
        second = int(now)
        self._pooled.add(second, counts)
        self._attribute(second, observer, counts)

    def baseline(self) -> "Baseline":
        """Return how much evidence there is now."""
        return Baseline(self.own.lifetime_total, self.pooled.lifetime_total)

    def reset(self) -> None:
        """Discard the windows, which no longer describe the server."""
        self.own = Window()
        self.bad_by_vm = {}
        self.by_zone = {}
        self.consecutive_failures = 0
        self._pooled = None

    def _attribute(self, second: int, observer: Observer, counts: Counts) -> None:
        vm, zone = observer.vm, observer.zone
        if zone and (zone in self.by_zone or len(self.by_zone) < MAX_ZONES):
            self.by_zone.setdefault(zone, Window()).add(second, counts)
        n_bad = max(counts[1:])
        if not n_bad:
            return
        if vm not in self.bad_by_vm and len(self.bad_by_vm) >= MAX_REPORTING_VMS:
            self._drop_idle_vms(second)
        if vm in self.bad_by_vm or len(self.bad_by_vm) < MAX_REPORTING_VMS:
            window = self.bad_by_vm.setdefault(vm, Window())
            window.add(second, Counts(n_bad, *counts[1:]))

    def _drop_idle_vms(self, second: int) -> None:
        idle = [vm for vm, win in self.bad_by_vm.items() if not win.total(second)]
        for vm in idle:
            del self.bad_by_vm[vm]


@dataclass(frozen=True, slots=True)
class Baseline:
    """How much evidence on a server there was at some time in the past."""

    own: Counts
    pooled: Counts


EMPTY_BASELINE = Baseline(NO_COUNTS, NO_COUNTS)


class PendingEvidence:
    """Own evidence that has not been sent in a digest yet."""

    __slots__ = ("latency_s", "n_failure", "n_slow", "n_success", "n_unreachable")

    def __init__(self) -> None:
        self.n_success = 0
        self.n_failure = 0
        self.n_unreachable = 0
        self.n_slow = 0
        self.latency_s = 0.0

    def add(self, counts: Counts, latency_s: float) -> None:
        """Add attempts.

        An overdue attempt counts as a success until it ends with a failure.
        """
        n_success = self.n_success + counts.n_attempts - counts.n_failure
        self.n_success = max(0, n_success)
        self.n_failure += counts.n_failure
        self.n_unreachable += counts.n_unreachable
        self.n_slow += counts.n_slow
        if not counts.n_failure:
            self.latency_s += latency_s

    @property
    def is_urgent(self) -> bool:
        """Whether there are failed or slow attempts, which are sent at once."""
        return self.n_failure + self.n_slow > 0

    def __bool__(self) -> bool:
        return self.n_success + self.n_failure + self.n_slow > 0

    def digest(self, server: ServerId) -> ServerDigest:
        """Return the digest entry for these counts."""
        mean_s = self.latency_s / self.n_success if self.n_success else 0.0
        return ServerDigest(
            server,
            self.n_success,
            self.n_failure,
            mean_s,
            self.n_unreachable,
            self.n_slow,
        )
