"""Configuration published as one document and always replaced as a whole."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from wagtailpaddle_core import Offset, ServerId, ServiceId, ZoneId

from wagtailpaddle_config.model import (
    ClientAccount,
    Configuration,
    Key,
    Route,
    Server,
    Service,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on callers: request sizes in bytes and time-outs in seconds.

    ``receive_s`` limits the time to receive a request, and ``idle_s`` how long
    a connection may stay idle.
    """

    header_bytes: int = 65536
    body_bytes: int = 1 << 20
    receive_s: float = 20.0
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigDocument:
    """One version of everything that operators configure.

    The services have no servers, because servers register themselves.
    """

    version: int
    accounts: tuple[ClientAccount, ...] = ()
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    keys: tuple[Key, ...] = ()
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisteredServer:
    """A backend server as it registered itself.

    ``born`` is the start time in wall-clock milliseconds; it distinguishes the
    incarnations of one id. ``sequence`` grows with each heartbeat of an incarnation;
    two entries that differ only there are equal. ``warmup_s`` is the remaining
    warm-up time that the server reports.
    """

    service: ServiceId
    server: Server
    born: int = 0
    warmup_s: float = 0.0
    sequence: float = field(default=0.0, compare=False)


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's request that the servers of a zone get no request."""

    zone: ZoneId


ServersByService = Mapping[ServiceId, tuple[Server, ...]]


def servers_by_service(registered: Iterable[RegisteredServer]) -> ServersByService:
    """Return the servers of each service, sorted by id.

    If several entries share an address, only the one with the latest ``born``
    is used.
    """
    latest_by_endpoint: dict[tuple[str, int], RegisteredServer] = {}
    for item in registered:
        endpoint = (item.server.address, item.server.port)
        known = latest_by_endpoint.get(endpoint)
        if known is None or (known.born, known.server.id) < (item.born, item.server.id):
            latest_by_endpoint[endpoint] = item
    found: dict[ServiceId, dict[ServerId, Server]] = {}
    for item in latest_by_endpoint.values():
        found.setdefault(item.service, {})[item.server.id] = item.server
    return {
        name: tuple(servers[key] for key in sorted(servers))
        for name, servers in found.items()
    }


def build_configuration(document: ConfigDocument, revision: Offset) -> Configuration:
    """Build the configuration of a document, without servers."""
    by_path: dict[str, list[Route]] = {}
    for route in document.routes:
        by_path.setdefault(route.path.rstrip("/"), []).append(route)
    for routes in by_path.values():
        routes.sort(key=lambda route: (-len(route.path), not route.host, route.id))
    return Configuration(
        revision=revision,
        accounts={account.id: account for account in document.accounts},
        routes={route.id: route for route in document.routes},
        services={service.id: service for service in document.services},
        keys={key.id: key for key in document.keys},
        key_by_hash={key.secret_hash: key.id for key in document.keys},
        routes_by_path={path: tuple(routes) for path, routes in by_path.items()},
    )


def with_servers(
    cfg: Configuration, servers: ServersByService, previous: Configuration
) -> Configuration:
    """Return ``cfg`` with its servers filled in.

    A service that is equal in ``previous`` is reused as the same object.
    """
    services = {}
    for name, service in cfg.services.items():
        updated = replace(service, servers=servers.get(name, ()))
        known = previous.services.get(name)
        services[name] = known if known == updated else updated
    return replace(cfg, services=services)
