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


MESSAGE_TYPES: Registry[type] = Registry("peer message")
MESSAGE_TYPES.register("acknowledged")(Acknowledged)
MESSAGE_TYPES.register("failed")(Failed)
MESSAGE_TYPES.register("health_digest")(health.HealthDigest)
MESSAGE_TYPES.register("leaving_notice")(LeavingNotice)
MESSAGE_TYPES.register("offset_query")(fleet.OffsetQuery)
MESSAGE_TYPES.register("offset_answer")(fleet.OffsetAnswer)
MESSAGE_TYPES.register("records_query")(fleet.RecordsQuery)
MESSAGE_TYPES.register("records_answer")(fleet.RecordsAnswer)
MESSAGE_TYPES.register("snapshot_query")(fleet.SnapshotQuery)
MESSAGE_TYPES.register("snapshot_answer")(fleet.SnapshotAnswer)
MESSAGE_TYPES.register("hand_over_seats")(fleet.HandOverSeats)
MESSAGE_TYPES.register("hand_over_answer")(fleet.HandOverAnswer)
MESSAGE_TYPES.register("borrow")(quota.LoanRequest)
MESSAGE_TYPES.register("lent")(quota.LoanAnswer)
MESSAGE_TYPES.register("hand_over_share")(quota.HandOverShare)
MESSAGE_TYPES.register("hand_over_share_taken")(quota.HandOverShareAnswer)
MESSAGE_TYPES.register("ask_shares")(quota.SharesQuery)
MESSAGE_TYPES.register("shares_state")(quota.SharesState)
MESSAGE_TYPES.register("place")(once.Place)
MESSAGE_TYPES.register("placed")(once.Placed)
MESSAGE_TYPES.register("withdraw")(once.Withdraw)
MESSAGE_TYPES.register("store")(once.Store)
MESSAGE_TYPES.register("settled")(once.Settled)
MESSAGE_TYPES.register("ask_attempt")(once.AskAttempt)
MESSAGE_TYPES.register("attempt_status")(once.AttemptStatus)
MESSAGE_TYPES.register("sync")(once.Sync)
MESSAGE_TYPES.register("sync_page")(once.SyncPage)
MESSAGE_TYPES.register("hand_over_claims")(once.HandOverClaims)
MESSAGE_TYPES.register("hand_over_claims_taken")(once.HandOverClaimsAnswer)
MESSAGE_TYPES.register("follow")(replica.Follow)
MESSAGE_TYPES.register("update")(replica.Update)
MESSAGE_TYPES.register("take_tokens")(quota.TokenRequestBatch)
MESSAGE_TYPES.register("tokens_taken")(quota.TokenGrantBatch)
MESSAGE_TYPES.register("trust_notice")(TrustNotice)

FIELD_BY_TYPE: dict[type, str] = {
    MESSAGE_TYPES[name]: name for name in MESSAGE_TYPES.names()
}
