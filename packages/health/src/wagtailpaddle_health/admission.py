"""The life cycle of one backend server between trusted and ejected."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder
from wagtailpaddle_core import ServerId

from wagtailpaddle_health.evidence import Evidence, Mark
from wagtailpaddle_health.inquiry import Inquiry
from wagtailpaddle_health.messages import ServerState
from wagtailpaddle_health.scan import NOTHING, Judgement

EJECTION_S = 10.0
MAX_EJECTION_S = 300.0
FORGIVE_S = 300.0
PROBATION_S = 4.0
MAX_PROBATION_S = 24.0
RAMP_S = 10.0
COLD_RAMP_S = 30.0
HINT_LIFE_S = 2.0
HINT_REST_S = 30.0
HINT_SUSPICION = 0.2

OUT = (ServerState.EJECTED, ServerState.AVOIDED)
RECOVERING = (ServerState.PROBATION, ServerState.RAMPING)
WORKING = (ServerState.HEALTHY, ServerState.SUSPECT, *RECOVERING)


class Admission(Protocol):
    """Inputs of the life cycle."""

    def doubt(self) -> None:
        """Evidence speaks against a working server."""

    def trust(self) -> None:
        """The evidence against a server is gone."""

    def eject(self) -> None:
        """The fleet's evidence is conclusive."""

    def avoid(self) -> None:
        """This VM's own evidence is conclusive, the fleet's is not."""

    def test(self) -> None:
        """The ejection time is over."""

    def ramp(self) -> None:
        """Let the server's share grow."""

    def hold(self) -> None:
        """Let a server work, distrusted, because it is needed."""


class Track:
    """All that a VM keeps on one server with evidence or a past.

    ``until`` ends the present ejection, ``since`` began the present state,
    ``severity`` ranks ejected servers, ``n_ejections`` sets the next ejection's
    length and is forgiven over time. ``kept`` says that the floor alone keeps
    the server working; ``cold`` that it is new and may be slow at first.
    ``spread_s`` is how long the VMs take to begin testing it as a suspect,
    ``verifying`` whether this VM was last told to.
    ``hinted_at`` is when a probe last made it suspect. ``pooled`` is this VM's
    judgement of all evidence told to it, ``fleet`` what the watchers agree on.
    ``marks`` holds the evidence on the other servers when the present doubt
    began.
    """

    __slots__ = (
        "admission",
        "cold",
        "evidence",
        "fleet",
        "hinted_at",
        "inquiry",
        "judged_at",
        "kept",
        "last_ejected_at",
        "local",
        "marks",
        "n_ejections",
        "pooled",
        "reason",
        "server",
        "severity",
        "since",
        "spread_s",
        "state",
        "until",
        "verifying",
    )

    def __init__(self, server: ServerId) -> None:
        self.server = server
        self.state: ServerState = ServerState.HEALTHY
        self.evidence: Evidence = Evidence()
        self.since: float = 0.0
        self.until: float = 0.0
        self.severity: int = 0
        self.n_ejections: int = 0
        self.last_ejected_at: float = 0.0
        self.judged_at: float = float("-inf")
        self.reason: str = ""
        self.kept: bool = False
        self.spread_s: float = 0.0
        self.verifying: bool = False
        self.hinted_at: float = float("-inf")
        self.cold: bool = False
        self.local: Judgement = NOTHING
        self.fleet: Judgement = NOTHING
        self.pooled: Judgement = NOTHING
        self.inquiry: Inquiry = Inquiry()
        self.marks: dict[ServerId, Mark] | None = None
        self.admission = _AdmissionMachine(self)

    @property
    def is_out(self) -> bool:
        """Whether the server is ejected or avoided."""
        return self.state in OUT

    @property
    def ramp_s(self) -> float:
        """How long the server's share grows, in seconds."""
        return COLD_RAMP_S if self.cold else RAMP_S

    @property
    def suspicion(self) -> float:
        """The stronger of the local and the fleet's suspicion."""
        return max(self.local.suspicion, self.fleet.suspicion)

    @property
    def score(self) -> float:
        """The stronger of the local and the fleet's score."""
        return max(self.local.score, self.fleet.score)

    def hint(self, now: float) -> bool:
        """Note a bad probe; return whether it counts."""
        if now < self.hinted_at + HINT_REST_S:
            return False
        self.hinted_at = now
        return True

    def hinted(self, now: float) -> float:
        """Return the suspicion that a probe raised and that still holds."""
        return HINT_SUSPICION if now < self.hinted_at + HINT_LIFE_S else 0.0

    def is_forgiven(self, now: float) -> bool:
        """Whether past ejections no longer lengthen the next one."""
        n_forgiven = int((now - self.last_ejected_at) / FORGIVE_S)
        return n_forgiven >= self.n_ejections

    def lengthen(self, now: float) -> float:
        """Count an ejection that starts now; return its length in seconds."""
        n_forgiven = int((now - self.last_ejected_at) / FORGIVE_S)
        self.n_ejections = max(0, self.n_ejections - n_forgiven) + 1
        self.last_ejected_at = now
        return min(MAX_EJECTION_S, EJECTION_S * 2.0 ** (self.n_ejections - 1))


MOVES = (
    (Admission.doubt, (ServerState.HEALTHY,), ServerState.SUSPECT),
    (Admission.trust, (ServerState.SUSPECT, ServerState.RAMPING), ServerState.HEALTHY),
    (Admission.eject, (*WORKING, ServerState.AVOIDED), ServerState.EJECTED),
    (Admission.avoid, WORKING, ServerState.AVOIDED),
    (Admission.test, OUT, ServerState.PROBATION),
    (Admission.ramp, (ServerState.PROBATION, ServerState.HEALTHY), ServerState.RAMPING),
    (Admission.hold, (*OUT, *RECOVERING), ServerState.SUSPECT),
)
"""Every move of the life cycle: the input, the states it leaves, the new one."""


def _build_machine() -> TypeMachineBuilder[Admission, Track]:
    builder = TypeMachineBuilder(Admission, Track)
    states = {kind: builder.state(kind.value) for kind in ServerState}

    def add(
        move: Callable[[Admission], None], before: ServerState, after: ServerState
    ) -> None:
        @states[before].upon(move).to(states[after])
        def enter(admission: Admission, track: Track) -> None:
            track.state = after

    for move, left, after in MOVES:
        for before in left:
            add(move, before, after)
    return builder


_AdmissionMachine = _build_machine().build()
