"""Log lines for changes in the health of backend servers."""

from wagtailpaddle_node import RequestNode

from wagtailpaddle_daemon.logs import get_logger

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
