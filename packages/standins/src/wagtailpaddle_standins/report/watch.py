"""Records how the daemons' states of their servers change over time."""

from collections.abc import Callable
from dataclasses import dataclass

from wagtailpaddle_standins.client import Client

OUT = frozenset({"ejected", "avoided"})


@dataclass(frozen=True, slots=True)
class Change:
    """A daemon began (``is_out``) or ceased to eject or avoid a server.

    ``at_s`` is in seconds from the start of the load.
    """

    at_s: float
    daemon: int
    server: str
    is_out: bool


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
        self._out: list[frozenset[str]] = [frozenset() for _ in operators]
        self.changes: list[Change] = []

    def look(self) -> None:
        """Poll every daemon once."""
        for index, operator in enumerate(self._operators):
            out = frozenset(self._out_of(operator))
            at_s = self._clock()
            for server in sorted(out ^ self._out[index]):
                self.changes.append(Change(at_s, index, server, server in out))
            self._out[index] = out

    def _out_of(self, operator: Client) -> list[str]:
        found = []
        for service in self._services:
            reply = operator.request("GET", f"/v1/services/{service}").json()
            found += [
                server["id"] for server in reply["servers"] if server["state"] in OUT
            ]
        return found
