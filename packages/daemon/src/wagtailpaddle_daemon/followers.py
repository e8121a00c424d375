"""Answers the VMs that follow this one, when there is news or in time."""

import asyncio
from typing import Any

from wagtailpaddle_node import ReplicaNode
from wagtailpaddle_replica import Follow, News, Update

MAX_HOLD_S = 2.0


class Followers:
    """Holds questions of other VMs until there is something to tell them."""

    def __init__(self, reactor: Any, node: ReplicaNode, carry_out: Any):
        self._reactor = reactor
        self._node = node
        self._carry_out = carry_out
        self._news = asyncio.Event()

    def tell(self, _: News) -> None:
        """Wake everybody who waits for news."""
        self._news.set()
        self._news = asyncio.Event()

    async def answer(self, body: Follow) -> Update:
        """Return the answer to a question."""
        asked_at = self._reactor.seconds()
        self._carry_out(self._node.on_follow(asked_at, body))
        until = asked_at + min(body.hold_s, MAX_HOLD_S)
        while not self._node.has_update_for(body):
            left_s = until - self._reactor.seconds()
            if left_s <= 0.0:
                break
            try:
                await asyncio.wait_for(self._news.wait(), left_s)
            except TimeoutError:
                break
        return self._node.make_update(self._reactor.seconds(), body, asked_at)
