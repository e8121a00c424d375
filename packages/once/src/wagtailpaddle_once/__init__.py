"""At-most-once claims for requests with an idempotency key."""

from typing import TYPE_CHECKING

from wagtailpaddle_core import lazy_attributes

if TYPE_CHECKING:
    from wagtailpaddle_once.manager import ClaimManager, OnceStatus
    from wagtailpaddle_once.messages import (
        AskAttempt,
        AttemptId,
        AttemptState,
        AttemptStatus,
        Claim,
        ClaimKey,
        ClaimRoster,
        ClaimState,
        HandOverClaims,
        HandOverClaimsAnswer,
        OnceAction,
        OnceMessage,
        OnceReply,
        Place,
        Placed,
        Reject,
        Replay,
        RosterMember,
        Run,
        RunOutcome,
        SendPeer,
        Settled,
        Store,
        StoredAnswer,
        Sync,
        SyncPage,
        Vote,
        Withdraw,
    )

__all__ = [
    "AskAttempt",
    "AttemptId",
    "AttemptState",
    "AttemptStatus",
    "Claim",
    "ClaimManager",
    "ClaimKey",
    "ClaimState",
    "HandOverClaims",
    "HandOverClaimsAnswer",
    "RosterMember",
    "OnceAction",
    "OnceMessage",
    "OnceReply",
    "OnceStatus",
    "Place",
    "Placed",
    "Reject",
    "Replay",
    "ClaimRoster",
    "Run",
    "RunOutcome",
    "SendPeer",
    "Settled",
    "Store",
    "StoredAnswer",
    "Sync",
    "SyncPage",
    "Vote",
    "Withdraw",
]

if not TYPE_CHECKING:
    __getattr__ = lazy_attributes(__name__, __all__, ["messages", "manager"])
