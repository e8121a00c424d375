"""Tracks which VMs share the limits of cold servers."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from wagtailpaddle_routing.warmup import (
    EXCESS,
    SLACK,
    SharerRole,
    WarmupSharers,
    ring_of,
)

SETTLE_S = 3.0
"""A VM that joins sends nothing to cold servers until the others know of it."""

RETENTION_S = 15.0
"""A VM that is gone keeps its part for this time after it was last registered. A VM
that lives registers again within seconds when another one removes its record."""

MAX_UPDATE_GAP_S = 1.0
"""A VM that did not run for this long counts as one that was out of contact."""

N_STANDBY = 8
STANDBY_INTERVAL_S = 2.0
"""Interval at which the standby VMs are chosen: the cost grows with the fleet."""


class WarmupSharerTracker:
    """Tracks the VMs that share the limits, so that no VM takes a part too early.

    A VM that appears counts at once. One that disappears counts as long as it is
    registered in the store, and until the end of the retention. A VM out of contact
    with the store removes no other, and does not change its own role: it may be the
    one that the others have lost.
    """

    def __init__(self, own: str, *, excess: float = EXCESS, slack: float = SLACK):
        self._sharers = WarmupSharers(
            own=own,
            role=SharerRole.UNSETTLED,
            active=(),
            excess=excess,
            slack=slack,
        )
        self._active: frozenset[str] = frozenset()
        self._gone_at: dict[str, float] = {}
        self._is_active: bool | None = None
        self._role_since = float("-inf")
        self._contact_at = float("-inf")
        self._standby_at = float("-inf")

    def update(
        self,
        now: float,
        *,
        active: frozenset[str],
        alive: Iterable[str],
        is_registered: Callable[[str], bool],
        in_contact: bool,
    ) -> WarmupSharers:
        """Record the VMs that carry callers and all that live, by address.

        ``is_registered`` tells whether the store has the record of a VM.
        """
        has_changed = self._record_active(now, active)
        if in_contact:
            has_changed |= self._remove_gone(now, is_registered)
            self._update_role(now, is_active=self._sharers.own in active)
            self._contact_at = now
        known = self._sharers
        role = self._role(now)
        standby = known.standby
        if role is SharerRole.STANDBY and in_contact:
            standby = self._choose_standby(now, alive)
        ring = known.active
        if has_changed:
            ring = ring_of({*self._active, *self._gone_at})
        self._sharers = replace(known, role=role, active=ring, standby=standby)
        return self._sharers

    def set_bound(self, *, excess: float, slack: float) -> None:
        """Set the bound that the VMs share."""
        self._sharers = replace(self._sharers, excess=excess, slack=slack)

    def _record_active(self, now: float, active: frozenset[str]) -> bool:
        """Record the active VMs; return whether they changed."""
        if active == self._active:
            return False
        self._gone_at.update(dict.fromkeys(self._active - active, now))
        self._gone_at = {vm: at for vm, at in self._gone_at.items() if vm not in active}
        self._active = active
        return True

    def _remove_gone(self, now: float, is_registered: Callable[[str], bool]) -> bool:
        """Remove the VMs whose retention is over; return whether there are any."""
        if now - self._contact_at > MAX_UPDATE_GAP_S:
            self._gone_at = dict.fromkeys(self._gone_at, now)
        for vm in self._gone_at:
            if is_registered(vm):
                self._gone_at[vm] = now
        expired = [vm for vm, at in self._gone_at.items() if now - at > RETENTION_S]
        for vm in expired:
            del self._gone_at[vm]
        return bool(expired)

    def _update_role(self, now: float, *, is_active: bool) -> None:
        if is_active is not self._is_active:
            self._is_active = is_active
            self._role_since = now

    def _role(self, now: float) -> SharerRole:
        if self._is_active is None or now - self._role_since < SETTLE_S:
            return SharerRole.UNSETTLED
        return SharerRole.ACTIVE if self._is_active else SharerRole.STANDBY

    def _choose_standby(self, now: float, alive: Iterable[str]) -> tuple[str, ...]:
        if now - self._standby_at < STANDBY_INTERVAL_S:
            return self._sharers.standby
        self._standby_at = now
        standby = [vm for vm in alive if vm not in self._active]
        return ring_of(standby)[:N_STANDBY]
