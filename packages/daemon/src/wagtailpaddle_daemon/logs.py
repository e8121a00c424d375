"""Logging: structlog with a fixed prefix per part."""

import logging
import sys
from typing import Any

import structlog

NOISY_LOGGERS = ("asyncio", "grpclib")
"""Their lines tell of peers that went away, which the peer link reports itself."""

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def setup_logs(*, format: str = "console", level: str = "info") -> None:
    """Send log lines to standard error as text or JSON."""
    for name in NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.CRITICAL)
    renderer: Any
    if format == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(part: str) -> Any:
    """Return the logger of a part; its lines start with ``part:``."""
    return structlog.get_logger(part=part)


def _prefix(_logger: Any, _method: str, event: Any) -> Any:
    part = event.pop("part", None)
    if part:
        event["event"] = f"{part}: {event['event']}"
    return event
