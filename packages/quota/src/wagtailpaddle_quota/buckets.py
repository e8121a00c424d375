"""The token buckets of the shares that one VM holds."""

from collections.abc import Callable, Collection, Mapping
from copy import copy, deepcopy

from wagtailpaddle_core import AccountId, only

from wagtailpaddle_quota.lending_bucket import LendingBucket
from wagtailpaddle_quota.messages import BucketState, HandOverShare, Limit, ShareId
from wagtailpaddle_quota.shares import HeldShare
from wagtailpaddle_quota.weights import group_of, n_used_shares, weight

MAX_HAND_OVER_BUCKETS = 2000
"""Largest number of accounts listed in one hand-over."""

SWEEP_BATCH_SIZE = 64
"""Buckets checked in one tick, to discard those that are full."""


class ShareBuckets:
    """A bucket for each share and client account that is in use.

    Full buckets are discarded, so idle accounts take no memory. They are recreated
    from the time at which their share began to refill.
    """

    def __init__(self, *, n_groups: int, n_shares: int):
        self._n_shares = n_shares
        self._groups = [
            tuple(ShareId(group, index) for index in range(n_shares))
            for group in range(n_groups)
        ]
        self._buckets: dict[ShareId, dict[AccountId, LendingBucket]] = {}
        self._to_sweep: list[tuple[ShareId, AccountId]] = []

    def __len__(self) -> int:
        return sum(len(buckets) for buckets in self._buckets.values())

    def copy_for(self, account: AccountId) -> "ShareBuckets":
        """Return a copy with the buckets of one account."""
        reduced = copy(self)
        reduced._buckets = {
            share: deepcopy(only(buckets, account))
            for share, buckets in self._buckets.items()
        }
        return reduced

    def shares_of(self, account: AccountId, limit: Limit) -> tuple[ShareId, ...]:
        """Return the shares that ``account`` uses."""
        shares = self._groups[group_of(account, len(self._groups))]
        return shares[: n_used_shares(limit.burst, self._n_shares)]

    def bucket(
        self, now: float, account: AccountId, limit: Limit, held_share: HeldShare
    ) -> LendingBucket:
        """Return the bucket of ``account``, creating it if the account was idle."""
        buckets = self._buckets.setdefault(held_share.share, {})
        share_weight = weight(limit, held_share.share.index, self._n_shares)
        rate, burst = limit.rate * share_weight, limit.burst * share_weight
        bucket = buckets.get(account)
        if bucket is not None:
            bucket.set_limit(now, rate, burst, limit.changed_at)
            return bucket
        since = max(held_share.filling_since, limit.changed_at)
        tokens = min(burst, rate * max(0.0, now - since))
        bucket = LendingBucket(rate=rate, burst=burst, tokens=tokens, now=now)
        buckets[account] = bucket
        return bucket

    def retain_only(self, shares: Collection[ShareId]) -> None:
        """Discard the buckets of shares that are no longer held."""
        for share in [share for share in self._buckets if share not in shares]:
            del self._buckets[share]

    def sweep(self, now: float) -> None:
        """Check the next batch of buckets and discard those that are full."""
        if not self._to_sweep:
            self._to_sweep = [
                (share, account)
                for share, buckets in self._buckets.items()
                for account in buckets
            ]
        batch = self._to_sweep[:SWEEP_BATCH_SIZE]
        self._to_sweep = self._to_sweep[SWEEP_BATCH_SIZE:]
        for share, account in batch:
            buckets = self._buckets.get(share, {})
            if account in buckets and buckets[account].idle(now):
                del buckets[account]

    def pop(
        self, now: float, held_share: HeldShare
    ) -> tuple[tuple[BucketState, ...], float]:
        """Remove a share; return its buckets that are not full, and a refill time.

        The refill time applies to all other buckets. It is 0 if not all buckets
        could be listed, so those left out start empty.
        """
        buckets = self._buckets.pop(held_share.share, {})
        states = tuple(
            BucketState(account, item.tokens(now), item.lent(now))
            for account, item in sorted(buckets.items())
            if not item.idle(now)
        )
        if len(states) > MAX_HAND_OVER_BUCKETS:
            return states[:MAX_HAND_OVER_BUCKETS], 0.0
        return states, max(0.0, now - held_share.filling_since)

    def restore(
        self,
        now: float,
        message: HandOverShare,
        held_share: HeldShare,
        limits: Callable[[AccountId], Limit | None],
    ) -> None:
        """Restore the buckets that the previous holder handed over."""
        self._buckets.pop(message.share, None)
        for state in message.buckets:
            limit = limits(state.account)
            if limit is not None:
                bucket = self.bucket(now, state.account, limit, held_share)
                bucket.restore(now, state.tokens, state.lent)

    def usable(
        self,
        now: float,
        account: AccountId,
        limit: Limit,
        held: Mapping[ShareId, HeldShare],
    ) -> list[LendingBucket]:
        """Return the buckets of ``account`` in the shares that are ready."""
        usable = []
        for share in self.shares_of(account, limit):
            held_share = held.get(share)
            if held_share is not None and held_share.ready(now):
                usable.append(self.bucket(now, account, limit, held_share))
        return usable
