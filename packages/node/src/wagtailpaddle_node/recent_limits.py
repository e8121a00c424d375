"""Rate limits of client accounts, with recent changes."""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from wagtailpaddle_config import ClientAccount
from wagtailpaddle_core import AccountId, Offset
from wagtailpaddle_quota import Limit

LIMIT_RETENTION_S = 600.0


class RecentLimits:
    """Stores recent changes of limits; accounts without one take no memory.

    Another VM may still apply the previous burst until a majority of the seats
    has confirmed the change, and for one freshness window after that. Until
    then the previous bursts are listed as unsettled. A process knows no history
    from before it received its first accounts, so their limits count as changed
    at that time.
    """

    def __init__(self, *, window_s: float):
        self._window_s = window_s
        self._accounts_since = float("-inf")
        self._has_accounts = False
        self._limits: dict[AccountId, Limit] = {}
        self._unsettled: dict[AccountId, Offset] = {}
        self._accepted_at: dict[Offset, float] = {}
        self._changed_order: deque[tuple[float, AccountId]] = deque()

    def get(self, account: ClientAccount) -> Limit:
        """Return the limit to apply to an account now."""
        known = self._limits.get(account.id)
        if known is not None:
            return known
        return Limit(account.rate, account.burst, self._accounts_since)

    def record_changes(
        self,
        now: float,
        offset: Offset,
        before: Mapping[AccountId, ClientAccount],
        after: Mapping[AccountId, ClientAccount],
        names: Iterable[AccountId] | None,
    ) -> bool:
        """Record changed accounts as of ``offset``; return whether a limit changed.

        ``names`` lists the accounts to compare; None compares all of them.
        """
        if not self._has_accounts and after:
            self._has_accounts = True
            self._accounts_since = now
        differs = False
        for name in after if names is None else names:
            old, new = before.get(name), after.get(name)
            if old is None or new is None or old is new:
                continue
            if (old.rate, old.burst) == (new.rate, new.burst):
                continue
            known = self._limits.get(name)
            unsettled = known.unsettled_bursts if known else ()
            bursts = tuple(sorted({*unsettled, old.burst}))
            self._limits[name] = Limit(new.rate, new.burst, now, bursts)
            self._unsettled[name] = offset
            self._changed_order.append((now, name))
            differs = True
        return differs

    def settle(self, now: float, is_accepted: Callable[[Offset], bool]) -> None:
        """Settle the changes that every fresh VM must have; discard old ones."""
        for offset in set(self._unsettled.values()):
            if offset not in self._accepted_at and is_accepted(offset):
                self._accepted_at[offset] = now
        for name, offset in list(self._unsettled.items()):
            accepted_at = self._accepted_at.get(offset)
            if accepted_at is None or now - accepted_at <= self._window_s:
                continue
            del self._unsettled[name]
            limit = self._limits[name]
            self._limits[name] = replace(limit, changed_at=now, unsettled_bursts=())
            self._changed_order.append((now, name))
        self._expire(now)

    def _expire(self, now: float) -> None:
        needed = set(self._unsettled.values())
        for offset in [known for known in self._accepted_at if known not in needed]:
            del self._accepted_at[offset]
        while (
            self._changed_order and now - self._changed_order[0][0] > LIMIT_RETENTION_S
        ):
            at, name = self._changed_order.popleft()
            known = self._limits.get(name)
            if known is None or known.changed_at > at or name in self._unsettled:
                continue
            del self._limits[name]
