"""Evidence windows, gray-failure detection, ejection and re-admission."""

from wagtailpaddle_health.book import HealthBook
from wagtailpaddle_health.messages import (
    HealthDigest,
    Observation,
    Pool,
    PoolServer,
    ServerDigest,
    ServerHealth,
    ServerState,
    Verdict,
)

__all__ = [
    "HealthBook",
    "HealthDigest",
    "Observation",
    "Pool",
    "PoolServer",
    "ServerDigest",
    "ServerHealth",
    "ServerState",
    "Verdict",
]
