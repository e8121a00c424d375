"""This VM's part of the requests that a cold server bears in total.

The bound holds in any second over all VMs: ``excess`` times the rate that the server
tolerates while it warms up, and ``slack`` requests. VMs may disagree about who shares
it, so half of the bound is for the VMs that send now. The other half is for those of a
former view: VMs that are cut off keep their part.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache
from math import floor, inf

from wagtailpaddle_core import ServerId, rank, score

EXCESS = 1.5
SLACK = 8.0
"""By default all VMs send at most EXCESS times the tolerated rate, plus SLACK requests,
in any second."""

STANDBY_PART = 0.1
"""Part of the tolerated rate that one standby VM for each server may send."""

N_CANDIDATES = 32
"""VMs among which the senders of one server are chosen, however many there are."""

POSITION_CACHE_SIZE = 16384
"""A position depends on the name only, so all daemons of a process may share it."""

BURST = 1.0
"""Most tokens of a VM: in any second it sends at most its rate, rounded up."""


@lru_cache(maxsize=POSITION_CACHE_SIZE)
def _position(name: str) -> int:
    return score("warmup", name)


def ring_of(vms: Iterable[str]) -> tuple[str, ...]:
    """Return VMs in the order of their hashes, the same on every VM."""
    return tuple(sorted(vms, key=lambda vm: (_position(vm), vm)))


def _candidates(server: ServerId, ring: tuple[str, ...], n: int) -> tuple[str, ...]:
    """Return the ``n`` VMs that follow a server in the order of the hashes."""
    if len(ring) <= n:
        return ring
    begin = bisect_left(ring, _position(server), key=_position)
    return ring[begin : begin + n] + ring[: max(0, begin + n - len(ring))]


class SharerRole(StrEnum):
    """The part that a VM has; none while it is ``UNSETTLED``."""

    ACTIVE = "active"
    STANDBY = "standby"
    UNSETTLED = "unsettled"


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmupSharers:
    """The VMs that share the limits of cold servers, as one VM sees them.

    ``active`` are the VMs that may believe to carry callers, as ``ring_of`` orders
    them. ``standby`` are some of the others. VMs are named by their address for peers,
    because a VM that starts again there takes the place of the former one.
    """

    own: str = ""
    role: SharerRole = SharerRole.ACTIVE
    active: tuple[str, ...] = ("",)
    standby: tuple[str, ...] = ()
    excess: float = EXCESS
    slack: float = SLACK

    def part_per_s(self, server: ServerId, per_s: float) -> float:
        """Return how many requests per second this VM may send to a cold server.

        Only as many VMs send as have room for one request in the same second. They
        are chosen by rendezvous hashing; the others send nothing.

        >>> vms = ring_of(("v1", "v2"))
        >>> WarmupSharers(own="v1", active=vms).part_per_s(ServerId("s1"), 3.0)
        1.5
        """
        if self.role is SharerRole.UNSETTLED:
            return 0.0
        if self.role is SharerRole.STANDBY:
            return self._standby_part_per_s(server, per_s)
        n_requests = self._requests_per_second(per_s)
        candidates = _candidates(server, self.active, max(N_CANDIDATES, n_requests))
        senders = rank(server, candidates)[:n_requests]
        if self.own not in senders:
            return 0.0
        return min(per_s / len(senders), float(n_requests // len(senders)))

    def _requests_per_second(self, per_s: float) -> int:
        """Return how many requests the active VMs may send in any second.

        One more is left for a standby VM.
        """
        return max(1, floor((self.excess * per_s + self.slack) / 2 - 1))

    def _standby_part_per_s(self, server: ServerId, per_s: float) -> float:
        if rank(server, self.standby)[:1] != [self.own]:
            return 0.0
        return min(1.0, STANDBY_PART * per_s)


class WarmupLimit:
    """A token bucket for the requests of this VM to one cold server.

    >>> limit = WarmupLimit(0.0, 0.5, tokens=1.0, ends_at=9.0)
    >>> limit.spend(0.0)
    >>> limit.next_at(0.0), limit.next_at(8.0), limit.next_at(9.5)
    (2.0, 8.0, 9.5)
    """

    __slots__ = ("_tokens", "_updated_at", "ends_at", "part_per_s")

    def __init__(self, now: float, part_per_s: float, *, tokens: float, ends_at: float):
        self._tokens = tokens
        self._updated_at = now
        self.part_per_s = part_per_s
        self.ends_at = ends_at

    def update(self, now: float, part_per_s: float, *, ends_at: float) -> None:
        """Set this VM's part, and when the server is warm."""
        self._refill(now)
        self.part_per_s = part_per_s
        self.ends_at = ends_at

    def next_at(self, now: float) -> float:
        """Return when the next request may be sent, not before ``now``."""
        if now >= self.ends_at:
            return now
        self._refill(now)
        missing = max(0.0, BURST - self._tokens)
        wait_s = missing / self.part_per_s if self.part_per_s else inf
        return min(now + wait_s, self.ends_at)

    def spend(self, now: float) -> None:
        """Count a request."""
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        added = (now - self._updated_at) * self.part_per_s
        self._tokens = min(BURST, self._tokens + added)
        self._updated_at = now
