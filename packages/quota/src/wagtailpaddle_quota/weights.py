"""How the limit of a client account is split into shares."""

from hashlib import blake2b

from wagtailpaddle_core import AccountId

from wagtailpaddle_quota.messages import Limit

MIN_SHARE_BURST = 4.0
"""Smallest burst per share, in tokens, for an account that uses several shares."""


def group_of(account: AccountId, n_groups: int) -> int:
    """Return the group of ``account``, which is the same on every VM."""
    digest = blake2b(account.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % n_groups


def n_used_shares(burst: float, n_shares: int) -> int:
    """Return how many shares an account with ``burst`` uses.

    >>> n_used_shares(3.0, 4), n_used_shares(10.0, 4), n_used_shares(100.0, 4)
    (1, 2, 4)
    """
    return max(1, min(n_shares, int(burst / MIN_SHARE_BURST)))


def weight(limit: Limit, index: int, n_shares: int) -> float:
    """Return the fraction of ``limit`` that belongs to share ``index``.

    While some fresh VM may not have received a change of the burst, this is the
    smallest of the old and new fractions. VMs that know different bursts then
    never grant more than the whole limit together.
    """
    bursts = (limit.burst, *limit.unsettled_bursts)
    return min(_fraction(burst, index, n_shares) for burst in bursts)


def _fraction(burst: float, index: int, n_shares: int) -> float:
    active = n_used_shares(burst, n_shares)
    return 1.0 / active if index < active else 0.0
