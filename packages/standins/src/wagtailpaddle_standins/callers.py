"""Callers of a deployment: all within their rates, but for a greedy one."""

from wagtailpaddle_standins.deployments import Deployment
from wagtailpaddle_standins.load import CallerPlan
from wagtailpaddle_standins.system import System

GREEDY_FACTOR = 10.0


def greedy_account(deployment: Deployment) -> str:
    """Return the client account that sends ten times its rate: the smallest."""
    accounts = deployment.accounts()
    return min(accounts, key=lambda name: accounts[name]["rate"])


def plan_callers(
    system: System, *, total_rate: float, timeout_s: float
) -> list[CallerPlan]:
    """Return a caller with a new key for each client account.

    Within their rates they send ``total_rate`` requests a second together, in
    proportion to their rates.
    """
    deployment = system.deployment
    accounts = deployment.accounts()
    greedy = greedy_account(deployment)
    fraction = total_rate / sum(table["rate"] for table in accounts.values())
    paths = paths_of(deployment)
    return [
        CallerPlan(
            name,
            system.issue(name)["secret"],
            table["rate"] * (GREEDY_FACTOR if name == greedy else fraction),
            paths,
            timeout_s=timeout_s,
        )
        for name, table in sorted(accounts.items())
    ]


def paths_of(deployment: Deployment) -> tuple[str, ...]:
    """Return a request for each route whose service has servers at the site."""
    services = deployment.overlay["services"]
    return tuple(
        f"{route['methods'][0]} {route['path']}"
        for _, route in sorted(deployment.base["routes"].items())
        if services.get(route["service"], {}).get("servers")
    )
