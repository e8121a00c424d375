"""Limits of client accounts that changed a short time ago."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import replace

from wagtailpaddle_config import ClientAccount
from wagtailpaddle_core import AccountId
from wagtailpaddle_quota import Limit

LIMIT_MEMORY_S = 600.0


class RecentLimits:
    """Remembers changes of limits while they matter, and no other accounts.

    For ``keep_s`` seconds after a change another VM may still go by a burst
    before it, so these are stated as unsettled.
    """

    def __init__(self, *, keep_s: float):
        self._keep_s = keep_s
        self._limits: dict[AccountId, Limit] = {}
        self._order: deque[tuple[float, AccountId]] = deque()

    def get(self, account: AccountId) -> Limit | None:
        """Return the limit of an account that changed lately."""
        return self._limits.get(account)

    def note(
        self,
        now: float,
        before: Mapping[AccountId, ClientAccount],
        after: Mapping[AccountId, ClientAccount],
        names: Iterable[AccountId] | None,
    ) -> None:
        """Take in a change of accounts; ``names`` None means that any may differ."""
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
            self._order.append((now, name))

    def expire(self, now: float) -> None:
        """Drop what no longer matters."""
        while self._order and now - self._order[0][0] > LIMIT_MEMORY_S:
            at, name = self._order.popleft()
            known = self._limits.get(name)
            if known is not None and known.changed_at <= at:
                del self._limits[name]
        for name, limit in list(self._limits.items()):
            if limit.unsettled_bursts and now - limit.changed_at > self._keep_s:
                settled = replace(limit, changed_at=now, unsettled_bursts=())
                self._limits[name] = settled
                self._order.append((now, name))
