"""Load balancing: choice of one backend server among the usable ones."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from wagtailpaddle_core import Registry

from wagtailpaddle_routing.server import Server

ServerPredicate = Callable[[Server], bool]

N_DRAWS = 4
ZONE_MARGIN = 0.1
"""How much lower the cost of a remote server must be for it to be chosen."""

IGNORE_REPORTS_FRACTION = 0.125


@dataclass(frozen=True, slots=True)
class ZoneSplit:
    """The usable servers, split into the VM's availability zone and the others."""

    local: tuple[Server, ...] = ()
    remote: tuple[Server, ...] = ()


class Chooser(Protocol):
    """Picks a server for which ``is_eligible`` holds, or returns None."""

    def choose(
        self,
        now: float,
        zone_split: ZoneSplit,
        is_eligible: ServerPredicate,
        random: Random,
    ) -> Server | None:
        """Return one server of ``zone_split``."""


CHOOSERS: Registry[type[Chooser]] = Registry("chooser")


def pick_weighted(
    servers: Sequence[Server], is_eligible: ServerPredicate, random: Random
) -> Server | None:
    """Return a random eligible server, weighted by ``share``.

    Tries ``N_DRAWS`` random servers first. Scans all servers only if none of
    these is accepted, which is rare unless most servers are full.
    """
    n_servers = len(servers)
    if not n_servers:
        return None
    for _ in range(N_DRAWS):
        server = servers[int(random.random() * n_servers)]
        if is_eligible(server) and (
            server.share >= 1.0 or random.random() < server.share
        ):
            return server
    eligible = [server for server in servers if is_eligible(server)]
    if not eligible:
        return None
    return random.choices(eligible, [server.share for server in eligible])[0]


def less_loaded(
    now: float, first: Server, second: Server, *, ignore_reports: bool
) -> Server:
    """Return the less loaded of two servers, by cost or by in-flight count only."""
    if ignore_reports:
        return first if first.in_flight <= second.in_flight else second
    return first if first.cost(now) <= second.cost(now) else second


def pick_less_loaded(
    now: float,
    servers: Sequence[Server],
    is_eligible: ServerPredicate,
    random: Random,
    *,
    ignore_reports: bool,
) -> Server | None:
    """Return the less loaded of two random eligible servers."""
    first = pick_weighted(servers, is_eligible, random)
    if first is None or len(servers) == 1:
        return first
    second = pick_weighted(servers, is_eligible, random)
    if second is None:
        return first
    return less_loaded(now, first, second, ignore_reports=ignore_reports)


@CHOOSERS.register("zone-aware")
class ZoneAware:
    """Two random choices in the VM's zone, unless a remote server is less loaded.

    One choice in eight compares in-flight counts only, so that a wrong load
    report can neither starve a server nor attract all requests to it.
    """

    def choose(
        self,
        now: float,
        zone_split: ZoneSplit,
        is_eligible: ServerPredicate,
        random: Random,
    ) -> Server | None:
        """Return a server in the VM's zone unless a remote one is less loaded."""
        ignore_reports = random.random() < IGNORE_REPORTS_FRACTION
        local = pick_less_loaded(
            now, zone_split.local, is_eligible, random, ignore_reports=ignore_reports
        )
        if local is None:
            return pick_less_loaded(
                now,
                zone_split.remote,
                is_eligible,
                random,
                ignore_reports=ignore_reports,
            )
        if not local.in_flight and local.hint(now) <= ZONE_MARGIN:
            return local
        remote = pick_weighted(zone_split.remote, is_eligible, random)
        if remote is None:
            return local
        if ignore_reports:
            return less_loaded(now, local, remote, ignore_reports=True)
        return local if local.cost(now) <= remote.cost(now) + ZONE_MARGIN else remote


@CHOOSERS.register("two-choices")
class TwoChoices:
    """The less loaded of two random servers, in any zone."""

    def choose(
        self,
        now: float,
        zone_split: ZoneSplit,
        is_eligible: ServerPredicate,
        random: Random,
    ) -> Server | None:
        """Return the less loaded of two."""
        ignore_reports = random.random() < IGNORE_REPORTS_FRACTION
        return pick_less_loaded(
            now,
            zone_split.local + zone_split.remote,
            is_eligible,
            random,
            ignore_reports=ignore_reports,
        )


@CHOOSERS.register("random")
class RandomChoice:
    """A random eligible server."""

    def choose(
        self,
        now: float,
        zone_split: ZoneSplit,
        is_eligible: ServerPredicate,
        random: Random,
    ) -> Server | None:
        """Return a random server."""
        return pick_weighted(zone_split.local + zone_split.remote, is_eligible, random)


@CHOOSERS.register("round-robin")
class RoundRobin:
    """All servers in rotation."""

    def __init__(self) -> None:
        self._index = 0

    def choose(
        self,
        now: float,
        zone_split: ZoneSplit,
        is_eligible: ServerPredicate,
        random: Random,
    ) -> Server | None:
        """Return the next eligible server."""
        servers = zone_split.local + zone_split.remote
        for _ in servers:
            self._index += 1
            server = servers[self._index % len(servers)]
            if is_eligible(server):
                return server
        return None
