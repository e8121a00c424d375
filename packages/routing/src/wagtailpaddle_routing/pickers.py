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
from wagtailpaddle_routing.zone_overflow import Crossing

LOW_LOAD = 0.7
HIGH_SHED_LEVEL = 0.3
"""Level of recent shed answers above which other servers are preferred."""

PROVEN_TTL_S = 2.0
"""How long a successful answer makes a server preferred for non-idempotent requests."""


@dataclass(frozen=True, slots=True)
class Candidates:
    """The servers that a request can be sent to, at the time ``now``.

    A server with requests in flight that has answered none of them for
    ``silence_timeout_s`` is silent, that is, it may hang. ``may_probe`` says whether
    the retry budget suffices to retry a request that fails. ``crossing`` is what
    another zone costs, and ``mean_s`` the mean service time.
    """

    now: float
    usable: tuple[Server, ...]
    to_verify: tuple[Server, ...]
    zone_split: ZoneSplit
    zone: ZoneId
    silence_timeout_s: float
    may_probe: bool = True
    crossing: Crossing = Crossing(latency_s=0.0, byte_s=0.0)
    mean_s: float = 0.0

    def is_available(self, server: Server, pending: PendingRequest) -> bool:
        """Return whether a server is eligible and has a free slot now."""
        return (
            self._has_free_slot(server, pending)
            and server.backoff_until <= self.now
            and server.may_start(self.now)
        )

    def will_be_available(self, server: Server, pending: PendingRequest) -> bool:
        """Return whether only a stated limit or a rest keeps the request away.

        A request must be allowed within half of the time that is left.
        """
        if not server.is_restricted(self.now):
            return False
        if not self._has_free_slot(server, pending):
            return False
        start_at = max(server.may_start_at(self.now), server.backoff_until)
        return start_at - self.now < (pending.job.deadline_at - self.now) / 2

    def _has_free_slot(self, server: Server, pending: PendingRequest) -> bool:
        return server.in_flight < server.cap and may_serve(server, pending)

    def is_responsive(self, server: Server, pending: PendingRequest) -> bool:
        """Return whether a server is eligible, has a free slot and is not silent."""
        is_silent = server.is_silent(self.now, self.silence_timeout_s)
        return not is_silent and self.is_available(server, pending)

    def may_use_silent(self, pending: PendingRequest) -> bool:
        """Return whether the request may be sent to a silent server.

        A non-idempotent one may only if every eligible server is silent.
        """
        return pending.job.idempotent or not any(
            may_serve(server, pending)
            and not server.is_silent(self.now, self.silence_timeout_s)
            for server in self.usable
        )


class Picker(Protocol):
    """Picks a server for a request, or None if the request has to wait."""

    def __init__(
        self, *, chooser: Chooser, suspects: SuspectTracker, random: Random
    ): ...

    def pick(self, candidates: Candidates, pending: PendingRequest) -> Server | None:
        """Return the server that gets the next attempt."""


PICKERS: Registry[type[Picker]] = Registry("picker")


@PICKERS.register("balanced")
class BalancedPicker:
    """Balances load; prefers servers that just answered for non-idempotent requests.

    An attempt that cannot be repeated goes to a server that did not fail lately, if
    there is one: a retry may use all the time that is left, so a hanging server
    would hold the request until its deadline.
    """

    def __init__(self, *, chooser: Chooser, suspects: SuspectTracker, random: Random):
        self._chooser = chooser
        self._suspects = suspects
        self._random = random

    def pick(self, candidates: Candidates, pending: PendingRequest) -> Server | None:
        """Return the server that gets the next attempt."""
        for server in candidates.to_verify:
            is_first_attempt = pending.job.idempotent and not pending.failed_on
            if (
                is_first_attempt
                and not server.in_flight
                and candidates.is_available(server, pending)
            ):
                return server

        def is_responsive(server: Server) -> bool:
            return candidates.is_responsive(server, pending)

        def proven(server: Server) -> bool:
            is_proven = server.is_proven(candidates.now, candidates.silence_timeout_s)
            return is_proven and is_responsive(server)

        def is_trusted(server: Server) -> bool:
            is_suspect = self._suspects[server.id].is_suspect(candidates.now)
            return not is_suspect and is_responsive(server)

        def is_available(server: Server) -> bool:
            return candidates.is_available(server, pending)

        choose, random, zone_split = (
            self._chooser.choose,
            self._random,
            candidates.zone_split,
        )
        chosen = None
        if not pending.job.idempotent:
            chosen = choose(candidates.now, zone_split, proven, random)
        is_repeatable = pending.job.idempotent and not pending.failed_on
        if chosen is None and not is_repeatable:
            chosen = choose(candidates.now, zone_split, is_trusted, random)
        if chosen is None:
            chosen = choose(candidates.now, zone_split, is_responsive, random)
        if chosen is not None or not candidates.may_use_silent(pending):
            return chosen
        return choose(candidates.now, zone_split, is_available, random)


