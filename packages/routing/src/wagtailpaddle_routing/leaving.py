"""Servers that are leaving, and the notices about them to other VMs."""

from dataclasses import dataclass

from wagtailpaddle_core import ServerId, ServiceId

DIRECT_TTL_S = 600.0
INDIRECT_TTL_S = 60.0
RESEND_INTERVALS_S = (1.0, 2.0)
"""Intervals of the first announcements, against lost messages."""

REFRESH_INTERVAL_S = 20.0
MAX_NOTICE_SERVERS = 64

Target = tuple[ServiceId, ServerId]


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Notifies other VMs which servers of a service are leaving or came ``back``."""

    service: ServiceId
    leaving: tuple[ServerId, ...] = ()
    back: tuple[ServerId, ...] = ()


class _LeavingState:
    """The state of one server; ``direct`` if the server itself reported it here."""

    __slots__ = ("leaving", "n_sent", "direct", "sent_at", "expires_at")

    def __init__(self, leaving: bool, expires_at: float, direct: bool) -> None:
        self.leaving = leaving
        self.expires_at = expires_at
        self.direct = direct
        self.sent_at: float = float("-inf")
        self.n_sent: int = 0


class LeavingServers:
    """Tracks which servers are leaving, from their own reports and from other VMs.

    A server's own report to this VM is announced to the other VMs at once,
    twice more within seconds in case messages are lost, and then every
    ``REFRESH_INTERVAL_S`` for VMs that join. A report from another VM is kept for
    ``INDIRECT_TTL_S`` and not forwarded, a server's own one for ``direct_ttl_s``
    seconds. The latest report wins.

    >>> servers = LeavingServers()
    >>> target = (ServiceId("booking"), ServerId("s1"))
    >>> servers.record(0.0, target, leaving=True, direct=True)
    True
    >>> servers.due_notices(0.0)[0].leaving
    ('s1',)
    """

    def __init__(self, *, direct_ttl_s: float = DIRECT_TTL_S) -> None:
        self._direct_ttl_s = direct_ttl_s
        self._states: dict[Target, _LeavingState] = {}

    def __bool__(self) -> bool:
        return bool(self._states)

    def of(self, service: ServiceId) -> frozenset[ServerId]:
        """Return the leaving servers of a service."""
        return frozenset(
            server
            for (name, server), state in self._states.items()
            if name == service and state.leaving
        )

    def is_leaving(self, target: Target) -> bool:
        """Return whether a server is leaving."""
        state = self._states.get(target)
        return state is not None and state.leaving

    def record(
        self, now: float, target: Target, *, leaving: bool, direct: bool
    ) -> bool:
        """Record a report about a server; return whether its state changed."""
        state = self._states.get(target)
        was_leaving = state is not None and state.leaving
        if not leaving and not was_leaving:
            return False
        ttl_s = self._direct_ttl_s if direct else INDIRECT_TTL_S
        if not leaving:
            ttl_s = 2 * sum(RESEND_INTERVALS_S)
        if state is None or state.leaving != leaving or (direct and not state.direct):
            self._states[target] = _LeavingState(leaving, now + ttl_s, direct)
        else:
            state.expires_at = max(state.expires_at, now + ttl_s)
        return leaving != was_leaving

    def forget(self, target: Target) -> bool:
        """Forget a server that started again; return whether it was leaving."""
        state = self._states.pop(target, None)
        return state is not None and state.leaving

    def retain(self, service: ServiceId, kept: frozenset[ServerId]) -> None:
        """Remove the servers of a service that are not in ``kept``."""
        for name, server in list(self._states):
            if name == service and server not in kept:
                del self._states[name, server]

    def expire(self, now: float) -> set[ServiceId]:
        """Remove expired entries; return the services whose leaving servers changed."""
        expired = [
            target for target, state in self._states.items() if state.expires_at <= now
        ]
        changed = {
            name for name, server in expired if self._states[name, server].leaving
        }
        for target in expired:
            del self._states[target]
        return changed

    def resend_all(self) -> None:
        """Make all announcements due again, for VMs that have joined."""
        for state in self._states.values():
            state.sent_at = float("-inf")

    def due_notices(self, now: float) -> tuple[LeavingNotice, ...]:
        """Return the notices to send to all other VMs now, and mark them as sent."""
        leaving: dict[ServiceId, list[ServerId]] = {}
        back: dict[ServiceId, list[ServerId]] = {}
        for (service, server), state in self._states.items():
            if not state.direct or now - state.sent_at < _resend_interval_s(state):
                continue
            by_service = leaving if state.leaving else back
            listed = by_service.setdefault(service, [])
            if len(listed) < MAX_NOTICE_SERVERS:
                listed.append(server)
                state.sent_at = now
                state.n_sent += 1
        return tuple(
            LeavingNotice(name, tuple(leaving.get(name, ())), tuple(back.get(name, ())))
            for name in sorted(leaving.keys() | back.keys())
        )


def _resend_interval_s(state: _LeavingState) -> float:
    """Return how long after the last announcement the next one is due."""
    if not state.n_sent:
        return 0.0
    return (
        RESEND_INTERVALS_S[state.n_sent - 1]
        if state.n_sent <= len(RESEND_INTERVALS_S)
        else REFRESH_INTERVAL_S
    )
