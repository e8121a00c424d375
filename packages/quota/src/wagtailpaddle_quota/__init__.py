"""Fleet-wide rate limits of client accounts: shares, loans, prefetched tokens."""

from typing import TYPE_CHECKING

from wagtailpaddle_core import lazy_attributes

if TYPE_CHECKING:
    from wagtailpaddle_quota.bucket import TokenBucket
    from wagtailpaddle_quota.messages import (
        NO_REVISION,
        AppendRecord,
        BucketState,
        ChangeShares,
        Decision,
        Granted,
        HandOverShare,
        HandOverShareAnswer,
        Limit,
        LoanAnswer,
        LoanRequest,
        QuotaAction,
        QuotaMessage,
        QuotaReply,
        QuotaStatus,
        RatePreview,
        Refused,
        SendPeer,
        ShareChange,
        ShareEntry,
        ShareHint,
        ShareId,
        ShareRecord,
        ShareSnapshot,
        SharesQuery,
        SharesState,
        TokenGrant,
        TokenGrantBatch,
        TokenRequest,
        TokenRequestBatch,
        WaitUntil,
    )
    from wagtailpaddle_quota.pool import TokenPool
    from wagtailpaddle_quota.prefetch_limiter import FetchTokens, PrefetchingRateLimiter
    from wagtailpaddle_quota.share_limiter import ShareRateLimiter

__all__ = [
    "NO_REVISION",
    "AppendRecord",
    "BucketState",
    "ChangeShares",
    "Decision",
    "FetchTokens",
    "Granted",
    "HandOverShare",
    "HandOverShareAnswer",
    "Limit",
    "LoanAnswer",
    "LoanRequest",
    "PrefetchingRateLimiter",
    "QuotaAction",
    "QuotaMessage",
    "QuotaReply",
    "QuotaStatus",
    "RatePreview",
    "Refused",
    "SendPeer",
    "ShareChange",
    "ShareEntry",
    "ShareHint",
    "ShareId",
    "ShareRateLimiter",
    "ShareRecord",
    "ShareSnapshot",
    "SharesQuery",
    "SharesState",
    "TokenBucket",
    "TokenGrant",
    "TokenGrantBatch",
    "TokenPool",
    "TokenRequest",
    "TokenRequestBatch",
    "WaitUntil",
]

if not TYPE_CHECKING:
    __getattr__ = lazy_attributes(
        __name__,
        __all__,
        ["messages", "bucket", "pool", "prefetch_limiter", "share_limiter"],
    )
