"""Choice of backend server, fair queues, concurrency limits, retries."""

from wagtailpaddle_routing.answers import (
    LEAVING_PARSERS,
    LIMIT_PARSERS,
    LOAD_PARSERS,
    MAX_REST_S,
    OWN_SHED_ANSWERS,
    REST_PARSERS,
    SHED_ANSWERS,
    interpret,
    is_leaving,
    parse_limit,
    parse_load,
)
from wagtailpaddle_routing.choosers import CHOOSERS
from wagtailpaddle_routing.cold_servers import ColdServers
from wagtailpaddle_routing.connection_shares import ConnectionShares, servers_per_vm
from wagtailpaddle_routing.dispatcher import Dispatcher
from wagtailpaddle_routing.idle import IdleBound
from wagtailpaddle_routing.idle_servers import IDLE_REASONS, IdleServers
from wagtailpaddle_routing.inspection import FACTS, Candidate, Effect, Fact
from wagtailpaddle_routing.leaving import LeavingNotice, LeavingServers
from wagtailpaddle_routing.limits import LIMITERS
from wagtailpaddle_routing.messages import (
    NOT_RUN_OUTCOMES,
    Action,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Job,
    Refuse,
    ServerStatus,
    ServerView,
    ServiceStatus,
)
from wagtailpaddle_routing.policy import Policy
from wagtailpaddle_routing.probes import (
    Probe,
    ProbeOutcome,
    ProbeReading,
    ProbeResult,
    ProbeScheduler,
    interpret_probe,
)
from wagtailpaddle_routing.queues import QUEUES
from wagtailpaddle_routing.ranked import RankedQueue
from wagtailpaddle_routing.serverset import connection_cap
from wagtailpaddle_routing.subset import SUBSETTERS, subset, subset_size
from wagtailpaddle_routing.suspects import TrustNotice
from wagtailpaddle_routing.warmup import EXCESS as WARMUP_EXCESS
from wagtailpaddle_routing.warmup import SLACK as WARMUP_SLACK
from wagtailpaddle_routing.warmup import WarmupSharers
from wagtailpaddle_routing.warmup_sharers import WarmupSharerTracker
from wagtailpaddle_routing.zone_overflow import Crossing, OverflowShare, ZoneRoom
from wagtailpaddle_routing.zone_pickers import ZoneSharesPicker

__all__ = [
    "CHOOSERS",
    "FACTS",
    "IDLE_REASONS",
    "IdleServers",
    "LIMITERS",
    "LEAVING_PARSERS",
    "LIMIT_PARSERS",
    "LOAD_PARSERS",
    "MAX_REST_S",
    "REST_PARSERS",
    "OWN_SHED_ANSWERS",
    "QUEUES",
    "SHED_ANSWERS",
    "SUBSETTERS",
    "NOT_RUN_OUTCOMES",
    "Action",
    "AttemptOutcome",
    "AttemptResult",
    "CancelAttempt",
    "Candidate",
    "Deliver",
    "Dispatch",
    "Dispatcher",
    "Effect",
    "Fact",
    "IdleBound",
    "Job",
    "LeavingServers",
    "LeavingNotice",
    "Policy",
    "Probe",
    "ProbeOutcome",
    "ProbeScheduler",
    "ProbeResult",
    "RankedQueue",
    "ProbeReading",
    "Refuse",
    "ServerStatus",
    "ServerView",
    "ServiceStatus",
    "TrustNotice",
    "WARMUP_EXCESS",
    "WARMUP_SLACK",
    "ColdServers",
    "WarmupSharerTracker",
    "WarmupSharers",
    "ZoneRoom",
    "ZoneSharesPicker",
    "Crossing",
    "OverflowShare",
    "ConnectionShares",
    "interpret",
    "connection_cap",
    "is_leaving",
    "parse_limit",
    "parse_load",
    "servers_per_vm",
    "interpret_probe",
    "subset",
    "subset_size",
]
