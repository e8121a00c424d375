"""Index of routes by path prefix."""

from collections.abc import Mapping

from wagtailpaddle_config.model import Route


def changed_prefixes(
    by_path: Mapping[str, tuple[Route, ...]],
    old: Mapping[str, Route],
    changed: Mapping[str, Route | None],
) -> dict[str, tuple[Route, ...]]:
    """Return the new entry of each path prefix affected by ``changed``.

    Routes with a host come first; ties are ordered by id. None in ``changed``
    removes a route.
    """
    by_prefix: dict[str, dict[str, Route]] = {}
    for name, route in changed.items():
        previous = old.get(name)
        if previous is not None:
            _routes_at(by_prefix, by_path, previous).pop(name)
        if route is not None:
            _routes_at(by_prefix, by_path, route)[name] = route
    return {
        prefix: tuple(sorted(routes.values(), key=lambda r: (not r.host, r.id)))
        for prefix, routes in by_prefix.items()
    }


def _routes_at(
    by_prefix: dict[str, dict[str, Route]],
    by_path: Mapping[str, tuple[Route, ...]],
    route: Route,
) -> dict[str, Route]:
    prefix = route.path.rstrip("/")
    if prefix not in by_prefix:
        by_prefix[prefix] = {item.id: item for item in by_path.get(prefix, ())}
    return by_prefix[prefix]
