"""Direct hand-over of shares: the message is sent first, the record follows."""

from collections.abc import Collection
from dataclasses import replace

from wagtailpaddle_core import Offset, VmId

from wagtailpaddle_quota.messages import HandOverShare, SendPeer, ShareEntry, ShareId

RESEND_INTERVAL_S = 0.5


class HandOverTracker:
    """Pending hand-overs from this VM, and the latest one seen of each share.

    A hand-over is identified by its share, the offset of the share's last record
    and the number of hand-overs since. This detects duplicate and late messages,
    so each hand-over is accepted only once.
    """

    def __init__(self, vm: VmId):
        self.vm = vm
        self.outgoing: dict[ShareId, HandOverShare] = {}
        self._seen: dict[ShareId, tuple[Offset, int]] = {}
        self._resend_at = float("-inf")

    def send(self, message: HandOverShare) -> SendPeer:
        """Start a hand-over; the caller has stopped using the share."""
        self.outgoing[message.share] = message
        self._seen[message.share] = (message.revision, message.hop)
        return SendPeer(message.receiver, message)

    def redirect(self, message: HandOverShare, receiver: VmId) -> SendPeer:
        """Offer a declined share to another VM."""
        redirected = replace(message, receiver=receiver, hop=message.hop + 1)
        return self.send(redirected)

    def resend(self, now: float) -> tuple[SendPeer, ...]:
        """Return the unanswered messages if ``RESEND_INTERVAL_S`` has passed."""
        if now < self._resend_at:
            return ()
        self._resend_at = now + RESEND_INTERVAL_S
        return tuple(
            SendPeer(message.receiver, message) for message in self.outgoing.values()
        )

    def is_new(self, message: HandOverShare) -> bool:
        """Return whether ``message`` is for this VM and newer than the last seen."""
        seen = self._seen.get(message.share, (-2, 0))
        is_receiver = message.receiver == self.vm
        return is_receiver and (message.revision, message.hop) > seen

    def record_accepted(self, message: HandOverShare) -> None:
        """Record that ``message`` was accepted."""
        self._seen[message.share] = (message.revision, message.hop)

    def was_accepted(self, message: HandOverShare) -> bool:
        """Return whether ``message`` was accepted, now or earlier."""
        seen = self._seen.get(message.share)
        return message.receiver == self.vm and seen == (message.revision, message.hop)

    def complete(self, message: HandOverShare) -> bool:
        """Remove an answered hand-over; return False if it had already ended."""
        if self.outgoing.get(message.share) != message:
            return False
        del self.outgoing[message.share]
        return True

    def on_entry(self, entry: ShareEntry) -> None:
        """Discard a hand-over whose share has a later record."""
        message = self.outgoing.get(entry.share)
        if message is not None and entry.revision > message.revision:
            del self.outgoing[entry.share]

    def discard_receivers(self, gone: Collection[VmId]) -> None:
        """Discard hand-overs to VMs that are gone; their shares can be claimed."""
        lost = [s for s, message in self.outgoing.items() if message.receiver in gone]
        for share in lost:
            del self.outgoing[share]
