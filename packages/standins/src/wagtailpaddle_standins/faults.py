"""Registry of the faults that stand-in backend servers inject, by name."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from wagtailpaddle_core import Registry

Fault = Callable[[Any, bytes, float], None]
"""Injects a fault: (request, the normal body, parameter)."""

FAULTS: Registry[Fault] = Registry("fault")
REFUSALS: Registry[Fault] = Registry("refusal")
"""The faults that refuse a request before it runs, each also in ``FAULTS``."""


def respond(request: Any, body: bytes, status: int = 200) -> None:
    """Send a complete response, unless the caller has disconnected."""
    if request.channel is None:
        return
    request.setResponseCode(status)
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()


@FAULTS.register("slow")
def slow(request: Any, body: bytes, seconds: float) -> None:
    """Respond after ``seconds``."""
    loop: Any = reactor
    loop.callLater(seconds, respond, request, body)


@FAULTS.register("leaving")
def leaving(request: Any, body: bytes, seconds: float) -> None:
    """Respond normally after ``seconds``, announcing that the server leaves."""
    request.setHeader(b"x-server-state", b"leaving")
    slow(request, body, seconds)


@FAULTS.register("hang")
def hang(request: Any, body: bytes, _: float) -> None:
    """Never respond."""


@FAULTS.register("error")
def error(request: Any, body: bytes, _: float) -> None:
    """Respond with status 500."""
    respond(request, b"broken", 500)


@REFUSALS.register("shed")
@FAULTS.register("shed")
def shed(request: Any, body: bytes, _: float) -> None:
    """Shed the request with 503 and a header saying that it did not run."""
    request.setHeader(b"x-outcome", b"not-run")
    respond(request, b"busy", 503)


@FAULTS.register("close")
def close(request: Any, body: bytes, _: float) -> None:
    """Abort the connection instead of responding."""
    request.channel.transport.abortConnection()


@FAULTS.register("cut")
def cut(request: Any, body: bytes, _: float) -> None:
    """Send the head and only the first bytes of the body, then close."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(body) + 100)
    request.channel.transport.write(head + body[:10])
    request.channel.loseConnection()


@FAULTS.register("cut-late")
def cut_late(request: Any, body: bytes, n_bytes: float) -> None:
    """Close after ``n_bytes`` of a body announced as one byte longer."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (n_bytes + 1)
    request.channel.transport.write(head + b"x" * int(n_bytes))
    request.channel.loseConnection()


@FAULTS.register("double")
def double(request: Any, body: bytes, _: float) -> None:
    """Send a second, unsolicited response after the correct one."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    stray = b"answer to another request"
    data = head % len(body) + body + head % len(stray) + stray
    request.channel.transport.write(data)


@FAULTS.register("crossed")
def crossed(request: Any, body: bytes, _: float) -> None:
    """Respond with the ID of a different request."""
    request.setHeader(b"x-request-id", b"of-somebody-else")
    respond(request, b"answer to another request")


@FAULTS.register("garbage")
def garbage(request: Any, body: bytes, _: float) -> None:
    """Send bytes that are not an HTTP response, then close."""
    request.channel.transport.write(b"\x00\x01 nonsense\r\n\r\n")
    request.channel.loseConnection()


@FAULTS.register("bomb")
def bomb(request: Any, body: bytes, n_headers: float) -> None:
    """Respond with ``n_headers`` headers of 1000 bytes each."""
    lines = b"".join(
        b"X-%d: %s\r\n" % (index, b"x" * 1000) for index in range(int(n_headers))
    )
    data = b"HTTP/1.1 200 OK\r\n" + lines + b"Content-Length: 0\r\n\r\n"
    request.channel.transport.write(data)


@FAULTS.register("big")
def big(request: Any, body: bytes, n_bytes: float) -> None:
    """Respond with a body of ``n_bytes``."""
    respond(request, b"x" * int(n_bytes))
