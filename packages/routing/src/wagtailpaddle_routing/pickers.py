"""Policies that pick the server for the next attempt of a request."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from wagtailpaddle_core import Registry, ZoneId

from wagtailpaddle_routing.choosers import Chooser, ZoneSplit
from wagtailpaddle_routing.messages import FULL_LOAD
from wagtailpaddle_routing.retry import PendingRequest
from wagtailpaddle_routing.server import Server
from wagtailpaddle_routing.suspects import SuspectTracker

ROOMY_LOAD = 0.7
SHEDDING = 0.3
"""Level of recent shed answers above which other servers are preferred."""

PROVEN_S = 2.0
"""How long a successful answer makes a server preferred for non-idempotent requests."""


@dataclass(frozen=True, slots=True)
class Candidates:
    """The servers that a request can be sent to, at the time ``now``.

    A server with requests in flight that has answered none of them for
    ``silence_timeout_s`` is silent, that is, it may hang. ``may_probe`` says whether
    the retry budget suffices to retry a request that fails.
    """

    now: float
    usable: tuple[Server, ...]
    to_verify: tuple[Server, ...]
    sides: ZoneSplit
    zone: ZoneId
    silence_timeout_s: float
    may_probe: bool = True

    def fits(self, server: Server, pending: PendingRequest) -> bool:
        """Return whether a server is eligible and has a free slot now."""
        return (
            server.in_flight < server.cap
            and server.backoff_until <= self.now
            and may_take(server, pending)
        )

    def answers(self, server: Server, pending: PendingRequest) -> bool:
        """Return whether a server is eligible, has a free slot and is not silent."""
        is_silent = server.is_silent(self.now, self.silence_timeout_s)
        return not is_silent and self.fits(server, pending)

    def may_hang(self, pending: PendingRequest) -> bool:
        """Return whether the request may be sent to a silent server.

        A non-idempotent one may only if every eligible server is silent.
        """
        return pending.job.idempotent or not any(
            may_take(server, pending)
            and not server.is_silent(self.now, self.silence_timeout_s)
            for server in self.usable
        )


class Picker(Protocol):
    """Picks a server for a request, or None if the request has to wait."""

    def __init__(self, *, chooser: Chooser, trust: SuspectTracker, random: Random): ...

    def pick(self, candidates: Candidates, pending: PendingRequest) -> Server | None:
        """Return the server that gets the next attempt."""


PICKERS: Registry[type[Picker]] = Registry("picker")


@PICKERS.register("balanced")
class BalancedPicker:
    """Balances load; prefers servers that just answered for non-idempotent requests."""

    def __init__(self, *, chooser: Chooser, trust: SuspectTracker, random: Random):
        self._chooser = chooser
        self._random = random

    def pick(self, candidates: Candidates, pending: PendingRequest) -> Server | None:
        """Return the server that gets the next attempt."""
        for server in candidates.to_verify:
            is_first = pending.job.idempotent and not pending.failed_on
            if is_first and not server.in_flight and candidates.fits(server, pending):
                return server

        def answers(server: Server) -> bool:
            return candidates.answers(server, pending)

        def proven(server: Server) -> bool:
            is_proven = server.is_proven(candidates.now, candidates.silence_timeout_s)
            return is_proven and answers(server)

        def fits(server: Server) -> bool:
            return candidates.fits(server, pending)

        choose, random, sides = self._chooser.choose, self._random, candidates.sides
        chosen = None
        if not pending.job.idempotent:
            chosen = choose(candidates.now, sides, proven, random)
        if chosen is None:
            chosen = choose(candidates.now, sides, answers, random)
        if chosen is not None or not candidates.may_hang(pending):
            return chosen
        return choose(candidates.now, sides, fits, random)


@PICKERS.register("freshest")
class FreshestPicker:
    """Sends non-idempotent requests to the servers with the latest successes.

    A failure episode is detected by a request that fails, and a non-idempotent
    one cannot be retried. So non-idempotent requests use few servers: those with
    the most recent successful answer, as long as they have free slots. Idempotent
    requests do the detection: they go to the servers with the oldest
    information, and they test suspect servers.
    """

    def __init__(self, *, chooser: Chooser, trust: SuspectTracker, random: Random):
        self._trust = trust
        self._random = random

    def pick(self, candidates: Candidates, pending: PendingRequest) -> Server | None:
        """Return the server that gets the next attempt."""
        fitting = [
            item for item in candidates.usable if candidates.answers(item, pending)
        ]
        if not fitting and candidates.may_hang(pending):
            fitting = [
                item for item in candidates.usable if candidates.fits(item, pending)
            ]
        if not fitting:
            return None
        untried = [item for item in fitting if item.id not in pending.shed_by]
        fitting = untried or fitting
        is_first = pending.job.idempotent and not pending.failed_on
        if is_first and candidates.may_probe:
            probe = next(self._to_probe(candidates, fitting), None)
            if probe is not None:
                self._trust[probe.id].probed_at = candidates.now
                return probe
        trusted = [
            item
            for item in fitting
            if not self._trust[item.id].is_suspect(candidates.now)
        ]
        if not trusted:
            return self._least_bad(fitting)
        if is_first and candidates.may_probe:
            return self._explore(candidates, trusted)
        return self._freshest(candidates, trusted)

    def _to_probe(
        self, candidates: Candidates, servers: Sequence[Server]
    ) -> Iterator[Server]:
        for server in servers:
            near = server.view.zone == candidates.zone
            trust = self._trust[server.id]
            if not server.in_flight and trust.needs_probe(candidates.now, near=near):
                yield server

    def _least_bad(self, servers: Sequence[Server]) -> Server:
        """Return the server with the oldest last failure."""
        return min(servers, key=lambda item: (self._trust[item.id].bad_at, item.id))

    def _explore(self, candidates: Candidates, servers: Sequence[Server]) -> Server:
        """Return a server with the oldest information, one in the VM's zone first."""

        def order(server: Server) -> tuple[int, bool, bool, float, float]:
            known_at = max(server.started_last_at, self._trust[server.id].good_from)
            is_far = server.view.zone != candidates.zone
            crowd = self._crowd(candidates, server)
            is_shedding = server.shed_level(candidates.now) > SHEDDING
            return (crowd, is_shedding, is_far, known_at, self._random.random())

        return min(servers, key=order)

    def _freshest(self, candidates: Candidates, servers: Sequence[Server]) -> Server:
        """Return a server with free slots and the most recent success."""

        def order(server: Server) -> tuple[int, bool, bool, bool, float, float]:
            good_from = self._trust[server.id].good_from
            is_unproven = candidates.now - good_from > PROVEN_S
            is_far = server.view.zone != candidates.zone
            crowd = self._crowd(candidates, server)
            is_shedding = server.shed_level(candidates.now) > SHEDDING
            chance = self._random.random()
            return (crowd, is_shedding, is_unproven, is_far, -good_from, chance)

        return min(servers, key=order)

    def _crowd(self, candidates: Candidates, server: Server) -> int:
        """Return how full a server is, in steps.

        0 is free, 1 is nearly full, 2 is full, more is a queue at the server.
        """
        load = server.load_now(candidates.now)
        if load < ROOMY_LOAD:
            return 0
        if load < FULL_LOAD:
            return 1
        return 1 + int(load)


def may_take(server: Server, pending: PendingRequest) -> bool:
    """Return whether the server is eligible for the request, busy or not."""
    if server.id in pending.failed_on:
        return False
    return pending.job.idempotent or not server.view.probation
