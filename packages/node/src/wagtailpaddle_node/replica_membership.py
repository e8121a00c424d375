"""Freshness of the copied store and the directory of VMs for callers."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from wagtailpaddle_config import ConfigDocument
from wagtailpaddle_core import ZoneId
from wagtailpaddle_fleet import CallerAddresses
from wagtailpaddle_once import OnceAction, Run, StoredAnswer
from wagtailpaddle_replica import (
    DEFAULT_APPLY_S,
    Collection,
    CollectionCopy,
    Member,
    Replica,
    active_vms,
)
from wagtailpaddle_routing import WARMUP_EXCESS, WARMUP_SLACK

MAX_CONFIG_AGE_S = 4.5
DIRECTORY_TTL_S = 2.0
MIN_ADDRESSES = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSettings:
    """Settings of the control plane that come from the platform.

    ``max_config_age_s`` is the maximum age of the configuration at which
    requests with a key are served. ``directory_ttl_s`` is how long callers may
    cache an answer of the directory. ``apply_s`` is the time in which every VM must
    know a record that the store acknowledged. ``refill`` names the refill policy of the
    rate limiter, and ``window_s`` is its window if the policy counts in windows.
    ``slack`` is how many requests above a limit may be admitted because many VMs
    share its count. In any second a cold server may get ``warmup_excess`` times what
    it tolerates and ``warmup_slack`` requests.
    """

    max_config_age_s: float = MAX_CONFIG_AGE_S
    directory_ttl_s: float = DIRECTORY_TTL_S
    seeds: tuple[str, ...] = ()
    apply_s: float = DEFAULT_APPLY_S
    refill: str = "plain"
    window_s: float = 5.0
    slack: float = 0.0
    warmup_excess: float = WARMUP_EXCESS
    warmup_slack: float = WARMUP_SLACK


class ReplicaMembership:
    """Tells whether this VM may serve requests and answers directory queries."""

    def __init__(self, replica: Replica, cfg: ReplicaSettings, *, seed: int = 0):
        self._replica = replica
        self._random = Random(f"addresses/{seed}/{replica.own.id}")
        self.cfg = cfg
        self.leaving = False
        self.n_slots = 0

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is current enough to check keys."""
        return self._replica.age_s(now, Collection.CONFIG) <= self.cfg.max_config_age_s

    def may_serve_open(self, now: float) -> bool:
        """Return whether there is any configuration, which suffices for open routes."""
        return self._config.is_known and any(
            isinstance(item, ConfigDocument) for item in self._config.values().values()
        )

    def addresses_for(self, now: float, zone: ZoneId | None) -> CallerAddresses:
        """Return addresses of the caller's zone, or of all zones if it has too few.

        Callers choose evenly among them, so smaller VMs are listed less often.
        """
        own = self._replica.own
        candidates = [
            member
            for member in self._replica.members.alive(now)
            if not member.is_leaving
        ]
        if not self.is_fresh(now) or not self.may_serve_open(now):
            others = self._replica.members.all()
            candidates = [
                item for item in others if not item.is_leaving and item.id != own.id
            ]
        found = active_vms(candidates, n_slots=self.n_slots)
        same_zone = [member for member in found if member.zone == zone]
        chosen = self._sample_by_cores(
            same_zone if len(same_zone) >= MIN_ADDRESSES else found
        )
        addresses = tuple(member.caller_address for member in chosen)
        return CallerAddresses(addresses, self.cfg.directory_ttl_s)

    def _sample_by_cores(self, members: Sequence[Member]) -> Sequence[Member]:
        """Select each VM with a probability proportional to its number of cores.

        Returns all VMs if too few are selected.
        """
        largest = max((member.cores for member in members), default=0.0)
        selected = [
            member
            for member in members
            if self._random.random() * largest <= member.cores
        ]
        return selected if len(selected) >= MIN_ADDRESSES else members

    @property
    def _config(self) -> CollectionCopy:
        return self._replica.copies[Collection.CONFIG]


class NoClaims:
    """Replaces the claim manager where no caller sends idempotency keys."""

    def begin(self, now: float, request: Any, *_: object) -> tuple[OnceAction, ...]:
        """Allow the request to run at once."""
        return (Run(request),)

    def finish(
        self, now: float, request: Any, outcome: Any, answer: StoredAnswer | None = None
    ) -> tuple[OnceAction, ...]:
        """Do nothing: there is no claim to end."""
        return ()
