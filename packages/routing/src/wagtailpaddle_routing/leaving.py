"""Servers that are leaving, and the notices about them to other VMs."""

from dataclasses import dataclass

from wagtailpaddle_core import ServerId, ServiceId

OWN_HOLD_S = 600.0
HEARD_HOLD_S = 60.0
RETELL_S = (1.0, 2.0)
REFRESH_S = 20.0
MAX_NOTICE_SERVERS = 64

Target = tuple[ServiceId, ServerId]


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Notifies other VMs which servers of a service are leaving or came ``back``."""

    service: ServiceId
    leaving: tuple[ServerId, ...] = ()
    back: tuple[ServerId, ...] = ()


class _Mark:
    """The state of one server; ``direct`` if the server itself reported it here."""

    __slots__ = ("leaving", "n_told", "direct", "told_at", "until")

    def __init__(self, leaving: bool, until: float, direct: bool) -> None:
        self.leaving = leaving
        self.until = until
        self.direct = direct
        self.told_at: float = float("-inf")
        self.n_told: int = 0


class LeavingServers:
    """Tracks which servers are leaving, from their own reports and from other VMs.

    A server's own report to this VM is announced to the other VMs at once,
    twice more within seconds in case messages are lost, and then every
    ``REFRESH_S`` for VMs that join. A report from another VM is kept for
    ``HEARD_HOLD_S`` and not forwarded. The latest report wins.

    >>> servers = LeavingServers()
    >>> target = (ServiceId("booking"), ServerId("s1"))
    >>> servers.record(0.0, target, leaving=True, direct=True)
    True
    >>> servers.due_notices(0.0)[0].leaving
    ('s1',)
    """

    def __init__(self) -> None:
        self._marks: dict[Target, _Mark] = {}

    def __bool__(self) -> bool:
        return bool(self._marks)

    def of(self, service: ServiceId) -> frozenset[ServerId]:
        """Return the leaving servers of a service."""
        return frozenset(
            server
            for (name, server), mark in self._marks.items()
            if name == service and mark.leaving
        )

    def is_leaving(self, target: Target) -> bool:
        """Return whether a server is leaving."""
        mark = self._marks.get(target)
        return mark is not None and mark.leaving

    def record(
        self, now: float, target: Target, *, leaving: bool, direct: bool
    ) -> bool:
        """Record a report about a server; return whether its state changed."""
        mark = self._marks.get(target)
        was_leaving = mark is not None and mark.leaving
        if not leaving and not was_leaving:
            return False
        hold_s = OWN_HOLD_S if direct else HEARD_HOLD_S
        if not leaving:
            hold_s = 2 * sum(RETELL_S)
        if mark is None or mark.leaving != leaving or (direct and not mark.direct):
            self._marks[target] = _Mark(leaving, now + hold_s, direct)
        else:
            mark.until = max(mark.until, now + hold_s)
        return leaving != was_leaving

    def retain(self, service: ServiceId, kept: frozenset[ServerId]) -> None:
        """Remove the servers of a service that are not in ``kept``."""
        for name, server in list(self._marks):
            if name == service and server not in kept:
                del self._marks[name, server]

    def expire(self, now: float) -> set[ServiceId]:
        """Remove expired entries; return the services whose leaving servers changed."""
        past = [target for target, mark in self._marks.items() if mark.until <= now]
        changed = {name for name, server in past if self._marks[name, server].leaving}
        for target in past:
            del self._marks[target]
        return changed

    def resend_all(self) -> None:
        """Make all announcements due again, for VMs that have joined."""
        for mark in self._marks.values():
            mark.told_at = float("-inf")

    def due_notices(self, now: float) -> tuple[LeavingNotice, ...]:
        """Return the notices to send to all other VMs now, and mark them as sent."""
        leaving: dict[ServiceId, list[ServerId]] = {}
        back: dict[ServiceId, list[ServerId]] = {}
        for (service, server), mark in self._marks.items():
            if not mark.direct or now - mark.told_at < _pause_s(mark):
                continue
            side = leaving if mark.leaving else back
            told = side.setdefault(service, [])
            if len(told) < MAX_NOTICE_SERVERS:
                told.append(server)
                mark.told_at = now
                mark.n_told += 1
        return tuple(
            LeavingNotice(name, tuple(leaving.get(name, ())), tuple(back.get(name, ())))
            for name in sorted(leaving.keys() | back.keys())
        )


def _pause_s(mark: _Mark) -> float:
    """Return how long after the last announcement the next one is due."""
    if not mark.n_told:
        return 0.0
    return RETELL_S[mark.n_told - 1] if mark.n_told <= len(RETELL_S) else REFRESH_S
