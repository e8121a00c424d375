"""Outlier detection for backend servers: evidence, ejection, re-admission."""

from wagtailpaddle_health.detector import OutlierDetector
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
from wagtailpaddle_health.monitors import N_MONITORS, select_monitors

__all__ = [
    "N_MONITORS",
    "OutlierDetector",
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
    "select_monitors",
]
