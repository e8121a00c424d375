"""At-most-once claims: coordinator and replica of one VM."""

from wagtailpaddle_core import AccountId, RequestId, VmId

from wagtailpaddle_once.messages import (
    OnceAction,
    OnceMessage,
    OnceReply,
    Roster,
    RunOutcome,
    StoredAnswer,
)


class ClaimKeeper:
    """Places claims for this VM's requests and keeps claims of others.

    Interface only so far.
    """

    def __init__(self, vm: VmId, *, seed: int = 0):
        self.vm = vm

    def on_roster(
        self,
        now: float,
        roster: Roster,
        previous: Roster | None = None,
        gone: frozenset[VmId] = frozenset(),
    ) -> tuple[OnceAction, ...]:
        """Take in a roster; ``previous`` is the one of the revision before.

        ``gone`` names VMs that are proven gone.
        """
        raise NotImplementedError

    def begin(
        self,
        now: float,
        request: RequestId,
        account: AccountId,
        key: str,
        fingerprint: str,
        deadline_at: float,
    ) -> tuple[OnceAction, ...]:
        """Start to claim ``key``; exactly one outcome follows."""
        raise NotImplementedError

    def finish(
        self,
        now: float,
        request: RequestId,
        outcome: RunOutcome,
        answer: StoredAnswer | None = None,
    ) -> tuple[OnceAction, ...]:
        """Take in the end of a request for which ``Run`` was returned."""
        raise NotImplementedError

    def on_message(self, now: float, sender: VmId, message: OnceMessage) -> OnceReply:
        """Answer a peer."""
        raise NotImplementedError

    def on_reply(
        self, now: float, vm: VmId, message: OnceMessage, reply: OnceReply
    ) -> tuple[OnceAction, ...]:
        """Take in the reply of ``vm`` to ``message``."""
        raise NotImplementedError

    def on_call_failed(
        self, now: float, vm: VmId, message: OnceMessage
    ) -> tuple[OnceAction, ...]:
        """Take in that the call of ``vm`` failed; it may have been received."""
        raise NotImplementedError

    def tick(self, now: float) -> tuple[OnceAction, ...]:
        """Act on the passing of time; called several times a second."""
        raise NotImplementedError

    def release(self, now: float) -> tuple[OnceAction, ...]:
        """Hand claims over at a graceful stop."""
        raise NotImplementedError
