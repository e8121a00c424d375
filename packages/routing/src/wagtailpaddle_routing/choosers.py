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
BLIND_FRACTION = 0.125


@dataclass(frozen=True, slots=True)
class ZoneSplit:
    """The usable servers, split into the VM's availability zone and the others."""

    local: tuple[Server, ...] = ()
    remote: tuple[Server, ...] = ()


class Chooser(Protocol):
    """Picks a server that ``is_eligible`` or returns None."""

    def choose(
        self, now: float, sides: ZoneSplit, is_eligible: ServerPredicate, random: Random
    ) -> Server | None:
        """Return one server of ``sides``."""


CHOOSERS: Registry[type[Chooser]] = Registry("chooser")


def draw(
    servers: Sequence[Server], is_eligible: ServerPredicate, random: Random
) -> Server | None:
    """Return a random server that fits, weighted by ``share``.

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
    fitting = [server for server in servers if is_eligible(server)]
    if not fitting:
        return None
    return random.choices(fitting, [server.share for server in fitting])[0]


def cheaper(now: float, first: Server, second: Server, *, blind: bool) -> Server:
    """Return the less loaded of two servers; ``blind`` ignores load reports."""
    if blind:
        return first if first.in_flight <= second.in_flight else second
    return first if first.cost(now) <= second.cost(now) else second


def draw_two(
    now: float,
    servers: Sequence[Server],
    is_eligible: ServerPredicate,
    random: Random,
    *,
    blind: bool,
) -> Server | None:
    """Return the less loaded of two random servers that fit."""
    first = draw(servers, is_eligible, random)
    if first is None or len(servers) == 1:
        return first
    second = draw(servers, is_eligible, random)
    if second is None:
        return first
    return cheaper(now, first, second, blind=blind)


@CHOOSERS.register("zone-aware")
class ZoneAware:
    """Two random choices in the VM's zone, unless a remote server is less loaded.

    One choice in eight compares in-flight counts only, so that a wrong load
    report can neither starve a server nor attract all requests to it.
    """

    def choose(
        self, now: float, sides: ZoneSplit, is_eligible: ServerPredicate, random: Random
    ) -> Server | None:
        """Return a server in the VM's zone unless a remote one is less loaded."""
        blind = random.random() < BLIND_FRACTION
        near = draw_two(now, sides.local, is_eligible, random, blind=blind)
        if near is None:
            return draw_two(now, sides.remote, is_eligible, random, blind=blind)
        if not near.in_flight and near.hint(now) <= ZONE_MARGIN:
            return near
        far = draw(sides.remote, is_eligible, random)
        if far is None:
            return near
        if blind:
            return cheaper(now, near, far, blind=True)
        return near if near.cost(now) <= far.cost(now) + ZONE_MARGIN else far


@CHOOSERS.register("two-choices")
class TwoChoices:
    """The less loaded of two random servers, in any zone."""

    def choose(
        self, now: float, sides: ZoneSplit, is_eligible: ServerPredicate, random: Random
    ) -> Server | None:
        """Return the less loaded of two."""
        blind = random.random() < BLIND_FRACTION
        return draw_two(
            now, sides.local + sides.remote, is_eligible, random, blind=blind
        )


@CHOOSERS.register("random")
class RandomChoice:
    """A random server that fits."""

    def choose(
        self, now: float, sides: ZoneSplit, is_eligible: ServerPredicate, random: Random
    ) -> Server | None:
        """Return a random server."""
        return draw(sides.local + sides.remote, is_eligible, random)


@CHOOSERS.register("round-robin")
class RoundRobin:
    """All servers in rotation."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, now: float, sides: ZoneSplit, is_eligible: ServerPredicate, random: Random
    ) -> Server | None:
        """Return the next server that fits."""
        servers = sides.local + sides.remote
        for _ in servers:
            self._turn += 1
            server = servers[self._turn % len(servers)]
            if is_eligible(server):
                return server
        return None
