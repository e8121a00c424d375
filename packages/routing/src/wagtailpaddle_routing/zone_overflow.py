"""Decides which requests overflow to the servers of other zones.

The inputs are frozen: what the VM knows of the room in each zone, what a crossing
costs, and what the request needs. Two decisions follow from them. A damped share says
which part of the requests leaves while the zone's own servers run short. A request
whose own zone has no free slot leaves at once if it would otherwise wait for longer
than a crossing costs.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_routing.messages import Rank

RESERVE = 0.15
"""Part of its slots that a lending zone keeps free for its own callers."""

LOW_RANK_RESERVE = 2 * RESERVE
"""The same against requests of accounts below the highest priority."""

HIGH_UTILIZATION = 0.9
LOW_UTILIZATION = 0.75
"""The share rises above HIGH_UTILIZATION and falls below LOW_UTILIZATION. The gap
prevents oscillation."""

FULL_UTILIZATION = 0.97
"""Use of the other zones at which the share falls although the own zone is short."""

UNKNOWN_UTILIZATION = 0.5
UNKNOWN_WEIGHT = 0.1
"""Assumed use where there is no report, and its weight in slots against reports."""

STEP_S = 0.25
MAX_RISE_S = 2 * STEP_S
"""Longest time that one increase covers: reports from before a pause are stale."""

GAIN_PER_S = 1.0
MAX_CHANGE_PER_S = 0.1
"""Load reports are up to 0.5 s old. The change in that time stays well below the gap
between the two levels, so that the share does not oscillate."""

TYPICAL_ANSWER_BYTES = 1400
"""Response size assumed for the cost of a request, in bytes."""


@dataclass(frozen=True, slots=True)
class ZoneRoom:
    """The servers of one or several zones, as far as this VM knows.

    ``n_slots`` counts the slots of all servers, ``n_known`` those with a fresh report,
    by age, and ``n_busy`` the slots in use of the latter. ``n_queued`` is how many
    requests wait at the servers. A server that takes no request now counts as busy.
    """

    n_slots: float = 0.0
    n_known: float = 0.0
    n_busy: float = 0.0
    n_queued: float = 0.0

    @property
    def confidence(self) -> float:
        """The part of the slots that is known, in [0, 1]."""
        return min(1.0, self.n_known / self.n_slots) if self.n_slots else 1.0

    @property
    def utilization(self) -> float:
        """The part of the slots in use, in [0, 1]; 1 where there is no server.

        >>> ZoneRoom().utilization, ZoneRoom(n_slots=8).utilization
        (1.0, 0.5)
        """
        if not self.n_slots:
            return 1.0
        busy = self.n_busy + UNKNOWN_UTILIZATION * UNKNOWN_WEIGHT
        return min(1.0, busy / (self.n_known + UNKNOWN_WEIGHT))

    def wait_s(self, mean_s: float) -> float:
        """Return the expected wait for a slot that is taken, in seconds."""
        if not self.n_slots:
            return float("inf")
        return mean_s * (self.utilization + self.n_queued / self.n_slots)

    def lends(self, rank: Rank) -> bool:
        """Return whether requests of other zones may use the free slots."""
        reserve = LOW_RANK_RESERVE if rank[0] else RESERVE
        return 1.0 - self.utilization > reserve


def total_room(rooms: Collection[ZoneRoom]) -> ZoneRoom:
    """Return the room of several servers or zones together."""
    return ZoneRoom(
        sum(room.n_slots for room in rooms),
        sum(room.n_known for room in rooms),
        sum(room.n_busy for room in rooms),
        sum(room.n_queued for room in rooms),
    )


def load_of_others(load: float, n_slots: int) -> float:
    """Return the mean load of a server, from one that it reported in an answer.

    The answered request still counts in the report, so the slots in use are those that
    the other requests leave it. With few slots the difference is large.

    >>> load_of_others(0.5, 2), load_of_others(1.0, 2), load_of_others(0.5, 4)
    (0.0, 1.0, 0.3333333333333333)
    """
    if n_slots <= 1:
        return load
    return max(0.0, (load * n_slots - 1.0) / (n_slots - 1.0))


@dataclass(frozen=True, slots=True)
class Crossing:
    """What it costs to send a request to another zone.

    ``latency_s`` is the round trip between zones, and ``byte_s`` the price of a byte
    as the latency that it is worth, both in seconds.
    """

    latency_s: float
    byte_s: float

    def cost_s(self, n_bytes: int) -> float:
        """Return the cost for a request with a body of ``n_bytes``, in seconds."""
        return self.latency_s + self.byte_s * (n_bytes + TYPICAL_ANSWER_BYTES)


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """What the decision has to know of a request; ``mean_s`` is its service time."""

    rank: Rank
    left_s: float
    mean_s: float
    n_bytes: int = 0

    def is_late_after(self, wait_s: float) -> bool:
        """Return whether a wait makes the request miss its deadline."""
        return wait_s + self.mean_s > self.left_s


class ZoneChoice(StrEnum):
    """The group of servers that a request may use."""

    OWN_ZONE = "own-zone"
    SPARE_CAPACITY = "spare-capacity"
    RESERVED_CAPACITY = "reserved-capacity"
    LOWEST_COST = "lowest-cost"


@dataclass(frozen=True, slots=True)
class Options:
    """Where a request finds a free slot.

    ``has_reserved`` is set if only the reserve of another zone has one. ``own_wait_s``
    is the least wait at a server of the own zone, infinite if it has none.
    """

    has_own: bool
    has_lent: bool
    has_reserved: bool
    own_wait_s: float


@dataclass(frozen=True, slots=True)
class OverflowShare:
    """The share of requests sent to other zones although the own one has free slots."""

    value: float = 0.0
    updated_at: float = 0.0


def change_per_s(own: ZoneRoom, others: ZoneRoom) -> float:
    """Return how fast the share changes; it stays between the two levels of use.

    >>> full, idle = ZoneRoom(8, 8, 8), ZoneRoom(16, 16, 2)
    >>> change_per_s(full, idle) > 0, change_per_s(idle, idle) < 0
    (True, True)
    """
    use = own.utilization
    if use < LOW_UTILIZATION:
        return -min(MAX_CHANGE_PER_S, GAIN_PER_S * (LOW_UTILIZATION - use))
    if others.utilization > FULL_UTILIZATION:
        return -MAX_CHANGE_PER_S
    if use <= HIGH_UTILIZATION or others.utilization >= 1.0 - RESERVE:
        return 0.0
    rise = min(MAX_CHANGE_PER_S, GAIN_PER_S * (use - HIGH_UTILIZATION))
    return rise * own.confidence


def next_step_at(now: float, jitter: float) -> float:
    """Return when the next step is due; ``jitter`` in [0, 1) spreads the VMs' steps."""
    return now + STEP_S * (0.75 + 0.5 * jitter)


