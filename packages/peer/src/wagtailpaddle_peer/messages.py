"""The registry of peer messages, by the name of their field in ``Envelope``."""

from dataclasses import dataclass

from wagtailpaddle_core import Registry
from wagtailpaddle_fleet import messages as fleet
from wagtailpaddle_health import messages as health
from wagtailpaddle_once import messages as once
from wagtailpaddle_quota import messages as quota
from wagtailpaddle_replica import messages as replica
from wagtailpaddle_routing import LeavingNotice, TrustNotice


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The peer processed the message; there is no other reply."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The peer could not process the message."""

    reason: str


MESSAGES: Registry[type] = Registry("peer message")
MESSAGES.register("acknowledged")(Acknowledged)
MESSAGES.register("failed")(Failed)
MESSAGES.register("health_digest")(health.HealthDigest)
MESSAGES.register("leaving_notice")(LeavingNotice)
MESSAGES.register("offset_query")(fleet.OffsetQuery)
MESSAGES.register("offset_answer")(fleet.OffsetAnswer)
MESSAGES.register("records_query")(fleet.RecordsQuery)
MESSAGES.register("records_answer")(fleet.RecordsAnswer)
MESSAGES.register("snapshot_query")(fleet.SnapshotQuery)
MESSAGES.register("snapshot_answer")(fleet.SnapshotAnswer)
MESSAGES.register("hand_over_seats")(fleet.HandOverSeats)
MESSAGES.register("hand_over_answer")(fleet.HandOverAnswer)
MESSAGES.register("borrow")(quota.LoanRequest)
MESSAGES.register("lent")(quota.LoanAnswer)
MESSAGES.register("hand_over_share")(quota.HandOverShare)
MESSAGES.register("hand_over_share_taken")(quota.HandOverShareAnswer)
MESSAGES.register("ask_shares")(quota.SharesQuery)
MESSAGES.register("shares_state")(quota.SharesState)
MESSAGES.register("place")(once.Place)
MESSAGES.register("placed")(once.Placed)
MESSAGES.register("withdraw")(once.Withdraw)
MESSAGES.register("store")(once.Store)
MESSAGES.register("settled")(once.Settled)
MESSAGES.register("ask_attempt")(once.AskAttempt)
MESSAGES.register("attempt_status")(once.AttemptStatus)
MESSAGES.register("sync")(once.Sync)
MESSAGES.register("sync_page")(once.SyncPage)
MESSAGES.register("hand_over_claims")(once.HandOverClaims)
MESSAGES.register("hand_over_claims_taken")(once.HandOverClaimsAnswer)
MESSAGES.register("follow")(replica.Follow)
MESSAGES.register("update")(replica.Update)
MESSAGES.register("take_tokens")(quota.TokenRequestBatch)
MESSAGES.register("tokens_taken")(quota.TokenGrantBatch)
MESSAGES.register("trust_notice")(TrustNotice)

FIELD_OF: dict[type, str] = {MESSAGES[name]: name for name in MESSAGES.names()}
