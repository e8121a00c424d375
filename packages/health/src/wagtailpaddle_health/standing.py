"""From the state of a track to the standing that routing works by."""

from collections.abc import Iterable

from wagtailpaddle_core import VmId, score

from wagtailpaddle_health.admission import PROBATION_S, Track
from wagtailpaddle_health.messages import ServerHealth, ServerState

SUSPECT_WEIGHT = 0.2
KEPT_WEIGHT = 0.3
PROBATION_WEIGHT = 0.05
RAMP_START_WEIGHT = 0.1
RESTRICT_SCORE = 0.5
MIN_VERIFY_INTERVAL_S = 0.05
MAX_VERIFY_INTERVAL_S = 0.5
INTERVAL_PER_SPREAD = 2.5
MAX_SPREAD_S = 0.4
SPREAD_S_PER_RATE = 0.04


def verify_spread_s(own_rate: float) -> float:
    """Return over how many seconds the VMs start to test a suspect.

    ``own_rate`` is in requests/s of this VM to the service. Where each VM has
    requests at hand, all at once would queue at the suspect and look slow.
    """
    return min(MAX_SPREAD_S, SPREAD_S_PER_RATE * own_rate)


def verify_interval_s(spread_s: float) -> float:
    """Return the least time in seconds between tests by one VM.

    VMs with few requests send what they have; those with many take turns, so
    that a suspect with four slots is not flooded.
    """
    interval_s = MIN_VERIFY_INTERVAL_S + INTERVAL_PER_SPREAD * spread_s
    return min(MAX_VERIFY_INTERVAL_S, interval_s)


def weight(now: float, track: Track) -> float:
    """Return the share in [0, 1] of its usual work that a server gets."""
    state = track.state
    if track.is_out:
        return 0.0
    if state is ServerState.PROBATION:
        return PROBATION_WEIGHT
    if state is ServerState.RAMPING:
        grown = min(1.0, max(0.0, (now - track.since) / track.ramp_s))
        return RAMP_START_WEIGHT + (1 - RAMP_START_WEIGHT) * grown
    if track.kept:
        return KEPT_WEIGHT
    if state is ServerState.SUSPECT:
        return max(SUSPECT_WEIGHT, 1 - track.score)
    return 1.0


def wants_verification(now: float, track: Track, vm: VmId) -> bool:
    """Return whether this VM should send a repeatable request now."""
    phase = score(track.server, vm) / 2**64
    if track.state is ServerState.SUSPECT:
        is_due = now >= track.since + phase * track.spread_s
        idle_s = now - track.evidence.last_own_at
        return is_due and not track.kept and idle_s >= verify_interval_s(track.spread_s)
    if track.state is ServerState.PROBATION:
        is_due = now >= track.since + phase * PROBATION_S
        return is_due and track.evidence.last_own_at < track.since
    return False


def restricted(tracks: Iterable[Track], n_spare: int) -> frozenset[str]:
    """Return the servers that only get idempotent requests, ``n_spare`` at most.

    Servers on probation go first, then suspects from the worst down, so that
    enough servers stay open to every request.
    """
    ranked = []
    for track in tracks:
        if track.state is ServerState.PROBATION:
            ranked.append((0, 0.0, track.server))
        elif track.state is ServerState.SUSPECT and track.score >= RESTRICT_SCORE:
            ranked.append((1, -track.score, track.server))
    return frozenset(server for _, _, server in sorted(ranked)[: max(0, n_spare)])


def health(
    now: float,
    track: Track,
    *,
    idempotent_only: bool,
    verify: bool,
    load: float | None,
) -> ServerHealth:
    """Return the standing of one tracked server."""
    return ServerHealth(
        id=track.server,
        state=track.state,
        weight=weight(now, track),
        reason=track.reason,
        idempotent_only=idempotent_only,
        verify=verify,
        load=load,
    )
