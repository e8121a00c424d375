"""Registry of valid and faulty health pages of stand-in backend servers."""

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from wagtailpaddle_core import Registry

from wagtailpaddle_standins.faults import respond

HealthPage = Callable[[Any, float, float], None]
"""Responds to a probe: (request, parameter, seconds since the page was set)."""

HEALTH_PAGES: Registry[HealthPage] = Registry("health page")


def respond_with_state(
    request: Any, state: str, load: float, status: int = 200
) -> None:
    """Respond with a page that reports ``state`` and ``load``."""
    respond(request, json.dumps({"state": state, "load": load}).encode(), status)


@HEALTH_PAGES.register("serving")
def serving(request: Any, load: float, _: float) -> None:
    """Report that the server is serving, with its ``load``."""
    respond_with_state(request, "serving", load)


@HEALTH_PAGES.register("leaving")
def leaving(request: Any, _: float, __: float) -> None:
    """Report that the server is draining, with the usual status 503."""
    respond_with_state(request, "draining", 0.0, 503)


@HEALTH_PAGES.register("lagging")
def lagging(request: Any, lag_s: float, age_s: float) -> None:
    """Report that the server is draining only after ``lag_s`` seconds."""
    respond_with_state(request, "serving" if age_s < lag_s else "draining", 0.0)


@HEALTH_PAGES.register("lying")
def lying(request: Any, load: float, _: float) -> None:
    """Report the state serving with a ``load`` that is out of range."""
    respond_with_state(request, "serving", load)


@HEALTH_PAGES.register("garbage")
def garbage(request: Any, _: float, __: float) -> None:
    """Respond with a body that starts like JSON but is malformed."""
    respond(request, b"{" * 3000)


@HEALTH_PAGES.register("oversized")
def oversized(request: Any, n_bytes: float, _: float) -> None:
    """Respond with a page whose state is ``n_bytes`` long."""
    respond(request, b'{"state": "' + b"x" * int(n_bytes) + b'"}')


@HEALTH_PAGES.register("nonsense")
def nonsense(request: Any, _: float, __: float) -> None:
    """Send bytes that are not an HTTP response, then close."""
    request.channel.transport.write(b"\x00 no answer\r\n\r\n")
    request.channel.loseConnection()


@HEALTH_PAGES.register("slow")
def slow(request: Any, delay_s: float, _: float) -> None:
    """Respond after ``delay_s`` seconds."""
    loop: Any = reactor
    loop.callLater(delay_s, respond_with_state, request, "serving", 0.0)


@HEALTH_PAGES.register("hang")
def hang(request: Any, _: float, __: float) -> None:
    """Never respond."""
