"""Which request a response belongs to, by the request id that it echoes."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

MAX_CARRIED_IDS = 200


class Match(StrEnum):
    """What the echoed id tells of a response.

    ``COPY`` echoes the id of an earlier request on the same connection, ``FOREIGN``
    any other id, or several, and ``UNNAMED`` none though one is required.
    """

    OWN = "own"
    COPY = "copy"
    FOREIGN = "foreign"
    UNNAMED = "unnamed"


class CarriedIds:
    """The ids of the requests that were sent on one connection.

    Callers choose ids of any length, so only their hashes are kept, at most
    ``MAX_CARRIED_IDS``.

    >>> carried = CarriedIds()
    >>> carried.add(b"a1")
    >>> b"a1" in carried, b"b2" in carried
    (True, False)
    """

    __slots__ = ("_hashes",)

    def __init__(self) -> None:
        self._hashes: set[int] = set()

    def __contains__(self, request_id: bytes) -> bool:
        return hash(request_id) in self._hashes

    @property
    def is_full(self) -> bool:
        """Whether the connection must carry no further request."""
        return len(self._hashes) >= MAX_CARRIED_IDS

    def add(self, request_id: bytes) -> None:
        """Record that a request was sent on the connection."""
        self._hashes.add(hash(request_id))


@dataclass(frozen=True, slots=True)
class Echo:
    """The id that the response to a request echoes, and in which header.

    A request without an id, such as a probe, has an empty ``request_id``. A response
    without the header is accepted unless ``is_required``.

    >>> from twisted.web.http_headers import Headers
    >>> Echo(b"X-Request-Id", b"a1").is_own(Headers({b"X-Request-Id": [b"b2"]}))
    False
    """

    header: bytes
    request_id: bytes
    is_required: bool = False

    def is_own(self, headers: Any) -> bool:
        """Return whether a response with these headers may answer the request."""
        echoed = self.echoed(headers)
        if not echoed:
            return not self.is_required
        return not self.request_id or set(echoed) == {self.request_id}

    def match(self, headers: Any, carried: CarriedIds) -> Match:
        """Return what a response on a connection that carried these ids is.

        A request without an id takes a response with any other id for its own.
        """
        echoed = set(self.echoed(headers))
        if len(echoed) == 1 and self.request_id not in echoed:
            (other_id,) = echoed
            if other_id in carried:
                return Match.COPY
        if self.is_own(headers):
            return Match.OWN
        return Match.FOREIGN if echoed else Match.UNNAMED

    def echoed(self, headers: Any) -> tuple[bytes, ...]:
        """Return the ids that a response echoes."""
        return tuple(headers.getRawHeaders(self.header) or ())


NO_ECHO = Echo(b"X-Request-Id", b"")
