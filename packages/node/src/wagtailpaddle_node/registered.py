"""Servers that registered themselves, with those that may only have lapsed."""

from wagtailpaddle_config import RegisteredServer, ServersByService, servers_by_service
from wagtailpaddle_core import ServerId
from wagtailpaddle_replica import OUTAGE_GRACE_S, Change


class Registered:
    """The backend servers in force.

    An entry that vanished while the store was away proves nothing: it holds
    for ``OUTAGE_GRACE_S`` after the store's return, unless its server said that
    it leaves.
    """

    def __init__(self) -> None:
        self._entries: dict[str, RegisteredServer] = {}
        self._lapsed: dict[str, float] = {}

    def apply(self, now: float, changes: tuple[Change, ...], *, in_grace: bool) -> bool:
        """Take in changed entries; return whether any differs."""
        differs = False
        for change in changes:
            if change.value is not None:
                self._lapsed.pop(change.key, None)
                self._entries[change.key] = change.value
                differs = True
            elif in_grace and not self._leaves(change.key):
                self._lapsed.setdefault(change.key, now + OUTAGE_GRACE_S)
            else:
                differs |= self._drop(change.key)
        return differs

    def expire(self, now: float) -> bool:
        """Drop the entries that did not come back in time."""
        over = [key for key, until in self._lapsed.items() if until <= now]
        return bool([key for key in over if self._drop(key)])

    def servers(self) -> ServersByService:
        """Return the servers by service."""
        return servers_by_service(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def entry(self, server: ServerId) -> RegisteredServer | None:
        """Return the entry of a server, or None."""
        return self._entries.get(server)

    def _leaves(self, key: str) -> bool:
        known = self._entries.get(key)
        return known is None or known.server.leaving

    def _drop(self, key: str) -> bool:
        self._lapsed.pop(key, None)
        return self._entries.pop(key, None) is not None
