"""Reports which servers of a service got no request lately, and why."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wagtailpaddle_core import Registry, ServerId, ServiceId

from wagtailpaddle_routing.pickers import HIGH_SHED_LEVEL, PROVEN_TTL_S, Candidates
from wagtailpaddle_routing.server import Server
from wagtailpaddle_routing.suspects import SuspectState

IDLE_AFTER_S = 2.0
"""A server without a new request for this time, in seconds, is idle."""


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """How many requests of a service ended on this VM, and how many unserved.

    A request is unserved if it was refused or ended with an error of its server.
    """

    n_ended: int = 0
    n_unserved: int = 0

    def since(self, former: "RequestCounts") -> "RequestCounts":
        """Return what was counted after ``former``.

        >>> RequestCounts(9, 2).since(RequestCounts(4, 2))
        RequestCounts(n_ended=5, n_unserved=0)
        """
        return RequestCounts(
            self.n_ended - former.n_ended, self.n_unserved - former.n_unserved
        )


@dataclass(frozen=True, slots=True)
class IdleServers:
    """The usable servers of a service that got no request, grouped by reason."""

    service: ServiceId
    n_usable: int
    counts: RequestCounts
    by_reason: tuple[tuple[str, tuple[ServerId, ...]], ...]


IdleReason = Callable[[Candidates, Server, SuspectState], bool]
"""Returns whether a reason keeps requests away from a server now."""

IDLE_REASONS: Registry[IdleReason] = Registry("idle reason")
PASSED_OVER = "passed-over"
"""No reason keeps requests away: others were preferred."""


@IDLE_REASONS.register("rest")
def rests(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether the server asked for a rest."""
    return server.rest_until > candidates.now


@IDLE_REASONS.register("limit")
def is_limited(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether a stated limit or the limit of a cold server allows no request."""
    return not server.may_start(candidates.now)


@IDLE_REASONS.register("back-off")
def backs_off(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether this VM backs off after refused requests or failed connects."""
    return server.backoff_until > candidates.now


@IDLE_REASONS.register("in-flight")
def is_full(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether this VM has as many requests there as it allows itself."""
    return server.in_flight >= server.cap


@IDLE_REASONS.register("silent")
def is_silent(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether the server answers none of its requests."""
    return server.is_silent(candidates.now, candidates.silence_timeout_s)


@IDLE_REASONS.register("suspect")
def is_suspect(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether the server failed lately."""
    return state.is_suspect(candidates.now)


@IDLE_REASONS.register("shed")
def sheds(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether the server refused many requests lately."""
    return server.shed_level(candidates.now) > HIGH_SHED_LEVEL


@IDLE_REASONS.register("unproven")
def is_unproven(candidates: Candidates, server: Server, state: SuspectState) -> bool:
    """Whether the server has served no request lately."""
    return candidates.now - state.last_success_at > PROVEN_TTL_S


def reasons_of(
    candidates: Candidates, server: Server, state: SuspectState
) -> tuple[str, ...]:
    """Return all reasons that keep requests away from a server."""
    return tuple(
        name
        for name in IDLE_REASONS.names()
        if IDLE_REASONS[name](candidates, server, state)
    )


def group_idle_servers(
    candidates: Candidates, states: Callable[[ServerId], SuspectState]
) -> tuple[tuple[str, tuple[ServerId, ...]], ...]:
    """Return the idle servers among the usable ones, grouped by their reasons."""
    groups: dict[str, list[ServerId]] = {}
    for server in _idle(candidates.now, candidates.usable):
        reasons = reasons_of(candidates, server, states(server.id))
        groups.setdefault("+".join(reasons) or PASSED_OVER, []).append(server.id)
    return tuple((reason, tuple(groups[reason])) for reason in sorted(groups))


def _idle(now: float, servers: Iterable[Server]) -> list[Server]:
    return [item for item in servers if now - item.last_started_at > IDLE_AFTER_S]
