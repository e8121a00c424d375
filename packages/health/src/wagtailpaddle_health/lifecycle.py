"""The life cycle of one backend server between trusted and ejected."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder
from wagtailpaddle_core import ServerId

from wagtailpaddle_health.evidence import Baseline, Evidence
from wagtailpaddle_health.messages import ServerState
from wagtailpaddle_health.scan import NOTHING, Judgement
from wagtailpaddle_health.sequential_test import SequentialTest

EJECTION_S = 10.0
MAX_EJECTION_S = 300.0
EJECTION_DECAY_S = 300.0
PROBATION_S = 4.0
MAX_PROBATION_S = 24.0
RAMP_S = 10.0
COLD_RAMP_S = 30.0
PROBE_SUSPICION_TTL_S = 2.0
PROBE_COOLDOWN_S = 30.0
PROBE_SUSPICION = 0.2

EXCLUDED = (ServerState.EJECTED, ServerState.AVOIDED)
RECOVERING = (ServerState.PROBATION, ServerState.RAMPING)
WORKING = (ServerState.HEALTHY, ServerState.SUSPECT, *RECOVERING)


class Lifecycle(Protocol):
    """Inputs of the life cycle."""

    def suspect(self) -> None:
        """Evidence speaks against a working server."""

    def clear(self) -> None:
        """The evidence against a server is gone."""

    def eject(self) -> None:
        """The fleet's evidence is conclusive."""

    def avoid(self) -> None:
        """This VM's own evidence is conclusive, the fleet's is not."""

    def begin_probation(self) -> None:
        """The ejection time is over."""

    def begin_ramp(self) -> None:
        """Let the server's share grow."""

    def keep_in_service(self) -> None:
        """Let a server work, distrusted, because it is needed."""


class TrackedServer:
    """All that a VM keeps on one server with evidence or a past.

    ``excluded_until`` ends the present ejection, ``state_since`` began the present
    state,
    ``severity`` ranks ejected servers, ``n_ejections`` sets the next ejection's
    length and is forgiven over time. ``kept_by_floor`` says that the floor alone keeps
    the server working; ``cold`` that it is new and may be slow at first.
    ``verify_spread_s`` is how long the VMs take to begin testing it as a suspect,
    ``verifying`` whether this VM was last told to.
    ``bad_probe_at`` is when a probe last made it suspect. ``pooled_judgement`` is
    this VM's judgement of all evidence told to it, ``fleet_judgement`` what the
    watchers agree on.
    ``baselines`` holds the evidence on the other servers when the present doubt
    began.
    """

    __slots__ = (
        "bad_probe_at",
        "baselines",
        "cold",
        "evidence",
        "excluded_until",
        "fleet_judgement",
        "judged_at",
        "kept_by_floor",
        "last_ejected_at",
        "lifecycle",
        "local_judgement",
        "n_ejections",
        "pooled_judgement",
        "reason",
        "sequential_test",
        "server",
        "severity",
        "state",
        "state_since",
        "verify_spread_s",
        "verifying",
    )

    def __init__(self, server: ServerId) -> None:
        self.server = server
        self.state: ServerState = ServerState.HEALTHY
        self.evidence: Evidence = Evidence()
        self.state_since: float = 0.0
        self.excluded_until: float = 0.0
        self.severity: int = 0
        self.n_ejections: int = 0
        self.last_ejected_at: float = 0.0
        self.judged_at: float = float("-inf")
        self.reason: str = ""
        self.kept_by_floor: bool = False
        self.verify_spread_s: float = 0.0
        self.verifying: bool = False
        self.bad_probe_at: float = float("-inf")
        self.cold: bool = False
        self.local_judgement: Judgement = NOTHING
        self.fleet_judgement: Judgement = NOTHING
        self.pooled_judgement: Judgement = NOTHING
        self.sequential_test: SequentialTest = SequentialTest()
        self.baselines: dict[ServerId, Baseline] | None = None
        self.lifecycle = _LifecycleMachine(self)

    @property
    def is_excluded(self) -> bool:
        """Whether the server is ejected or avoided."""
        return self.state in EXCLUDED

    @property
    def ramp_s(self) -> float:
        """How long the server's share grows, in seconds."""
        return COLD_RAMP_S if self.cold else RAMP_S

    @property
    def suspicion(self) -> float:
        """The stronger of the local and the fleet's suspicion."""
        return max(self.local_judgement.suspicion, self.fleet_judgement.suspicion)

    @property
    def score(self) -> float:
        """The stronger of the local and the fleet's score."""
        return max(self.local_judgement.score, self.fleet_judgement.score)

    def record_bad_probe(self, now: float) -> bool:
        """Note a bad probe; return whether it counts."""
        if now < self.bad_probe_at + PROBE_COOLDOWN_S:
            return False
        self.bad_probe_at = now
        return True

    def probe_suspicion(self, now: float) -> float:
        """Return the suspicion that a probe raised and that still holds."""
        return (
            PROBE_SUSPICION if now < self.bad_probe_at + PROBE_SUSPICION_TTL_S else 0.0
        )

    def has_decayed(self, now: float) -> bool:
        """Whether past ejections no longer lengthen the next one."""
        n_decayed = int((now - self.last_ejected_at) / EJECTION_DECAY_S)
        return n_decayed >= self.n_ejections

    def record_ejection(self, now: float) -> float:
        """Count an ejection that starts now; return its length in seconds."""
        n_decayed = int((now - self.last_ejected_at) / EJECTION_DECAY_S)
        self.n_ejections = max(0, self.n_ejections - n_decayed) + 1
        self.last_ejected_at = now
        return min(MAX_EJECTION_S, EJECTION_S * 2.0 ** (self.n_ejections - 1))


TRANSITIONS = (
    (Lifecycle.suspect, (ServerState.HEALTHY,), ServerState.SUSPECT),
    (Lifecycle.clear, (ServerState.SUSPECT, ServerState.RAMPING), ServerState.HEALTHY),
    (Lifecycle.eject, (*WORKING, ServerState.AVOIDED), ServerState.EJECTED),
    (Lifecycle.avoid, WORKING, ServerState.AVOIDED),
    (Lifecycle.begin_probation, EXCLUDED, ServerState.PROBATION),
    (
        Lifecycle.begin_ramp,
        (ServerState.PROBATION, ServerState.HEALTHY),
        ServerState.RAMPING,
    ),
    (Lifecycle.keep_in_service, (*EXCLUDED, *RECOVERING), ServerState.SUSPECT),
)
"""Every move of the life cycle: the input, the states it leaves, the new one."""


def _build_machine() -> TypeMachineBuilder[Lifecycle, TrackedServer]:
    builder = TypeMachineBuilder(Lifecycle, TrackedServer)
    states = {kind: builder.state(kind.value) for kind in ServerState}

    def add(
        trigger: Callable[[Lifecycle], None], source: ServerState, target: ServerState
    ) -> None:
        @states[source].upon(trigger).to(states[target])
        def enter(inputs: Lifecycle, tracked: TrackedServer) -> None:
            tracked.state = target

    for trigger, sources, target in TRANSITIONS:
        for source in sources:
            add(trigger, source, target)
    return builder


_LifecycleMachine = _build_machine().build()
