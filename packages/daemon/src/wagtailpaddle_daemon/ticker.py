"""The timer of the node's tick."""

from collections.abc import Callable
from typing import Any

from wagtailpaddle_node import RequestNode


class Ticker:
    """Calls ``tick`` with the current time when ``node.next_wake`` is due."""

    def __init__(self, reactor: Any, node: RequestNode, tick: Callable[[float], None]):
        self._reactor = reactor
        self._node = node
        self._tick = tick
        self._running = False
        self._timer: Any = None
        self._due_at = 0.0

    def start(self) -> None:
        """Start ticking."""
        self._running = True
        self.schedule()

    def stop(self) -> None:
        """Stop ticking."""
        self._running = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def schedule(self) -> None:
        """Schedule the next tick; call this after each event that the node handled."""
        if not self._running:
            return
        now = self._reactor.seconds()
        due_at = self._node.next_wake(now)
        if self._timer is not None:
            if self._due_at <= due_at:
                return
            self._timer.cancel()
        self._due_at = due_at
        self._timer = self._reactor.callLater(due_at - now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        try:
            self._tick(self._reactor.seconds())
        finally:
            self.schedule()
