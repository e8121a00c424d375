"""Evidence windows, gray-failure detection, ejection and re-admission."""

from wagtailpaddle_health.book import HealthBook
from wagtailpaddle_health.messages import (
    HealthDigest,
    HealthEvent,
    HealthEventKind,
    Observation,
    Opinion,
    Pool,
    PoolServer,
    ServerDigest,
    ServerHealth,
    ServerState,
    Verdict,
)
from wagtailpaddle_health.watchers import N_WATCHERS, watchers

__all__ = [
    "N_WATCHERS",
    "HealthBook",
    "HealthDigest",
    "HealthEvent",
    "HealthEventKind",
    "Observation",
    "Opinion",
    "Pool",
    "PoolServer",
    "ServerDigest",
    "ServerHealth",
    "ServerState",
    "Verdict",
    "watchers",
]
