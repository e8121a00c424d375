"""Accounts for the memory and connections of clients, and selects which to close."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from heapq import nsmallest

from wagtailpaddle_resources.budget import ResourceBudget
from wagtailpaddle_resources.connection import Connection, ConnectionId, Phase

STALL_S = 1.5
"""A client without progress for this long makes room for others. Progress of readers
is looked at once a second."""

SMALL_BYTES = 128_000
"""A connection that holds no more than this may use the reserve."""

LARGE_SHARE = 7 / 8
"""Share of the memory for connections that hold much; the rest is the reserve."""

ADDRESS_SHARE = 3 / 4
"""Share of the memory for several large connections of one address."""

SHORT_SHARE = 3 / 4
"""Share of the memory in use from which memory counts as short."""

RESPONSE_SHARE = 1 / 8
"""Share of the memory that one response may hold while its client is slow."""

CLOSED_FRACTION = 64
"""When connections run short, one in so many is closed at a time."""

SEARCH_PAUSE_S = 0.1
"""A search that found nobody to close is not repeated before."""


class Reason(StrEnum):
    """Why a connection is closed or a request is refused."""

    CONNECTIONS = "connections"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class Close:
    """A connection to close, because ``reason`` ran short."""

    connection: ConnectionId
    reason: Reason


class ConnectionLedger:
    """Selects connections to close when memory or connections run short.

    The client that held most for longest without progress comes first. A request at
    work is never given up. A client that makes progress is not closed for memory: the
    one that asks for more is refused instead. A reserve is kept for connections that
    hold little, so that large bodies cannot keep out ordinary requests.

    >>> ledger = ConnectionLedger(ResourceBudget(memory_bytes=1000, connections=1))
    >>> ledger.open(0.0, ConnectionId(1), "10.0.0.1")
    ()
    >>> ledger.open(2.0, ConnectionId(2), "10.0.0.2")[0].connection
    1
    """

    def __init__(self, budget: ResourceBudget):
        self.budget = budget
        self.n_bytes = 0
        self.closed: Counter[Reason] = Counter()
        self._connections: dict[ConnectionId, Connection] = {}
        self._large_bytes: Counter[str] = Counter()
        self._search_at = float("-inf")

    def __len__(self) -> int:
        return len(self._connections)

    def __contains__(self, id: ConnectionId) -> bool:
        return id in self._connections

    def __getitem__(self, id: ConnectionId) -> Connection:
        """Return the state of an open connection. Raises ``KeyError``."""
        return self._connections[id]

    def open(self, now: float, id: ConnectionId, address: str) -> tuple[Close, ...]:
        """Add a connection; return whom to close for it, itself if nobody else."""
        victims: tuple[ConnectionId, ...] = ()
        if len(self._connections) >= self.budget.connections:
            victims = self._longest_unused(now) or (id,)
        for victim in victims:
            self.close(victim)
        if id not in victims:
            self._connections[id] = Connection(now, id, address)
        return tuple(self._closed(victim, Reason.CONNECTIONS) for victim in victims)

    def close(self, id: ConnectionId) -> None:
        """Remove a connection; an unknown one is ignored."""
        known = self._connections.pop(id, None)
        if known is not None:
            self._set_bytes(known, 0)

    def enter(self, now: float, id: ConnectionId, phase: Phase) -> None:
        """Record what a connection does now."""
        self._connections[id].enter(now, phase)

    def move(self, now: float, id: ConnectionId, n_bytes: int) -> None:
        """Record bytes that a client sent or read."""
        self._connections[id].move(now, n_bytes)

    def hold(self, now: float, id: ConnectionId, n_bytes: int) -> tuple[Close, ...]:
        """Record how many bytes a connection holds; return whom to close for it.

        If that is the connection itself, its request must be refused.
        """
        conn = self._connections[id]
        has_grown = n_bytes > conn.n_bytes
        self._set_bytes(conn, n_bytes)
        if not has_grown:
            return ()
        if self.n_bytes <= self._limit(conn):
            return ()
        closes: list[Close] = []
        victims = self._stalled_holders(now, conn)
        while self.n_bytes > self._limit(conn) and victims:
            victim = victims.pop()
            self.close(victim)
            closes.append(self._closed(victim, Reason.MEMORY))
        if self.n_bytes > self._limit(conn):
            closes.append(Close(id, Reason.MEMORY))
        return tuple(closes)

    def count_refusal(self) -> None:
        """Count a request that is refused because memory ran short."""
        self.closed[Reason.MEMORY] += 1

    def may_keep_response(self, id: ConnectionId) -> bool:
        """Return whether more of a response may be kept for a slow client."""
        conn = self._connections.get(id)
        if conn is None:
            return False
        total = self.budget.memory_bytes
        is_small = conn.n_bytes < total * RESPONSE_SHARE
        return is_small and self.n_bytes < total * SHORT_SHARE

    def is_short(self) -> bool:
        """Return whether connections or memory are nearly used up."""
        return (
            len(self._connections) >= self.budget.connections
            or self.n_bytes > self.budget.memory_bytes * SHORT_SHARE
        )

    def _closed(self, id: ConnectionId, reason: Reason) -> Close:
        self.closed[reason] += 1
        return Close(id, reason)

    def _set_bytes(self, conn: Connection, n_bytes: int) -> None:
        self.n_bytes += n_bytes - conn.n_bytes
        large = large_part(n_bytes) - large_part(conn.n_bytes)
        if large:
            self._large_bytes[conn.address] += large
            if not self._large_bytes[conn.address]:
                del self._large_bytes[conn.address]
        conn.n_bytes = n_bytes

    def _limit(self, conn: Connection) -> float:
        """Return how much may be held in total, so that this connection may grow."""
        if conn.n_bytes <= SMALL_BYTES:
            return self.budget.memory_bytes
        is_only_one = self._large_bytes[conn.address] == conn.n_bytes
        share = LARGE_SHARE if is_only_one else ADDRESS_SHARE
        return self.budget.memory_bytes * share

    def _stalled_holders(self, now: float, grown: Connection) -> list[ConnectionId]:
        """Return the stalled connections; those that held most for longest are last."""
        if now < self._search_at:
            return []
        stalled = [conn for conn in self._stalled(now) if conn is not grown]
        if not stalled:
            self._search_at = now + SEARCH_PAUSE_S
        stalled.sort(key=lambda conn: conn.n_bytes * conn.stalled_s(now))
        return [conn.id for conn in stalled]

    def _stalled(self, now: float) -> Iterator[Connection]:
        for conn in self._connections.values():
            if conn.n_bytes and conn.stalled_s(now) >= STALL_S:
                yield conn

    def _longest_unused(self, now: float) -> tuple[ConnectionId, ...]:
        """Return the connections that are worth least to their clients.

        Those that are idle or stalled come before those that send a request with
        progress, those without a complete request before the others, and then the
        ones whose phase began first. There are none if all have a request at work or
        read with progress. Several at a time are found, as the search looks at all
        connections.
        """

        def worth(conn: Connection) -> tuple[bool, bool, float]:
            is_sending = conn.phase is Phase.RECEIVING
            has_progress = is_sending and conn.stalled_s(now) < STALL_S
            return has_progress, conn.n_requests > 0, conn.since

        unused = (
            conn
            for conn in self._connections.values()
            if conn.phase in (Phase.IDLE, Phase.RECEIVING)
            or conn.stalled_s(now) >= STALL_S
        )
        found = nsmallest(
            max(1, self.budget.connections // CLOSED_FRACTION),
            unused,
            key=worth,
        )
        return tuple(conn.id for conn in found)


def large_part(n_bytes: int) -> int:
    """Return ``n_bytes`` if a connection that holds them counts as large, else 0."""
    return n_bytes if n_bytes > SMALL_BYTES else 0
