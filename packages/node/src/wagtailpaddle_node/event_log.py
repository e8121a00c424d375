"""Events of the control plane that the host writes to its log."""

from collections.abc import Sequence
from typing import Any

from wagtailpaddle_replica import Change

from wagtailpaddle_node.messages import LogEvent

MAX_EVENTS = 256
MAX_LOGGED_SERVERS = 20


class EventLog:
    """Holds events until the host collects them; surplus ones are dropped.

    >>> events = EventLog()
    >>> events.record("Configuration in force.", version=7)
    >>> events.pop()
    (LogEvent(event='Configuration in force.', facts=(('version', 7),)),)
    """

    def __init__(self) -> None:
        self._events: list[LogEvent] = []

    def record(self, event: str, **facts: object) -> None:
        """Add an event."""
        if len(self._events) < MAX_EVENTS:
            self._events.append(LogEvent(event, tuple(facts.items())))

    def record_servers(
        self, changes: Sequence[Change], *, lapsed: bool, age_s: float
    ) -> None:
        """Add an event for each changed server, a single one if there are many.

        ``lapsed`` says whether entries of live servers may have expired in an outage
        of the store, ``age_s`` is the age of the copy in seconds.
        """
        if len(changes) > MAX_LOGGED_SERVERS:
            n_gone = sum(item.value is None for item in changes)
            self.record("Servers changed.", n_gone=n_gone, n_changed=len(changes))
            return
        for item in changes:
            self._record_server(item.key, item.value, lapsed=lapsed, age_s=age_s)

    def pop(self) -> tuple[LogEvent, ...]:
        """Remove and return the events since the last call."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def _record_server(
        self, key: str, entry: Any, *, lapsed: bool, age_s: float
    ) -> None:
        age_s = round(age_s, 3)
        if entry is None:
            self.record("Server is gone.", server=key, lapsed=lapsed, age_s=age_s)
            return
        self.record(
            "Server registered.",
            server=key,
            service=entry.service,
            leaving=entry.server.leaving,
            age_s=age_s,
        )
