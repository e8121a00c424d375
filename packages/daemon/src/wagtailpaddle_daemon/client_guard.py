"""Keeps clients' connections within the memory and descriptors of the VM."""

from collections.abc import Iterable
from typing import Any

from wagtailpaddle_resources import (
    Close,
    ConnectionId,
    ConnectionLedger,
    Phase,
    Reason,
    ResourceBudget,
)

from wagtailpaddle_daemon.guarded_channel import GuardedChannel
from wagtailpaddle_daemon.logs import get_logger

UNREAD_S = 15.0
"""How long a client may read nothing of a response."""

UNREAD_WAITED_S = 3.0
"""The same, while the response keeps a server's slot that others wait for."""

log = get_logger("clients")


class ClientGuard:
    """The connections of all ports that clients can reach, and what they hold.

    ``receive_s`` is the time in which the head of a request has to arrive, and the
    longest pause within a body.
    """

    def __init__(self, reactor: Any, budget: ResourceBudget, *, receive_s: float = 20):
        self.receive_s = receive_s
        self.ledger = ConnectionLedger(budget)
        self._reactor = reactor
        self._channels: dict[ConnectionId, GuardedChannel] = {}
        self._was_short = False

    def now(self) -> float:
        """Return the present time, in seconds."""
        return float(self._reactor.seconds())

    def admit(self, channel: GuardedChannel) -> None:
        """Add a connection, or close it if no other one can make room."""
        self._channels[channel.id] = channel
        peer = getattr(channel.transport.getPeer(), "host", "")
        self._close(self.ledger.open(self.now(), channel.id, peer))
        if not channel.is_removed:
            self.update(channel)

    def discard(self, channel: GuardedChannel) -> None:
        """Remove a lost connection."""
        self._channels.pop(channel.id, None)
        self.ledger.close(channel.id)

    def channels_of(self, factory: Any) -> tuple[GuardedChannel, ...]:
        """Return the open connections of one factory."""
        channels = self._channels.values()
        return tuple(item for item in channels if item.factory is factory)

    def record_moved(self, channel: GuardedChannel, n_bytes: int) -> None:
        """Record bytes that a client sent or read."""
        if channel.id in self._channels:
            self.ledger.move(self.now(), channel.id, n_bytes)

    def update(self, channel: GuardedChannel) -> bool:
        """Account for what a connection holds now; return whether it may keep it.

        If it may not, its request has to be refused.
        """
        if channel.id not in self._channels:
            return False
        now = self.now()
        self.ledger.enter(now, channel.id, channel.phase)
        closes = self.ledger.hold(now, channel.id, channel.held_bytes())
        if not closes:
            return True
        self._close(item for item in closes if item.connection != channel.id)
        return all(item.connection != channel.id for item in closes)

    def may_keep_response(self, channel: GuardedChannel) -> bool:
        """Return whether more of a response may be kept for a slow client."""
        self.update(channel)
        return self.ledger.may_keep_response(channel.id)

    def check(self, now: float) -> None:
        """Close stalled connections, and log when room gets short or is back."""
        for channel in tuple(self._channels.values()):
            self._check_channel(now, channel)
        is_short = self.ledger.is_short()
        if is_short != self._was_short:
            self._was_short = is_short
            self._log_state(is_short)

    def _check_channel(self, now: float, channel: GuardedChannel) -> None:
        if channel.id not in self._channels:
            # The check of an earlier connection has closed this one.
            return
        if channel.is_abandoned():
            channel.abort()
        elif channel.receiving_since is not None:
            if channel.receive_timer_start() < now - self.receive_s:
                channel.abort()
        elif channel.n_unsent_bytes:
            self._check_reader(now, channel)
        elif self.ledger[channel.id].phase is Phase.SENDING:
            self.update(channel)

    def _check_reader(self, now: float, channel: GuardedChannel) -> None:
        """Close the connection of a client that does not read its response."""
        self.record_moved(channel, channel.pop_sent_bytes())
        self.update(channel)
        if channel.id not in self._channels:
            return
        is_waited_for = any(item.is_waited_for for item in channel.requests)
        limit_s = UNREAD_WAITED_S if is_waited_for else UNREAD_S
        if self.ledger[channel.id].stalled_s(now) >= limit_s:
            channel.abort()

    def _close(self, closes: Iterable[Close]) -> None:
        for item in closes:
            channel = self._channels.pop(item.connection, None)
            if channel is not None:
                channel.abort()

    def _log_state(self, is_short: bool) -> None:
        write = log.warning if is_short else log.info
        write(
            "Room for clients is short." if is_short else "Room for clients is back.",
            connections=len(self.ledger),
            held_bytes=self.ledger.n_bytes,
            budget_bytes=self.ledger.budget.memory_bytes,
            closed={reason.value: self.ledger.closed[reason] for reason in Reason},
        )
