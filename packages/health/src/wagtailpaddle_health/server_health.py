"""Derives the health that routing uses from the state of a tracked server."""

from collections.abc import Iterable

from wagtailpaddle_core import VmId, score

from wagtailpaddle_health.lifecycle import PROBATION_S, TrackedServer
from wagtailpaddle_health.messages import ServerHealth, ServerState

SUSPECT_WEIGHT = 0.2
KEPT_WEIGHT = 0.3
PROBATION_WEIGHT = 0.05
RAMP_START_WEIGHT = 0.1
IDEMPOTENT_ONLY_SCORE = 0.5
MIN_VERIFY_INTERVAL_S = 0.05
MAX_VERIFY_INTERVAL_S = 0.5
INTERVAL_PER_SPREAD = 2.5
MAX_SPREAD_S = 0.4
SPREAD_S_PER_RATE = 0.04


def verify_spread_s(own_rate: float) -> float:
    """Return over how many seconds the VMs spread their first tests of a suspect.

    ``own_rate`` is this VM's rate to the service in requests/s. With requests at
    hand on every VM, tests sent at once would queue at the suspect and make it
    look slow.
    """
    return min(MAX_SPREAD_S, SPREAD_S_PER_RATE * own_rate)


def verify_interval_s(spread_s: float) -> float:
    """Return the minimum time in seconds between two tests by one VM.

    VMs with few requests send what they have. VMs with many requests alternate,
    so that a suspect with four slots is not overloaded.
    """
    interval_s = MIN_VERIFY_INTERVAL_S + INTERVAL_PER_SPREAD * spread_s
    return min(MAX_VERIFY_INTERVAL_S, interval_s)


def weight(now: float, tracked: TrackedServer) -> float:
    """Return the fraction in [0, 1] of its usual requests that a server gets."""
    state = tracked.state
    if tracked.is_excluded:
        return 0.0
    if state is ServerState.PROBATION:
        return PROBATION_WEIGHT
    if state is ServerState.RAMPING:
        progress = min(1.0, max(0.0, (now - tracked.state_since) / tracked.ramp_s))
        return RAMP_START_WEIGHT + (1 - RAMP_START_WEIGHT) * progress
    if tracked.kept_by_floor:
        return KEPT_WEIGHT
    if state is ServerState.SUSPECT:
        return max(SUSPECT_WEIGHT, 1 - tracked.score)
    return 1.0


def needs_verification(now: float, tracked: TrackedServer, vm: VmId) -> bool:
    """Return whether this VM should test the server with an idempotent request now."""
    phase = score(tracked.server, vm) / 2**64
    if tracked.state is ServerState.SUSPECT:
        is_due = now >= tracked.state_since + phase * tracked.verify_spread_s
        idle_s = now - tracked.evidence.last_own_at
        return (
            is_due
            and not tracked.kept_by_floor
            and idle_s >= verify_interval_s(tracked.verify_spread_s)
        )
    if tracked.state is ServerState.PROBATION:
        is_due = now >= tracked.state_since + phase * PROBATION_S
        return is_due and tracked.evidence.last_own_at < tracked.state_since
    return False


def idempotent_only_servers(
    tracked_servers: Iterable[TrackedServer], n_spare: int
) -> frozenset[str]:
    """Return the servers that get idempotent requests only, at most ``n_spare``.

    Servers on probation are chosen first, then suspects in descending order of
    score. The limit leaves enough servers for requests of any kind.
    """
    ranked = []
    for tracked in tracked_servers:
        if tracked.state is ServerState.PROBATION:
            ranked.append((0, 0.0, tracked.server))
        elif (
            tracked.state is ServerState.SUSPECT
            and tracked.score >= IDEMPOTENT_ONLY_SCORE
        ):
            ranked.append((1, -tracked.score, tracked.server))
    return frozenset(server for _, _, server in sorted(ranked)[: max(0, n_spare)])


def server_health(
    now: float,
    tracked: TrackedServer,
    *,
    idempotent_only: bool,
    verify: bool,
    load: float | None,
) -> ServerHealth:
    """Return the health of one tracked server."""
    return ServerHealth(
        id=tracked.server,
        state=tracked.state,
        weight=weight(now, tracked),
        reason=tracked.reason,
        idempotent_only=idempotent_only,
        verify=verify,
        load=load,
    )
