"""This VM's state of one backend server."""

from math import ceil

from wagtailpaddle_core import RequestId, ensure

from wagtailpaddle_routing.limits import Limiter
from wagtailpaddle_routing.messages import (
    NOT_RUN_OUTCOMES,
    AttemptOutcome,
    AttemptResult,
    ServerView,
)
from wagtailpaddle_routing.stated_limit import StatedLimit
from wagtailpaddle_routing.warmup import WarmupLimit

LOAD_TTL_S = 2.0
DEFAULT_LOAD = 0.5
SHED_HALF_LIFE_S = 1.0
SHED_BACKOFF_S = 0.01
MAX_SHED_BACKOFF_S = 0.16
CONNECT_BACKOFF_S = 0.1
MAX_CONNECT_BACKOFF_S = 2.0
MAX_DOUBLINGS = 16
WARMUP_WINDOW_S = 1.0
"""A request of this time before a server became cold counts against its limit."""

SLOW_OUTCOMES = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT})
PROBATION_IN_FLIGHT = 1


class Server:
    """One server with its requests in flight, limit, load report and back-off.

    The weight of a load report decreases with age to 0 after ``LOAD_TTL_S``.
    Reports only break ties between servers that are about equally free.
    """

    __slots__ = (
        "_load",
        "_answered_at",
        "_load_at",
        "_n_not_run",
        "_shed",
        "_shed_at",
        "_started_at",
        "cap",
        "backoff_until",
        "id",
        "in_flight",
        "limiter",
        "rest_until",
        "share",
        "last_started_at",
        "stated_limit",
        "usable",
        "view",
        "warmup",
    )

    def __init__(self, view: ServerView, limiter: Limiter):
        self.id = view.id
        self.view = view
        self.limiter = limiter
        self.in_flight = 0
        self.share = 1.0
        self.cap = 1
        self.usable = False
        self.backoff_until = float("-inf")
        self._n_not_run = 0
        self._load = DEFAULT_LOAD
        self._load_at = float("-inf")
        self._shed = 0.0
        self._shed_at = 0.0
        self._answered_at = float("-inf")
        self._started_at: dict[RequestId, float] = {}
        self.last_started_at = float("-inf")
        self.stated_limit: StatedLimit | None = None
        self.rest_until = float("-inf")
        self.warmup: WarmupLimit | None = None
        self.update_view(view)

    @property
    def limit(self) -> float:
        """The limit on this VM's requests in flight, scaled by the weight."""
        return self.limiter.limit * self.view.weight

    def update_view(self, view: ServerView) -> None:
        """Replace the view and recompute ``cap`` from it."""
        self.view = view
        if view.probation:
            self.cap = PROBATION_IN_FLIGHT
        else:
            self.cap = max(1, ceil(self.limit))

    def update_warmup(self, now: float, part_per_s: float) -> None:
        """Set this VM's part of the limit of a server that is cold until a time."""
        ends_at = self.view.cold_until
        if self.is_cold(now) and self.warmup is not None:
            self.warmup.update(now, part_per_s, ends_at=ends_at)
            return
        is_unused = now - self.last_started_at >= WARMUP_WINDOW_S
        tokens = 1.0 if is_unused else 0.0
        self.warmup = WarmupLimit(now, part_per_s, tokens=tokens, ends_at=ends_at)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold and takes few requests."""
        return self.warmup is not None and now < self.warmup.ends_at

    def was_cold(self, started_at: float) -> bool:
        """Return whether an attempt that started then may be slow by its nature."""
        return self.view.warmup_per_s > 0.0 and started_at < self.view.cold_until

    def cost(self, now: float) -> float:
        """Return the load-balancing cost of this server; lower is better."""
        return self.in_flight / self.limiter.limit + self.hint(now)

    def hint(self, now: float) -> float:
        """Return the load in [0, 1] estimated from reports and shed answers."""
        age_s = now - self._load_at
        load = DEFAULT_LOAD
        if age_s < LOAD_TTL_S:
            freshness = 1.0 - max(0.0, age_s) / LOAD_TTL_S
            load += (self._load - DEFAULT_LOAD) * freshness
        return max(load, self.shed_level(now))

    def current_load(self, now: float) -> float:
        """Return the load of the server, as a part of its slots.

        It is the server's last report, weighted by its age, but at least what
        this VM has in flight there.
        """
        own_load = self.in_flight / max(1, self.view.slots)
        age_s = now - self._load_at
        if age_s >= LOAD_TTL_S:
            return own_load
        return max(own_load, self._load * (1.0 - max(0.0, age_s) / LOAD_TTL_S))

    @property
    def reported_load(self) -> float:
        """The load in [0, 1] that the server reported last."""
        return self._load

    def report_weight(self, now: float) -> float:
        """Return the weight, in [0, 1], that the age of the last report leaves it."""
        return max(0.0, min(1.0, 1.0 - (now - self._load_at) / LOAD_TTL_S))

    def free_slots(self, now: float) -> float:
        """Return how many slots are free; negative if requests wait there."""
        return max(1, self.view.slots) * (1.0 - self.current_load(now))

    def is_silent(self, now: float, limit_s: float) -> bool:
        """Return whether it has had work but answered none of it for ``limit_s``."""
        if not self._started_at or self.is_cold(now):
            return False
        oldest_at = next(iter(self._started_at.values()))
        since = max(oldest_at, self._answered_at)
        if self.view.warmup_per_s > 0.0:
            since = max(since, self.view.cold_until)
        return now - since > limit_s

    def is_proven(self, now: float, limit_s: float) -> bool:
        """Return whether the server answered a request in the last ``limit_s``."""
        return now - self._answered_at <= limit_s

    def is_restricted(self, now: float) -> bool:
        """Return whether the server is cold, states a limit or asked for a rest."""
        is_limited = self.stated_limit is not None or self.is_cold(now)
        return is_limited or self.rest_until > now

    def may_start(self, now: float) -> bool:
        """Return whether the server's limit and rest allow a request now."""
        return self.may_start_at(now) <= now

    def may_start_at(self, now: float) -> float:
        """Return when the server's limit and rest allow a request, at least ``now``."""
        start_at = max(now, self.rest_until)
        if self.stated_limit is not None:
            start_at = max(start_at, self.stated_limit.next_at(now))
        if self.warmup is not None:
            start_at = max(start_at, self.warmup.next_at(now))
        return start_at

    def drain_capacity(self, now: float, mean_s: float) -> float:
        """Return how many requests of ``mean_s`` seconds the limits let run."""
        running = self.limit
        if self.stated_limit is not None:
            running = min(running, self.stated_limit.part_per_s * mean_s)
        if self.warmup is not None and self.is_cold(now):
            running = min(running, self.warmup.part_per_s * mean_s)
        return running

    def forget_statements(self) -> None:
        """Forget what a former process of the server stated."""
        self.stated_limit = None
        self.rest_until = float("-inf")

    def record_rest(self, now: float, rest_s: float, *, spread_s: float) -> None:
        """Record that the server asked for a rest; it ends ``spread_s`` later."""
        self.rest_until = max(self.rest_until, now + rest_s + spread_s)

    def record_stated_limit(
        self, now: float, result: AttemptResult, *, n_vms: int, jitter: float
    ) -> None:
        """Record what an answer states of the rate that the server takes.

        An answer without a limit ends a former one, unless its request was sent
        before the server stated the limit.
        """
        per_s = result.stated_limit
        if per_s is not None and self.stated_limit is not None:
            self.stated_limit.restate(now, per_s, n_vms=n_vms)
        elif per_s is not None:
            self.stated_limit = StatedLimit(
                now, per_s, n_vms=n_vms, first_tokens=jitter
            )
        elif self.stated_limit is not None and result.is_answer:
            sent_at = now - result.latency_s
            if sent_at >= self.stated_limit.stated_at:
                self.stated_limit = None

    def start(self, now: float, request: RequestId) -> None:
        """Count an attempt that starts."""
        ensure(self.rest_until <= now, "server-rest-kept", server=self.id)
        ensure(self.may_start(now), "stated-limit-kept", server=self.id)
        if self.stated_limit is not None:
            self.stated_limit.spend(now)
        if self.warmup is not None and self.is_cold(now):
            ensure(self.warmup.next_at(now) <= now, "warmup-limit-kept", server=self.id)
            self.warmup.spend(now)
        ensure(self.in_flight < self.cap, "server-limit-kept", server=self.id)
        self.in_flight += 1
        self._started_at[request] = now
        self.last_started_at = now

    def release(self, request: RequestId) -> None:
        """Count an attempt that has ended."""
        self.in_flight -= 1
        self._started_at.pop(request, None)
        ensure(self.in_flight >= 0, "in-flight-not-negative", server=self.id)

    def record_attempt(self, now: float, result: AttemptResult) -> None:
        """Record the result of an attempt, before it is released."""
        is_slow = result.outcome in SLOW_OUTCOMES
        is_slow = is_slow and self.was_cold(now - result.latency_s)
        if not result.is_shed_with_room and not is_slow:
            self.limiter.update(now, result.outcome, result.latency_s, self.in_flight)
            self.update_view(self.view)
        if result.load is not None:
            self.report_load(now, result.load)
        if result.outcome is AttemptOutcome.ANSWERED:
            self._n_not_run = 0
            self._answered_at = now
        elif result.outcome in NOT_RUN_OUTCOMES:
            self._shed = (1.0 + self.shed_level(now)) / 2
            self._shed_at = now

    def report_load(self, now: float, load: float) -> None:
        """Record a load report; one outside [0, 1] is ignored."""
        if 0.0 <= load <= 1.0:
            self._load = load
            self._load_at = now

    def back_off(self, now: float, outcome: AttemptOutcome, jitter: float) -> None:
        """Back off exponentially after a shed answer or a failed connect.

        The back-off doubles until a request is answered; ``jitter`` in [0, 1)
        spreads it over half of its length. This bounds the rate of unsuccessful
        attempts for each server.
        """
        if outcome is AttemptOutcome.SHED:
            backoff_s = min(MAX_SHED_BACKOFF_S, SHED_BACKOFF_S * 2.0**self._n_not_run)
        else:
            doubled_s = CONNECT_BACKOFF_S * 2.0**self._n_not_run
            backoff_s = min(MAX_CONNECT_BACKOFF_S, doubled_s)
        self._n_not_run = min(MAX_DOUBLINGS, self._n_not_run + 1)
        self.backoff_until = now + backoff_s * (0.5 + 0.5 * jitter)

    def shed_level(self, now: float) -> float:
        """Return the level, in [0, 1], of recent refusals; it decays with time."""
        if self._shed < 0.01:
            return 0.0
        return self._shed * 0.5 ** ((now - self._shed_at) / SHED_HALF_LIFE_S)
