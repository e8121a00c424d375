"""Slots of a service that are reserved for client accounts with low usage."""

from wagtailpaddle_core import AccountId

from wagtailpaddle_routing.request_tracker import RequestTracker

SHARED_TTL_S = 5.0
"""How long a service counts as shared after a second account has used it."""


class ReservedSlots:
    """Reserves a part of the capacity for accounts below an equal share.

    Applies only while several accounts use the service on this VM; a single
    account may use the whole capacity.
    """

    def __init__(self, fraction: float):
        self._fraction = fraction
        self._last_account: AccountId | None = None
        self._last_shared_at = float("-inf")

    def record_request(self, now: float, account: AccountId) -> None:
        """Record which account uses the service."""
        if account == self._last_account:
            return
        if self._last_account is not None:
            self._last_shared_at = now
        self._last_account = account

    def may_use(
        self,
        now: float,
        account: AccountId,
        tracker: RequestTracker,
        *,
        capacity: int,
        n_free: int,
    ) -> bool:
        """Return whether an account may use one of the ``n_free`` slots."""
        if not self._fraction or n_free > max(1.0, capacity * self._fraction):
            return True
        if now - self._last_shared_at > SHARED_TTL_S:
            return True
        equal_share = capacity / max(2, tracker.n_accounts)
        return tracker.account(account).n_running < equal_share
