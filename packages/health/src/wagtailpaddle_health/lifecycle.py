"""The life cycle of a backend server, from healthy to ejected and back."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder
from wagtailpaddle_core import ServerId

from wagtailpaddle_health.evidence import Baseline, Evidence
from wagtailpaddle_health.messages import ServerState
from wagtailpaddle_health.scan import NO_SUSPICION, Judgement
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
IN_SERVICE = (ServerState.HEALTHY, ServerState.SUSPECT, *RECOVERING)


class Lifecycle(Protocol):
    """Inputs of the life cycle's state machine."""

    def suspect(self) -> None:
        """There is some evidence that a server in service fails."""

    def clear(self) -> None:
        """There is no longer any evidence that the server fails."""

    def eject(self) -> None:
        """The fleet's evidence is conclusive."""

    def avoid(self) -> None:
        """This VM's own evidence is conclusive, the fleet's is not."""

    def begin_probation(self) -> None:
        """The ejection has expired."""

    def begin_ramp(self) -> None:
        """Start to raise the server's weight to its full value."""

    def keep_in_service(self) -> None:
        """Keep a server in service as a suspect, because the floor needs it."""


class TrackedServer:
    """The state of one server that has evidence or past ejections.

    ``state_since`` is when the current state began, ``excluded_until`` when the
    current ejection ends. ``severity`` ranks ejected servers. ``n_ejections`` sets
    the length of the next ejection and decays over time. ``kept_by_floor`` is set
    while only the floor keeps the server in service; ``cold`` while the server is
    new and may be slow.

    The VMs spread their first tests of a suspect over ``verify_spread_s`` seconds;
    ``verifying`` is whether this VM was last asked to test it. ``bad_probe_at`` is
    when a probe last made the server suspect.

    ``local_judgement`` is based on this VM's own evidence, ``pooled_judgement`` on
    all evidence that this VM received, and ``fleet_judgement`` is what the monitors
    agree on. ``baselines`` holds how much evidence there was on the other servers
    when this one became suspect.
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
        self.local_judgement: Judgement = NO_SUSPICION
        self.fleet_judgement: Judgement = NO_SUSPICION
        self.pooled_judgement: Judgement = NO_SUSPICION
        self.sequential_test: SequentialTest = SequentialTest()
        self.baselines: dict[ServerId, Baseline] | None = None
        self.lifecycle = _LifecycleMachine(self)

    @property
    def is_excluded(self) -> bool:
        """Whether the server is ejected or avoided."""
        return self.state in EXCLUDED

    @property
    def ramp_s(self) -> float:
        """The time in seconds over which the server's weight rises."""
        return COLD_RAMP_S if self.cold else RAMP_S

    @property
    def suspicion(self) -> float:
        """The higher of the local and the fleet's suspicion."""
        return max(self.local_judgement.suspicion, self.fleet_judgement.suspicion)

    @property
    def score(self) -> float:
        """The higher of the local and the fleet's score."""
        return max(self.local_judgement.score, self.fleet_judgement.score)

    def record_bad_probe(self, now: float) -> bool:
        """Record a bad probe; return False during the cool-down of an earlier one."""
        if now < self.bad_probe_at + PROBE_COOLDOWN_S:
            return False
        self.bad_probe_at = now
        return True

    def probe_suspicion(self, now: float) -> float:
        """Return the suspicion from the last bad probe, 0 once it has expired."""
        return (
            PROBE_SUSPICION if now < self.bad_probe_at + PROBE_SUSPICION_TTL_S else 0.0
        )

    def has_decayed(self, now: float) -> bool:
        """Return whether past ejections no longer lengthen the next one."""
        n_decayed = int((now - self.last_ejected_at) / EJECTION_DECAY_S)
        return n_decayed >= self.n_ejections

    def record_ejection(self, now: float) -> float:
        """Record an ejection that starts now; return its length in seconds."""
        n_decayed = int((now - self.last_ejected_at) / EJECTION_DECAY_S)
        self.n_ejections = max(0, self.n_ejections - n_decayed) + 1
        self.last_ejected_at = now
        return min(MAX_EJECTION_S, EJECTION_S * 2.0 ** (self.n_ejections - 1))


TRANSITIONS = (
    (Lifecycle.suspect, (ServerState.HEALTHY,), ServerState.SUSPECT),
    (Lifecycle.clear, (ServerState.SUSPECT, ServerState.RAMPING), ServerState.HEALTHY),
    (Lifecycle.eject, (*IN_SERVICE, ServerState.AVOIDED), ServerState.EJECTED),
    (Lifecycle.avoid, IN_SERVICE, ServerState.AVOIDED),
    (Lifecycle.begin_probation, EXCLUDED, ServerState.PROBATION),
    (
        Lifecycle.begin_ramp,
        (ServerState.PROBATION, ServerState.HEALTHY),
        ServerState.RAMPING,
    ),
    (Lifecycle.keep_in_service, (*EXCLUDED, *RECOVERING), ServerState.SUSPECT),
)
"""All transitions of the life cycle: the input, the old states, the new state."""


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
