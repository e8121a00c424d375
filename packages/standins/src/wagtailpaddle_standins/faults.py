"""Faults of stand-in backend servers, by name."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from wagtailpaddle_core import Registry

Fault = Callable[[Any, bytes, float], None]
"""Answers a request badly: (request, the good body, parameter)."""

FAULTS: Registry[Fault] = Registry("fault")


def answer(request: Any, body: bytes, status: int = 200) -> None:
    """Answer a request whole, unless its caller is gone."""
    if request.channel is None:
        return
    request.setResponseCode(status)
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()


@FAULTS.register("slow")
def slow(request: Any, body: bytes, seconds: float) -> None:
    """Answer after ``seconds``."""
    loop: Any = reactor
    loop.callLater(seconds, answer, request, body)


@FAULTS.register("leaving")
def leaving(request: Any, body: bytes, seconds: float) -> None:
    """Answer well after ``seconds`` and say that the server leaves."""
    request.setHeader(b"x-server-state", b"leaving")
    slow(request, body, seconds)


@FAULTS.register("hang")
def hang(request: Any, body: bytes, _: float) -> None:
    """Never answer."""


@FAULTS.register("error")
def error(request: Any, body: bytes, _: float) -> None:
    """Answer 500."""
    answer(request, b"broken", 500)


@FAULTS.register("shed")
def shed(request: Any, body: bytes, _: float) -> None:
    """Refuse the work before it ran and say so."""
    request.setHeader(b"x-outcome", b"not-run")
    answer(request, b"busy", 503)


@FAULTS.register("close")
def close(request: Any, body: bytes, _: float) -> None:
    """Close the connection in place of an answer."""
    request.channel.transport.abortConnection()


@FAULTS.register("cut")
def cut(request: Any, body: bytes, _: float) -> None:
    """Announce a whole answer, send a part of it and close."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(body) + 100)
    request.channel.transport.write(head + body[:10])
    request.channel.loseConnection()


@FAULTS.register("cut-late")
def cut_late(request: Any, body: bytes, n_bytes: float) -> None:
    """Close after ``n_bytes`` of an answer that should be one byte longer."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (n_bytes + 1)
    request.channel.transport.write(head + b"x" * int(n_bytes))
    request.channel.loseConnection()


@FAULTS.register("double")
def double(request: Any, body: bytes, _: float) -> None:
    """Send an answer to somebody else after the right one."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    stray = b"answer to another request"
    data = head % len(body) + body + head % len(stray) + stray
    request.channel.transport.write(data)


@FAULTS.register("crossed")
def crossed(request: Any, body: bytes, _: float) -> None:
    """Answer in the name of another request."""
    request.setHeader(b"x-request-id", b"of-somebody-else")
    answer(request, b"answer to another request")


@FAULTS.register("garbage")
def garbage(request: Any, body: bytes, _: float) -> None:
    """Send bytes that are no answer."""
    request.channel.transport.write(b"\x00\x01 nonsense\r\n\r\n")
    request.channel.loseConnection()


@FAULTS.register("bomb")
def bomb(request: Any, body: bytes, n_headers: float) -> None:
    """Send very many headers."""
    lines = b"".join(
        b"X-%d: %s\r\n" % (index, b"x" * 1000) for index in range(int(n_headers))
    )
    data = b"HTTP/1.1 200 OK\r\n" + lines + b"Content-Length: 0\r\n\r\n"
    request.channel.transport.write(data)


@FAULTS.register("big")
def big(request: Any, body: bytes, n_bytes: float) -> None:
    """Answer with a body of ``n_bytes``."""
    answer(request, b"x" * int(n_bytes))
