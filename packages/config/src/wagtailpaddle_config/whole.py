"""Configuration that a source states as one document, replaced as a whole."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from wagtailpaddle_core import Offset, ServerId, ServiceId

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
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int = 65536
    body_bytes: int = 1 << 20
    receive_s: float = 20.0
    idle_s: float = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WholeDocument:
    """Everything that operators state, at one version.

    The services have no servers: those register themselves.
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

    ``born`` tells the lives of one id apart, in milliseconds of wall-clock
    time. ``warmup_s`` is how much longer the server says that it is slow.
    """

    service: ServiceId
    server: Server
    born: int = 0
    warmup_s: float = 0.0


Servers = Mapping[ServiceId, tuple[Server, ...]]


def by_service(registered: Iterable[RegisteredServer]) -> Servers:
    """Return the servers of each service, in the order of their ids.

    An address belongs to the entry that was born last.
    """
    holder: dict[tuple[str, int], RegisteredServer] = {}
    for item in registered:
        endpoint = (item.server.address, item.server.port)
        known = holder.get(endpoint)
        if known is None or (known.born, known.server.id) < (item.born, item.server.id):
            holder[endpoint] = item
    found: dict[ServiceId, dict[ServerId, Server]] = {}
    for item in holder.values():
        found.setdefault(item.service, {})[item.server.id] = item.server
    return {
        name: tuple(servers[key] for key in sorted(servers))
        for name, servers in found.items()
    }


def configure(document: WholeDocument, revision: Offset) -> Configuration:
    """Return the configuration that a document states, without servers."""
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
    cfg: Configuration, servers: Servers, former: Configuration
) -> Configuration:
    """Return ``cfg`` with servers; services that ``former`` had stay the same."""
    services = {}
    for name, service in cfg.services.items():
        whole = replace(service, servers=servers.get(name, ()))
        known = former.services.get(name)
        services[name] = known if known == whole else whole
    return replace(cfg, services=services)
