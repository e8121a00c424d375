"""Load plans in which one client account exceeds its rate limit."""

from wagtailpaddle_standins.deployments import Deployment
from wagtailpaddle_standins.load import CallerPlan
from wagtailpaddle_standins.system import System

GREEDY_FACTOR = 10.0


def greedy_account(deployment: Deployment) -> str:
    """Return the account that sends ten times its rate: the one with the lowest."""
    accounts = deployment.accounts()
    return min(accounts, key=lambda name: accounts[name]["rate"])


def plan_callers(
    system: System, *, total_rate: float, timeout_s: float
) -> list[CallerPlan]:
    """Return a caller with a newly issued key for each client account.

    Each caller gets a part of ``total_rate`` (requests per second) in proportion
    to its account's rate limit, except the greedy one, which sends
    ``GREEDY_FACTOR`` times its limit.
    """
    deployment = system.deployment
    accounts = deployment.accounts()
    greedy = greedy_account(deployment)
    fraction = total_rate / sum(table["rate"] for table in accounts.values())
    paths = routable_requests(deployment)
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


def routable_requests(deployment: Deployment) -> tuple[str, ...]:
    """Return "METHOD /path" for each route whose service has servers at the site."""
    services = deployment.overlay["services"]
    return tuple(
        f"{route['methods'][0]} {route['path']}"
        for _, route in sorted(deployment.base["routes"].items())
        if services.get(route["service"], {}).get("servers")
    )
