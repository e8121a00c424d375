"""Direct hand-over of shares: message first, record later."""

from collections.abc import Collection
from dataclasses import replace

from wagtailpaddle_core import Offset, VmId

from wagtailpaddle_quota.messages import HandOverShare, SendPeer, ShareEntry, ShareId

RESEND_INTERVAL_S = 0.5


class HandOvers:
    """Hand-overs under way from this VM, and those that it has seen.

    A share is named by the offset of its last record and the number of
    hand-overs since, so a message that comes twice or late is known, and each
    hand-over is taken once.
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
        """Offer a share that was declined to another VM."""
        redirected = replace(message, receiver=receiver, hop=message.hop + 1)
        return self.send(redirected)

    def resend(self, now: float) -> tuple[SendPeer, ...]:
        """Return the messages without an answer, from time to time."""
        if now < self._resend_at:
            return ()
        self._resend_at = now + RESEND_INTERVAL_S
        return tuple(
            SendPeer(message.receiver, message) for message in self.outgoing.values()
        )

    def is_new(self, message: HandOverShare) -> bool:
        """Return whether ``message`` is for this VM and was not seen before."""
        seen = self._seen.get(message.share, (-2, 0))
        is_receiver = message.receiver == self.vm
        return is_receiver and (message.revision, message.hop) > seen

    def record_taken(self, message: HandOverShare) -> None:
        """Remember that ``message`` was taken."""
        self._seen[message.share] = (message.revision, message.hop)

    def was_taken(self, message: HandOverShare) -> bool:
        """Return whether ``message`` was taken, now or before."""
        seen = self._seen.get(message.share)
        return message.receiver == self.vm and seen == (message.revision, message.hop)

    def complete(self, message: HandOverShare) -> bool:
        """Forget a hand-over that was answered; False if it was over before."""
        if self.outgoing.get(message.share) != message:
            return False
        del self.outgoing[message.share]
        return True

    def on_entry(self, entry: ShareEntry) -> None:
        """Forget a hand-over whose share a later record gave away."""
        message = self.outgoing.get(entry.share)
        if message is not None and entry.revision > message.revision:
            del self.outgoing[entry.share]

    def discard_receivers(self, gone: Collection[VmId]) -> None:
        """Forget hand-overs to VMs that are gone; their shares get claimed."""
        lost = [s for s, message in self.outgoing.items() if message.receiver in gone]
        for share in lost:
            del self.outgoing[share]
