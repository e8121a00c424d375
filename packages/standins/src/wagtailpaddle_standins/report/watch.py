"""Records how the daemons' states of their servers change over time."""

from collections.abc import Callable
from dataclasses import dataclass

from wagtailpaddle_standins.client import Client

EXCLUDED_STATES = frozenset({"ejected", "avoided"})


@dataclass(frozen=True, slots=True)
class Change:
    """A daemon began (``is_excluded``) or ceased to eject or avoid a server.

    ``at_s`` is in seconds from the start of the load.
    """

    at_s: float
    daemon: int
    server: str
    is_excluded: bool


class Watcher:
    """Polls daemons for the states of servers and records the changes."""

    def __init__(
        self,
        operators: list[Client],
        services: list[str],
        clock: Callable[[], float],
    ):
        self._operators = operators
        self._services = services
        self._clock = clock
        self._excluded: list[frozenset[str]] = [frozenset() for _ in operators]
        self.changes: list[Change] = []

    def poll(self) -> None:
        """Poll every daemon once."""
        for index, operator in enumerate(self._operators):
            excluded = frozenset(self._read_excluded(operator))
            at_s = self._clock()
            for server in sorted(excluded ^ self._excluded[index]):
                self.changes.append(Change(at_s, index, server, server in excluded))
            self._excluded[index] = excluded

    def _read_excluded(self, operator: Client) -> list[str]:
        found = []
        for service in self._services:
            reply = operator.request("GET", f"/v1/services/{service}").json()
            found += [
                server["id"]
                for server in reply["servers"]
                if server["state"] in EXCLUDED_STATES
            ]
        return found
