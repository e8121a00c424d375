"""The state of a caller's request in flight."""

from typing import Any

from twisted.internet.defer import Deferred
from wagtailpaddle_core import ServerId, ServiceId
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_routing import AttemptOutcome

from wagtailpaddle_daemon.caller import Caller
from wagtailpaddle_daemon.echo import Echo
from wagtailpaddle_daemon.upstream import BodyReader, OutgoingRequest, ResponseHead


class Exchange:
    """A request in flight, its running attempt and the response so far.

    ``attempt`` is 0 while no attempt runs. ``buffer`` holds the start of the
    response's body until ``committed``: from then on the response is streamed to
    the caller and no other attempt is possible. ``outcome`` is what the head of the
    response says of the attempt, if the response is complete. ``queued_s`` is the
    time spent in queues, over all attempts.
    """

    __slots__ = (
        "arrived_at",
        "attempt",
        "buffer",
        "caller",
        "committed",
        "deadline_at",
        "echo",
        "external_id",
        "head",
        "load",
        "n_attempts",
        "n_buffered",
        "outcome",
        "outgoing",
        "pending",
        "queued_s",
        "reader",
        "rest_s",
        "server",
        "started_at",
        "stated_limit",
        "timer",
    )

    def __init__(
        self,
        caller: Caller,
        outgoing: OutgoingRequest,
        echo: Echo,
        external_id: bytes = b"",
        arrived_at: float = 0.0,
    ) -> None:
        self.caller = caller
        self.outgoing = outgoing
        self.echo = echo
        self.external_id = external_id
        self.arrived_at = arrived_at
        self.deadline_at = arrived_at
        self.queued_s: float = 0.0
        self.n_attempts: int = 0
        self.server: tuple[ServiceId, ServerId] = (ServiceId(""), ServerId(""))
        self.load: float | None = None
        self.stated_limit: float | None = None
        self.rest_s: float | None = None
        self.attempt: int = 0
        self.started_at: float = 0.0
        self.pending: Deferred[Any] | None = None
        self.reader: BodyReader | None = None
        self.head: ResponseHead | None = None
        self.buffer: list[bytes] = []
        self.n_buffered: int = 0
        self.committed: bool = False
        self.outcome: AttemptOutcome = AttemptOutcome.FAILED
        self.timer: Any = None


def stored_answer(exchange: Exchange) -> StoredAnswer | None:
    """Return the response to store for repeated requests.

    None if it was streamed to the caller, so that it is no longer complete here.
    """
    if exchange.committed or exchange.head is None:
        return None
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in exchange.head.headers
    )
    return StoredAnswer(exchange.head.status, headers, b"".join(exchange.buffer))