def next_share(
    share: OverflowShare, now: float, own: ZoneRoom, others: ZoneRoom
) -> OverflowShare:
    """Return the share after a step."""
    elapsed_s = now - share.updated_at
    change = change_per_s(own, others)
    if change > 0.0:
        elapsed_s = min(elapsed_s, MAX_RISE_S)
    value = max(0.0, min(1.0, share.value + change * elapsed_s))
    return OverflowShare(value, now)


def choose_zone(
    options: Options,
    needs: RequestNeeds,
    crossing: Crossing,
    own: ZoneRoom,
    share: float,
    draw: float,
) -> ZoneChoice:
    """Return which servers the request may use; ``draw`` in [0, 1) is random."""
    cost_s = crossing.cost_s(needs.n_bytes)
    if options.has_own:
        is_worth = cost_s < own.wait_s(needs.mean_s)
        if draw < share and options.has_lent and is_worth:
            return ZoneChoice.SPARE_CAPACITY
        return ZoneChoice.OWN_ZONE
    is_late = needs.is_late_after(options.own_wait_s)
    if options.has_lent and (is_late or cost_s < options.own_wait_s):
        return ZoneChoice.SPARE_CAPACITY
    if options.has_reserved and is_late:
        return ZoneChoice.RESERVED_CAPACITY
    return ZoneChoice.LOWEST_COST
