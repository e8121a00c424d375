"""Log lines for changes in the health of backend servers, and for idle servers."""

from wagtailpaddle_node import RequestNode
from wagtailpaddle_routing import IdleServers

from wagtailpaddle_daemon.logs import get_logger

MAX_LOGGED_IDLE_SERVERS = 40

log = get_logger("health")


def log_health_events(node: RequestNode) -> None:
    """Log each server that was ejected, avoided or readmitted."""
    for event in node.health.events():
        log.info(
            f"Server {event.kind.value}.",
            service=event.service,
            server=event.server,
            reason=event.reason,
            score=round(event.score, 2),
        )


def log_idle_servers(now: float, node: RequestNode) -> tuple[IdleServers, ...]:
    """Log the servers that this VM gives no requests while others are not served.

    Returns the reports of all services with traffic.
    """
    reports = node.dispatcher.report_idle_servers(now)
    for report in reports:
        if not report.by_reason:
            continue
        log.info(
            "Servers without requests.",
            service=report.service,
            usable=report.n_usable,
            requests=report.counts.n_ended,
            unserved=report.counts.n_unserved,
            servers=_listed(report),
        )
    return reports


def _listed(report: IdleServers) -> dict[str, list[str]]:
    """Return the first idle servers by reason."""
    listed: dict[str, list[str]] = {}
    n_left = MAX_LOGGED_IDLE_SERVERS
    for reason, servers in report.by_reason:
        listed[reason] = list(servers[:n_left])
        n_left -= len(listed[reason])
    return listed
