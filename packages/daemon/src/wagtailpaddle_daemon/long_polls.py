"""Long polls of the VMs that follow this one."""

import asyncio
from typing import Any

from wagtailpaddle_node import ReplicaNode
from wagtailpaddle_replica import Follow, NotifyFollowers, Update

MAX_LONG_POLL_S = 2.0


class LongPolls:
    """Holds requests of followers until there is an update, or until a time-out."""

    def __init__(self, reactor: Any, node: ReplicaNode, carry_out: Any):
        self._reactor = reactor
        self._node = node
        self._carry_out = carry_out
        self._update_available = asyncio.Event()

    def notify(self, _: NotifyFollowers) -> None:
        """Wake all waiting requests."""
        self._update_available.set()
        self._update_available = asyncio.Event()

    async def on_follow(self, body: Follow) -> Update:
        """Return the update for a follower, at the latest after its ``hold_s``."""
        received_at = self._reactor.seconds()
        self._carry_out(self._node.on_follow(received_at, body))
        deadline_at = received_at + min(body.hold_s, MAX_LONG_POLL_S)
        while not self._node.has_update_for(body):
            remaining_s = deadline_at - self._reactor.seconds()
            if remaining_s <= 0.0:
                break
            try:
                await asyncio.wait_for(self._update_available.wait(), remaining_s)
            except TimeoutError:
                break
        return self._node.make_update(self._reactor.seconds(), body, received_at)
