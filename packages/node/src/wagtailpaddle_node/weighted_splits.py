"""Chooses the service of requests whose route has a weighted split."""

from wagtailpaddle_config import Route
from wagtailpaddle_core import RouteId, ServiceId


class WeightedSplits:
    """Distributes the requests of each route over its services by weight.

    Smooth weighted round robin: with each request every service gains its weight
    as credit; the one with the most credit is chosen and pays the sum of the
    weights. So any sequence of requests is close to the weights.
    """

    def __init__(self) -> None:
        self._credit: dict[RouteId, dict[ServiceId, float]] = {}

    def choose(self, route: Route) -> ServiceId:
        """Return the service of the next request of ``route``."""
        if not route.split:
            return route.service
        chosen, self._credit[route.id] = self._advance(route)
        return chosen

    def peek(self, route: Route) -> ServiceId:
        """Return what ``choose`` would return, without a change."""
        return self._advance(route)[0] if route.split else route.service

    def _advance(self, route: Route) -> tuple[ServiceId, dict[ServiceId, float]]:
        """Return the next service and the credit after it."""
        total = sum(part.weight for part in route.split)
        known = self._credit.get(route.id, {})
        credit = {
            part.service: known.get(part.service, 0.0) + part.weight
            for part in route.split
        }
        chosen = max(credit, key=lambda name: credit[name])
        credit[chosen] -= total
        return chosen, credit
