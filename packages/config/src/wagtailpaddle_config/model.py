"""Data classes of the configuration in force."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from wagtailpaddle_core import (
    AccountId,
    KeyId,
    Offset,
    RouteId,
    ServerId,
    ServiceId,
    ZoneId,
)

DEFAULT_SERVER_SLOTS = 4
DEFAULT_SERVER_CONNECTIONS = 300
DEFAULT_ROUTE_TIMEOUT_S = 10.0
DEFAULT_ROUTE_MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account with its fleet-wide rate limit (requests/s) and burst.

    ``priority`` ranks accounts under overload; 0 is the highest.
    """

    id: AccountId
    rate: float
    burst: float
    active: bool = True
    priority: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SplitPart:
    """One service of a weighted traffic split and its relative weight."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Routes requests that match host, path prefix and method to a service.

    An ``open`` route requires no key. ``accounts`` lists the client accounts
    that may use the route; empty means all. ``idempotent`` tells whether a
    request may safely run twice. ``timeout_s`` is the time-out of requests
    whose caller sets no deadline. A ``split`` divides the requests among
    services by weight and overrides ``service``. ``max_attempts`` limits the
    number of servers that one request is sent to. ``target_latency_s`` is the
    latency objective, 0 if there is none. ``priority`` ranks routes under
    overload; 0 is the highest. A ``path`` that ends with a slash does not match
    the same path without the slash.
    """

    id: RouteId
    service: ServiceId
    path: str
    host: str = ""
    methods: tuple[str, ...] = ()
    open: bool = False
    accounts: tuple[AccountId, ...] = ()
    idempotent: bool = False
    timeout_s: float = DEFAULT_ROUTE_TIMEOUT_S
    split: tuple[SplitPart, ...] = ()
    max_attempts: int = DEFAULT_ROUTE_MAX_ATTEMPTS
    target_latency_s: float = 0.0
    priority: int = 0

    def matches(self, host: str, path: str, method: str) -> bool:
        """Return whether the route matches a request."""
        if self.host and self.host != host:
            return False
        if self.methods and method not in self.methods:
            return False
        if self.path.endswith("/"):
            return path.startswith(self.path)
        return path == self.path or path.startswith(self.path + "/")

    def services(self) -> tuple[ServiceId, ...]:
        """Return the services that the route sends requests to."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)


@dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """A backend server of a service.

    A ``leaving`` server gets no new requests. ``warmup_per_s`` is as in ``Service``,
    which comes first.
    """

    id: ServerId
    address: str
    port: int
    zone: ZoneId
    slots: int = DEFAULT_SERVER_SLOTS
    connections: int = DEFAULT_SERVER_CONNECTIONS
    leaving: bool = False
    warmup_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of backend servers that serve the same requests.

    ``floor`` is the fraction of the configured servers that ejection must
    leave in service. ``sensitivity`` in (0, 1] is that of outlier detection:
    low values avoid false ejections, high values shorten the detection time.
    ``health_path`` is the path of health checks; empty disables them.
    ``warmup_per_s`` is how many requests per second a cold server tolerates from all
    VMs together, 0 if that is not limited; ``warmup_s`` is how long a server is cold
    after its start, 0 if that is unknown.
    """

    id: ServiceId
    servers: tuple[Server, ...] = ()
    floor: float = 0.5
    sensitivity: float = 0.5
    health_path: str = ""
    warmup_per_s: float = 0.0
    warmup_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """An API key of a client account.

    Only the SHA-256 of its high-entropy secret is stored.
    """

    id: KeyId
    account: AccountId
    secret_hash: str
    withdrawn: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Everything in force at one revision of the log.

    ``revision`` is the number of log records folded into it; it never
    decreases. The servers of the ``evacuated`` zones get no requests.
    """

    revision: Offset = 0
    accounts: Mapping[AccountId, ClientAccount] = field(default_factory=dict)
    routes: Mapping[RouteId, Route] = field(default_factory=dict)
    services: Mapping[ServiceId, Service] = field(default_factory=dict)
    keys: Mapping[KeyId, Key] = field(default_factory=dict)
    key_by_hash: Mapping[str, KeyId] = field(default_factory=dict)
    routes_by_path: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    evacuated: frozenset[ZoneId] = frozenset()

    def account_for(self, secret_hash: str) -> ClientAccount | None:
        """Return the active account whose valid key has ``secret_hash``."""
        key_id = self.key_by_hash.get(secret_hash)
        if key_id is None:
            return None
        key = self.keys[key_id]
        if key.withdrawn:
            return None
        account = self.accounts.get(key.account)
        if account is None or not account.active:
            return None
        return account

    def route_for(self, host: str, path: str, method: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        A route with a matching host precedes one without a host. The cost
        grows with the depth of the path, not with the number of routes.
        """
        prefix = path.rstrip("/")
        while True:
            for route in self.routes_by_path.get(prefix, ()):
                if route.matches(host, path, method):
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]
