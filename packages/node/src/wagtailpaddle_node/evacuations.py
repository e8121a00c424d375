"""The zones that operators evacuated, as this VM knows them."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from wagtailpaddle_config import Evacuation
from wagtailpaddle_core import ZoneId
from wagtailpaddle_routing import ServiceStatus


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """An evacuation of a zone that takes effect, or one that ends.

    ``lasted_s`` is how long one that ends was in effect on this VM.
    """

    zone: ZoneId
    is_evacuated: bool
    lasted_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EvacuationStatus:
    """An evacuated zone, for operators.

    ``n_running`` is how many requests of this VM still run at servers of the zone.
    """

    zone: ZoneId
    in_effect_s: float
    n_running: int


class Evacuations:
    """The evacuated zones, and since when each is.

    >>> evacuations = Evacuations()
    >>> evacuations.apply(5.0, [Evacuation(ZoneId("a"))])
    (EvacuationChange(zone='a', is_evacuated=True, lasted_s=0.0),)
    >>> evacuations.apply(8.0, [])
    (EvacuationChange(zone='a', is_evacuated=False, lasted_s=3.0),)

    With ``keeps_missing`` none ends: the store may have lost its record.
    """

    def __init__(self) -> None:
        self._since: dict[ZoneId, float] = {}

    @property
    def zones(self) -> frozenset[ZoneId]:
        """The evacuated zones."""
        return frozenset(self._since)

    def apply(
        self, now: float, values: Iterable[Any], *, keeps_missing: bool = False
    ) -> tuple[EvacuationChange, ...]:
        """Replace the evacuations by those among ``values``; return the changes."""
        zones = {item.zone for item in values if isinstance(item, Evacuation)}
        if keeps_missing:
            zones |= self.zones
        ended = sorted(self._since.keys() - zones)
        begun = sorted(zones - self._since.keys())
        changes = [
            EvacuationChange(zone, False, now - self._since.pop(zone)) for zone in ended
        ]
        for zone in begun:
            self._since[zone] = now
            changes.append(EvacuationChange(zone, True))
        return tuple(changes)

    def status(
        self, now: float, services: Iterable[ServiceStatus]
    ) -> tuple[EvacuationStatus, ...]:
        """Return the evacuated zones with the requests that still run there."""
        n_running: Counter[ZoneId] = Counter()
        for service in services:
            for server in service.servers:
                n_running[server.zone] += server.in_flight
        return tuple(
            EvacuationStatus(zone, now - since, n_running[zone])
            for zone, since in sorted(self._since.items())
        )
