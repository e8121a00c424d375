"""What registered servers state about themselves, passed to the backends."""

from collections.abc import Sequence

from wagtailpaddle_core import ServerId
from wagtailpaddle_replica import Change

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.registered_servers import RegisteredServers


def record_statements(
    now: float,
    backends: Backends,
    registered: RegisteredServers,
    changes: Sequence[Change],
) -> None:
    """Record the statements of changed entries, before these are applied.

    What a server stated that has started again under its id is forgotten first.
    """
    for item in changes:
        if item.value is None:
            continue
        entry, known = item.value, registered.entry(ServerId(item.key))
        if known is not None and known.born != entry.born:
            backends.on_server_restarted((known.service, known.server.id))
        backends.record_cold(now, (entry.service, entry.server.id), entry.warmup_s)
