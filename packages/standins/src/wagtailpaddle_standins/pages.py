"""Health pages of stand-in backend servers, good and bad, by name."""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from wagtailpaddle_core import Registry

from wagtailpaddle_standins.faults import answer

HealthPage = Callable[[Any, float, float], None]
"""Answers a probe: (request, parameter, seconds since it was set)."""

HEALTH_PAGES: Registry[HealthPage] = Registry("health page")


def state(request: Any, word: str, load: float, status: int = 200) -> None:
    """Answer with a page that states ``word`` and ``load``."""
    answer(request, json.dumps({"state": word, "load": load}).encode(), status)


@HEALTH_PAGES.register("serving")
def serving(request: Any, load: float, _: float) -> None:
    """Say that all is well."""
    state(request, "serving", load)


@HEALTH_PAGES.register("leaving")
def leaving(request: Any, _: float, __: float) -> None:
    """Say that the server leaves, with the status that many servers use."""
    state(request, "draining", 0.0, 503)


@HEALTH_PAGES.register("lagging")
def lagging(request: Any, lag_s: float, age_s: float) -> None:
    """Say that the server leaves after ``lag_s`` seconds only."""
    state(request, "serving" if age_s < lag_s else "draining", 0.0)


@HEALTH_PAGES.register("lying")
def lying(request: Any, load: float, _: float) -> None:
    """Say things that cannot be true."""
    state(request, "serving", load)


@HEALTH_PAGES.register("garbage")
def garbage(request: Any, _: float, __: float) -> None:
    """Answer with what begins like a page and is none."""
    answer(request, b"{" * 3000)


@HEALTH_PAGES.register("oversized")
def oversized(request: Any, n_bytes: float, _: float) -> None:
    """Answer with a page of ``n_bytes``."""
    answer(request, b'{"state": "' + b"x" * int(n_bytes) + b'"}')


@HEALTH_PAGES.register("nonsense")
def nonsense(request: Any, _: float, __: float) -> None:
    """Send bytes that are no answer and close."""
    request.channel.transport.write(b"\x00 no answer\r\n\r\n")
    request.channel.loseConnection()


@HEALTH_PAGES.register("slow")
def slow(request: Any, delay_s: float, _: float) -> None:
    """Answer after ``delay_s`` seconds."""
    loop: Any = reactor
    loop.callLater(delay_s, state, request, "serving", 0.0)


@HEALTH_PAGES.register("hang")
def hang(request: Any, _: float, __: float) -> None:
    """Never answer."""
