"""Logging with structlog; each part of the daemon has a fixed prefix."""

import logging
import sys
from collections.abc import Callable
from typing import Any

import structlog

from wagtailpaddle_daemon.logsink import BoundedStream

NOISY_LOGGERS = ("asyncio", "grpclib")
"""Loggers that report lost peer connections, which the peer link logs itself."""

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def setup_logs(
    *, format: str = "console", level: str = "info", stream: Any = None
) -> Callable[[], None]:
    """Write log lines to ``stream`` (default: standard error) as text or JSON.

    Returns a function to call periodically, which writes lines that the stream
    did not accept immediately. A stream without a file descriptor is written to
    directly.
    """
    target: Any = stream or sys.stderr
    write_pending: Callable[[], None] = _do_nothing
    try:
        target = BoundedStream(target.fileno())
        write_pending = target.write_pending
    except OSError:
        pass
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
            _add_prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(target),
        cache_logger_on_first_use=False,
    )
    return write_pending


def _do_nothing() -> None:
    """Placeholder for streams that do not buffer lines."""


def get_logger(part: str) -> Any:
    """Return the logger of a part of the daemon; its lines start with ``part:``."""
    return structlog.get_logger(part=part)


class LogThrottle:
    """Allows one log line of a kind per interval and counts suppressed lines.

    >>> throttle = LogThrottle(interval_s=60.0)
    >>> throttle.permit(0.0, "read"), throttle.permit(1.0, "read")
    (0, None)
    >>> throttle.permit(61.0, "read")
    1
    """

    def __init__(self, *, interval_s: float = 60.0):
        self._interval_s = interval_s
        self._last_at: dict[str, float] = {}
        self._n_suppressed: dict[str, int] = {}

    def permit(self, now: float, kind: str) -> int | None:
        """Return how many lines were suppressed, or None to suppress this one."""
        if now - self._last_at.get(kind, float("-inf")) < self._interval_s:
            self._n_suppressed[kind] = self._n_suppressed.get(kind, 0) + 1
            return None
        self._last_at[kind] = now
        return self._n_suppressed.pop(kind, 0)

    def reset(self, kind: str) -> int:
        """Reset a kind whose cause ended; return how many lines were suppressed."""
        self._last_at.pop(kind, None)
        return self._n_suppressed.pop(kind, 0)


def _add_prefix(_logger: Any, _method: str, event: Any) -> Any:
    part = event.pop("part", None)
    if part:
        event["event"] = f"{part}: {event['event']}"
    return event
