"""How current a copy of the store must be to serve, and whom callers are sent to."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from wagtailpaddle_core import ZoneId
from wagtailpaddle_fleet import CallerAddresses
from wagtailpaddle_once import OnceAction, Run, StoredAnswer
from wagtailpaddle_replica import (
    Collection,
    CollectionCopy,
    Member,
    Replica,
    active_vms,
)

FRESH_S = 4.5
KEEP_S = 2.0
MIN_ADDRESSES = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSettings:
    """What the platform's settings say to the control side.

    ``fresh_s`` bounds the age of the configuration by which requests with a key
    are served, ``keep_s`` how long callers keep the directory's answer.
    ``refill`` names what rate and burst mean, ``window_s`` is the window in which
    they are counted if it is one, ``slack`` how many requests above a limit the
    inexactness of many VMs may admit.
    """

    fresh_s: float = FRESH_S
    keep_s: float = KEEP_S
    seeds: tuple[str, ...] = ()
    refill: str = "plain"
    window_s: float = 5.0
    slack: float = 0.0


class ReplicaMembership:
    """Freshness and the directory, as the request's way sees them."""

    def __init__(self, replica: Replica, cfg: ReplicaSettings, *, seed: int = 0):
        self._replica = replica
        self._random = Random(f"addresses/{seed}/{replica.own.id}")
        self.cfg = cfg
        self.leaving = False
        self.n_slots = 0

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is current enough to check keys."""
        return self._replica.age_s(now, Collection.CONFIG) <= self.cfg.fresh_s

    def may_serve_open(self, now: float) -> bool:
        """Return whether there is any configuration to serve open routes by."""
        return self._config.is_known and bool(self._config.values())

    def addresses_for(self, now: float, zone: ZoneId | None) -> CallerAddresses:
        """Return the addresses for a caller: its zone's, else everybody's.

        Callers choose evenly among them, so smaller VMs are named less often.
        """
        own = self._replica.own
        serving = [
            member
            for member in self._replica.members.alive(now)
            if member.caller_address
        ]
        if not self.is_fresh(now) or not self.may_serve_open(now):
            others = self._replica.members.all()
            serving = [
                item for item in others if item.caller_address and item.id != own.id
            ]
        found = active_vms(serving, n_slots=self.n_slots)
        near = [member for member in found if member.zone == zone]
        chosen = self._by_size(near if len(near) >= MIN_ADDRESSES else found)
        addresses = tuple(member.caller_address for member in chosen)
        return CallerAddresses(addresses, self.cfg.keep_s)

    def _by_size(self, members: Sequence[Member]) -> Sequence[Member]:
        """Return the largest VMs and, now and then, each of the smaller ones."""
        largest = max((member.cores for member in members), default=0.0)
        kept = [
            member
            for member in members
            if self._random.random() * largest <= member.cores
        ]
        return kept if len(kept) >= MIN_ADDRESSES else members

    @property
    def _config(self) -> CollectionCopy:
        return self._replica.copies[Collection.CONFIG]


class NoClaims:
    """Stands in for claims where no caller sends idempotency keys."""

    def begin(self, now: float, request: Any, *_: object) -> tuple[OnceAction, ...]:
        """Let the request run."""
        return (Run(request),)

    def finish(
        self, now: float, request: Any, outcome: Any, answer: StoredAnswer | None = None
    ) -> tuple[OnceAction, ...]:
        """Keep nothing."""
        return ()
