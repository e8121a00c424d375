"""Changes of the fleet's VMs as the rate limiter and the claims receive them."""

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailpaddle_core import VmId
from wagtailpaddle_fleet import Membership, Vm
from wagtailpaddle_once import ClaimRoster, RosterMember

from wagtailpaddle_node.config_stream import ConfigStream, SeatedVms

FLEET_DISCOVERY_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class KnownVms:
    """The VMs that serve, and those known to be gone."""

    vms: frozenset[VmId]
    gone: frozenset[VmId]


@dataclass(frozen=True, slots=True)
class RosterChange:
    """A new roster for the claims and the previous one."""

    current: ClaimRoster
    former: ClaimRoster | None
    gone: frozenset[VmId]


class RosterWatcher:
    """Detects changes of the fleet and reports each of them once."""

    def __init__(self, membership: Membership, stream: ConfigStream):
        self.last_vms: KnownVms | None = None
        self._membership = membership
        self._config_stream = stream
        self._last_seated: SeatedVms | None = None
        self._gone: frozenset[VmId] = frozenset()
        self._started_at: float | None = None

    def poll_vms(self, now: float) -> KnownVms | None:
        """Return the current VMs, None if unchanged since the last report."""
        vms = frozenset(vm.id for vm in self._membership.vms(now))
        if not self._is_fleet_known(now, len(vms)):
            return None
        known = KnownVms(vms, self._membership.gone(now))
        if known == self.last_vms:
            return None
        self.last_vms = known
        return known

    def pop_rosters(self, now: float) -> list[RosterChange]:
        """Return the new rosters in order, or the last one again if VMs are gone.

        No roster may be skipped: a VM that joins queries those of the previous
        roster.
        """
        gone = self._membership.gone(now)
        seated = self._config_stream.pop_seated()
        if not seated and gone != self._gone and self._last_seated is not None:
            seated = [self._last_seated]
        self._gone = gone
        if seated:
            self._last_seated = seated[-1]
        return [_make_change(change, gone) for change in seated]

    def _is_fleet_known(self, now: float, n_vms: int) -> bool:
        """Return whether all listed VMs are known or the wait for them is over.

        Without the wait the first VM of a starting fleet would take all shares.
        """
        if self._started_at is None:
            self._started_at = now
        listed = self._membership.incarnations.listed
        n_expected = sum(not entry.leaving for entry in listed.values())
        if listed and n_vms >= n_expected:
            self._started_at = float("-inf")
        return now - self._started_at >= FLEET_DISCOVERY_TIMEOUT_S


def _make_change(change: SeatedVms, gone: frozenset[VmId]) -> RosterChange:
    former = None
    if change.former_vms:
        former = ClaimRoster(change.former_revision, _members(change.former_vms))
    return RosterChange(
        ClaimRoster(change.revision, _members(change.vms)), former, gone
    )


def _members(vms: Iterable[Vm]) -> tuple[RosterMember, ...]:
    return tuple(RosterMember(vm.id, vm.zone) for vm in vms)
