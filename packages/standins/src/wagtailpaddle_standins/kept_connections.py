"""The connection pool of the load tool's callers."""

from collections.abc import Hashable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool


class KeptConnections(HTTPConnectionPool):
    """A pool that hands out no connection that is being closed.

    A daemon that stops sends a refusal on each kept connection and closes it. When
    Twisted's pool reads bytes on an unused connection it starts to close the
    connection, but hands it out until the reactor's next turn. A request written
    in between gets no response, although the refusal had arrived before it.
    """

    def getConnection(self, key: Hashable, endpoint: Any) -> Deferred[Any]:  # noqa: N802
        """Return an open kept connection, or a new one."""
        for conn in tuple(self._connections.get(key, ())):
            if conn.transport.disconnecting:
                self._timeouts[conn].cancel()
                self._removeConnection(key, conn)
        return super().getConnection(key, endpoint)
