"""Backend servers that registered themselves in the platform's store."""

from dataclasses import replace

from wagtailpaddle_config import RegisteredServer, ServersByService, servers_by_service
from wagtailpaddle_core import ServerId
from wagtailpaddle_replica import Change


def server_version(entry: RegisteredServer) -> tuple[int, float] | None:
    """Return the order of a server's entries: by its start, then by its heartbeats.

    None if the start is unknown, since a restart counts heartbeats anew.
    """
    return (entry.born, entry.sequence) if entry.born else None


class RegisteredServers:
    """The registered servers, including entries that may have expired wrongly.

    During an outage of the store servers cannot renew their entries. An entry
    whose removal is seen within the grace period after an outage is retained until
    the end of that period, unless its server had stated that it was leaving.
    """

    def __init__(self) -> None:
        self._entries: dict[str, RegisteredServer] = {}
        self._retained_until: dict[str, float] = {}

    def apply(
        self, now: float, changes: tuple[Change, ...], *, grace_ends_at: float
    ) -> bool:
        """Apply changed entries; return whether the servers changed."""
        changed = False
        for change in changes:
            if change.value is not None:
                self._retained_until.pop(change.key, None)
                changed |= self._update(change.key, change.value)
            elif now < grace_ends_at and not self._is_leaving(change.key):
                self._retained_until[change.key] = grace_ends_at
            else:
                changed |= self._remove(change.key)
        return changed

    def expire(self, now: float) -> bool:
        """Remove retained entries that were not renewed in time; return if any."""
        expired = [key for key, until in self._retained_until.items() if until <= now]
        return bool([key for key in expired if self._remove(key)])

    def servers(self) -> ServersByService:
        """Return the servers by service."""
        return servers_by_service(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def entry(self, server: ServerId) -> RegisteredServer | None:
        """Return the entry of a server, or None."""
        return self._entries.get(server)

    def _is_leaving(self, key: str) -> bool:
        known = self._entries.get(key)
        return known is None or known.server.leaving

    def _update(self, key: str, entry: RegisteredServer) -> bool:
        """Replace an entry; return whether more than its warm-up time changed."""
        known = self._entries.get(key)
        self._entries[key] = entry
        return known is None or replace(known, warmup_s=entry.warmup_s) != entry

    def _remove(self, key: str) -> bool:
        self._retained_until.pop(key, None)
        return self._entries.pop(key, None) is not None
