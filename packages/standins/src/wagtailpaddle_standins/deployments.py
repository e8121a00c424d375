"""Configuration documents of the deployments that a test system can run."""

import tomllib
from collections.abc import Iterator, Mapping
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

EXAMPLES = Path(__file__).parents[4] / "examples"
ZONES = ("a", "b", "c")
N_BOOKING = 12
N_INVENTORY = 10

Document = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Deployment:
    """Base and overlay of one site; either may define backend servers."""

    site: str
    base: Document
    overlay: Document = field(default_factory=dict)

    def servers(self) -> Iterator[str]:
        """Yield the names of the site's backend servers."""
        for document in (self.base, self.overlay):
            for service in document.get("services", {}).values():
                yield from service.get("servers", {})

    def accounts(self) -> Mapping[str, Document]:
        """Return the tables of the site's client accounts by name."""
        return {**self.base.get("accounts", {}), **self.overlay.get("accounts", {})}


def with_loopback_ports(document: Document, ports: Mapping[str, int]) -> Document:
    """Return a copy with the servers at ``ports`` of the loopback address."""
    copied = deepcopy(document)
    for service in copied.get("services", {}).values():
        for name, server in service.get("servers", {}).items():
            server.update(address="127.0.0.1", port=ports[name])
    return copied


def read_example(site: str) -> Deployment:
    """Return the deployment of a site from the ``examples`` folder."""
    base, overlay = (
        tomllib.loads((EXAMPLES / path).read_text())
        for path in ("base.toml", f"overlays/{site}.toml")
    )
    return Deployment(site, base, overlay)


def small_deployment() -> Deployment:
    """Return a deployment with high account rates and no overlay."""
    accounts = {
        f"account-{index}": {"rate": 300.0, "burst": 300.0} for index in range(8)
    }
    services = {
        "booking": {"servers": _servers("booking", N_BOOKING)},
        "inventory": {"servers": _servers("inventory", N_INVENTORY)},
    }
    routes = {
        "catalogue": _route("/catalogue", "booking", "GET", idempotent=True),
        "book": _route("/deliveries", "booking", "POST"),
        "inventory": _route("/inventory", "inventory", "GET", idempotent=True),
        "claims": _route("/claims", "inventory", "POST"),
    }
    base = {"accounts": accounts, "services": services, "routes": routes}
    return Deployment("default", base)


def _servers(service: str, n_servers: int) -> Document:
    return {
        f"{service}-{index:02}": {"zone": ZONES[index % len(ZONES)]}
        for index in range(n_servers)
    }


def _route(path: str, service: str, method: str, **fields: Any) -> Document:
    return {"path": path, "service": service, "methods": [method], **fields}