@PICKERS.register("freshest")
class FreshestPicker:
    """Sends non-idempotent requests to the servers with the latest successes.

    A failure episode is detected by a request that fails, and a non-idempotent
    one cannot be retried. So non-idempotent requests use few servers: those with
    the most recent successful answer, as long as they have free slots. Idempotent
    requests do the detection: they go to the servers with the oldest
    information, and they test suspect servers.
    """

    def __init__(self, *, chooser: Chooser, suspects: SuspectTracker, random: Random):
        self._suspects = suspects
        self._random = random

    def pick(self, candidates: Candidates, pending: PendingRequest) -> Server | None:
        """Return the server that gets the next attempt."""
        available = [
            item
            for item in candidates.usable
            if candidates.is_responsive(item, pending)
        ]
        if not available and candidates.may_use_silent(pending):
            available = [
                item
                for item in candidates.usable
                if candidates.is_available(item, pending)
            ]
        if not available:
            return None
        untried = [item for item in available if item.id not in pending.shed_by]
        available = untried or available
        is_first_attempt = pending.job.idempotent and not pending.failed_on
        if is_first_attempt and candidates.may_probe:
            probe = next(self._to_probe(candidates, available), None)
            if probe is not None:
                self._suspects[probe.id].probed_at = candidates.now
                return probe
        cleared = [
            item
            for item in available
            if not self._suspects[item.id].is_suspect(candidates.now)
        ]
        if not cleared:
            if self._should_wait(candidates, pending):
                return None
            return self._oldest_failure(available)
        if is_first_attempt and candidates.may_probe:
            return self._explore(candidates, cleared, pending)
        return self._freshest(candidates, cleared, pending)

    def _should_wait(self, candidates: Candidates, pending: PendingRequest) -> bool:
        """Return whether to wait for a restricted server, not use a suspect one."""
        return any(
            candidates.will_be_available(item, pending)
            and not self._suspects[item.id].is_suspect(candidates.now)
            and not item.is_silent(candidates.now, candidates.silence_timeout_s)
            for item in candidates.usable
        )

    def _to_probe(
        self, candidates: Candidates, servers: Sequence[Server]
    ) -> Iterator[Server]:
        for server in servers:
            is_local = server.view.zone == candidates.zone
            state = self._suspects[server.id]
            if not server.in_flight and state.needs_probe(
                candidates.now, is_local=is_local
            ):
                yield server

    def _oldest_failure(self, servers: Sequence[Server]) -> Server:
        """Return the server with the oldest last failure."""
        return min(
            servers, key=lambda item: (self._suspects[item.id].last_failure_at, item.id)
        )

    def _explore(
        self,
        candidates: Candidates,
        servers: Sequence[Server],
        pending: PendingRequest,
    ) -> Server:
        """Return a server with the oldest information, one in the VM's zone first."""

        def order(server: Server) -> tuple[int, bool, bool, float, float]:
            observed_at = max(
                server.last_started_at, self._suspects[server.id].last_success_at
            )
            is_remote = server.view.zone != candidates.zone
            fullness = self._fullness(candidates, server)
            is_shedding = server.shed_level(candidates.now) > HIGH_SHED_LEVEL
            return (
                fullness,
                is_shedding,
                is_remote,
                observed_at,
                self._random.random(),
            )

        return min(servers, key=order)

    def _freshest(
        self,
        candidates: Candidates,
        servers: Sequence[Server],
        pending: PendingRequest,
    ) -> Server:
        """Return a server with free slots and the most recent success."""

        def order(server: Server) -> tuple[int, bool, bool, bool, float, float]:
            last_success_at = self._suspects[server.id].last_success_at
            is_unproven = candidates.now - last_success_at > PROVEN_TTL_S
            is_remote = server.view.zone != candidates.zone
            fullness = self._fullness(candidates, server)
            is_shedding = server.shed_level(candidates.now) > HIGH_SHED_LEVEL
            tie_break = self._random.random()
            return (
                fullness,
                is_shedding,
                is_unproven,
                is_remote,
                -last_success_at,
                tie_break,
            )

        return min(servers, key=order)

    def _fullness(self, candidates: Candidates, server: Server) -> int:
        """Return how full a server is, in steps.

        0 is free, 1 is nearly full, 2 is full, more is a queue at the server.
        """
        load = server.current_load(candidates.now)
        if load < LOW_LOAD:
            return 0
        if load < FULL_LOAD:
            return 1
        return 1 + int(load)


def may_serve(server: Server, pending: PendingRequest) -> bool:
    """Return whether the server is eligible for the request, busy or not."""
    if server.id in pending.failed_on:
        return False
    return pending.job.idempotent or not server.view.probation
