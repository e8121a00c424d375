"""Request handling of one service: admission, queueing, dispatch and retries."""

from math import inf
from random import Random

from wagtailpaddle_core import (
    ErrorKind,
    RequestId,
    ServerId,
    ServiceId,
    ensure,
)

from wagtailpaddle_routing.accounts import LatencyEstimator
from wagtailpaddle_routing.admission import check_admission
from wagtailpaddle_routing.bounded_queue import BoundedQueue
from wagtailpaddle_routing.budget import RetryBudget
from wagtailpaddle_routing.choosers import CHOOSERS
from wagtailpaddle_routing.idle_servers import IdleServers, RequestCounts
from wagtailpaddle_routing.inspection import Candidate
from wagtailpaddle_routing.limits import LIMITERS, SERVICE_LIMITERS
from wagtailpaddle_routing.messages import (
    NOT_RUN_OUTCOMES,
    Action,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    Dispatch,
    Job,
    Refuse,
    ServerView,
    ServiceStatus,
)
from wagtailpaddle_routing.pickers import PICKERS
from wagtailpaddle_routing.policy import Policy
from wagtailpaddle_routing.queues import QUEUES
from wagtailpaddle_routing.request_tracker import RequestTracker
from wagtailpaddle_routing.reserved_slots import ReservedSlots
from wagtailpaddle_routing.retry import (
    PendingRequest,
    State,
    Step,
    failure_kind,
    is_failure,
    next_step,
    record_result,
    truthful_kind,
)
from wagtailpaddle_routing.server import Server
from wagtailpaddle_routing.serverset import ServerSet
from wagtailpaddle_routing.suspects import SuspectTracker
from wagtailpaddle_routing.timeouts import (
    attempt_timeout_at,
    extended_timeout_at,
    may_use_another,
)
from wagtailpaddle_routing.zone_overflow import Crossing

RANKED = "ranked"
MIN_SERVICE_FRACTION = 0.5
"""A request is refused when less than this part of the mean service time is left."""

MIN_WAIT_S = 0.05
RETURN_SPREAD = 0.5
"""Callers return within this part of the wait after its end."""


class _ScanResult:
    """What the scan of the queue found for a request: a server, or no time left."""

    __slots__ = ("is_expired", "server")

    def __init__(self) -> None:
        self.server: Server | None = None
        self.is_expired: bool = False


class ServicePool:
    """Queues, dispatches and retries the requests of one service on this VM."""

    def __init__(
        self,
        now: float,
        service: ServiceId,
        *,
        policy: Policy,
        suspects: SuspectTracker,
        pending: dict[RequestId, PendingRequest],
        random: Random,
        n_vms: int = 1,
    ):
        self.service = service
        self.servers = ServerSet(
            zone=policy.zone,
            picker=PICKERS[policy.picker](
                chooser=CHOOSERS[policy.chooser](), suspects=suspects, random=random
            ),
            suspects=suspects,
            limiter=LIMITERS[policy.limiter],
            service_limiter=SERVICE_LIMITERS[policy.service_limiter](),
            random=random,
            crossing=Crossing(policy.crossing_s, policy.crossing_byte_s),
        )
        self.last_used_at = now
        self._policy = policy
        self._random = random
        self._queue = QUEUES[policy.queue]()
        self._waiting = BoundedQueue(
            queue=self._queue,
            max_waiting=policy.max_waiting,
            by_rank=policy.queue == RANKED,
        )
        self._requests = RequestTracker(service, pending=pending, queue=self._queue)
        self._budget = RetryBudget(
            now=now,
            per_request=policy.retries_per_request,
            per_s=policy.retries_per_s,
            max_tokens=policy.max_retries,
            n_vms=n_vms,
        )
        self.servers.share_limits(now, n_vms)
        self._latency = LatencyEstimator()
        self._backoff_end_at: float | None = None
        self._reserved_slots = ReservedSlots(policy.reserved)
        self._ends_at = inf
        self._reported = RequestCounts()

    @property
    def is_idle(self) -> bool:
        """Whether the service has no pending request on this VM."""
        return not self._requests.n_accounts

    @property
    def has_queued(self) -> bool:
        """Whether requests wait for a server."""
        return bool(self._waiting.n_queued)

    def share_budgets(self, now: float, n_vms: int) -> None:
        """Set how many VMs share the retry budget and the servers' stated limits."""
        self._budget.share(now, n_vms)
        self.servers.share_limits(now, n_vms)

    def set_servers(
        self, now: float, views: tuple[ServerView, ...], n_sharing_vms: int
    ) -> list[Action]:
        """Replace the servers."""
        if not self.servers.replace(now, views, n_sharing_vms):
            return []
        return self._refuse_unservable() + self._dispatch_queued(now)

    def arrive(self, now: float, job: Job) -> list[Action]:
        """Dispatch, queue or refuse an admitted request."""
        self.last_used_at = now
        if now >= job.deadline_at:
            detail = "the deadline passed before the request arrived"
            return [Refuse(job.id, ErrorKind.DEADLINE_EXCEEDED, detail)]
        self._reserved_slots.record_request(now, job.account)
        pending = self._requests.open(now, job, self._latency.mean_s)
        self._budget.deposit()
        if not self._waiting.n_queued:
            server = self._choose_server(now, pending)
            if server is not None:
                self._queue.record_direct_dispatch(job.account)
                return [self._start(now, pending, server)]
        if not self.servers.can_serve(pending):
            return [self._requests.refuse_unservable(pending)]
        return self._admit(now, pending)

    def finish(
        self, now: float, pending: PendingRequest, result: AttemptResult
    ) -> list[Action]:
        """Process the result of the running attempt of a request."""
        self.last_used_at = now
        record_result(pending, result)
        self.servers.record_attempt(now, pending.running_server, result)
        is_evacuated = pending.running_server.view.evacuated
        is_usual = self.servers.is_usual_latency(now, pending.running_server, result)
        if is_usual and not is_evacuated:
            self._latency.add(result.latency_s)
        self._stop(now, pending)
        if result.outcome not in NOT_RUN_OUTCOMES:
            self._requests.record_service_time(now, pending)
        actions = self._handle_result(now, pending, result)
        if self._waiting.n_queued:
            actions += self._dispatch_queued(now)
        return actions

    def extend_timeout(self, now: float, pending: PendingRequest) -> float:
        """Return until when the running attempt may go on after its time-out.

        That is ``now`` if another server can take the request at once. Otherwise the
        caller would get an error instead of an answer that may still come.
        """
        if now >= pending.job.deadline_at or self._can_replace(now, pending):
            return now
        return extended_timeout_at(now, pending, self._latency)

    def cancel(self, now: float, pending: PendingRequest) -> list[Action]:
        """Remove a request whose caller has disconnected."""
        if pending.state is not State.RUNNING:
            self._waiting.remove(pending)
            self._requests.close(pending)
            return []
        server = pending.running_server
        self._stop(now, pending)
        self._requests.close(pending)
        cancelled = CancelAttempt(pending.job.id, server.id, pending.n_attempts)
        return [cancelled, *self._dispatch_queued(now)]

    def abandon(self, now: float, pending: PendingRequest) -> list[Action]:
        """End the running attempt of a request, and refuse it as one that may have run.

        Nothing is recorded of the server, which may be sound.
        """
        server = pending.running_server
        self._stop(now, pending)
        pending.may_have_run = True
        detail = "the VM shut down before the server answered"
        refusal = self._requests.refuse(pending, failure_kind(pending), detail)
        cancelled = CancelAttempt(pending.job.id, server.id, pending.n_attempts)
        return [cancelled, refusal]

    def drop(
        self, pending: PendingRequest, kind: ErrorKind, detail: str
    ) -> list[Action]:
        """Refuse a queued request; a running one gets no further attempt."""
        if pending.state is State.RUNNING:
            pending.drop_kind = kind
            return []
        self._waiting.remove(pending)
        return [self._requests.refuse(pending, truthful_kind(pending, kind), detail)]

    def drain_until(self, now: float, ends_at: float) -> list[Action]:
        """Refuse the queued requests that this VM cannot serve before ``ends_at``.

        ``tick`` refuses further ones as the estimate of their wait changes.
        """
        self._ends_at = ends_at
        return self._refuse_surplus(now)

    def close(self, now: float) -> list[Action]:
        """Refuse the queued requests; running attempts finish."""
        self.servers.replace(now, (), 1)
        return self._refuse_unservable()

    def tick(self, now: float) -> list[Action]:
        """Refuse late requests and dispatch to servers whose back-off has ended."""
        actions: list[Action] = [
            self._requests.refuse_expired(pending, self._drain_time_s(now))
            for pending in self._waiting.expired(now, min_left_s=self._min_service_s())
        ]
        actions += self._refuse_surplus(now)
        if self._waiting.n_queued:
            actions += self._dispatch_queued(now)
        return actions

    def next_wake(self) -> float | None:
        """Return when ``tick`` is next due, or None."""
        if not self._waiting.n_queued:
            return None
        deadline_at = self._waiting.next_deadline()
        if deadline_at is not None:
            deadline_at -= self._min_service_s()
        last_start_at = self._ends_at - self._latency.silence_timeout_s
        times = (deadline_at, self._backoff_end_at, last_start_at)
        return min((at for at in times if at is not None and at < inf), default=None)

    def inspect(self, now: float, job: Job) -> tuple[Candidate, ...]:
        """Return every server as a new request sees it."""
        pending = PendingRequest(job, now)
        return self.servers.inspect(now, pending, self._latency.silence_timeout_s)

    def report_idle_servers(self, now: float) -> IdleServers:
        """Return the servers without a request lately, if requests were not served.

        The counts are those of the requests that ended since the last call.
        """
        counts = self._requests.counts.since(self._reported)
        self._reported = self._requests.counts
        groups: tuple[tuple[str, tuple[ServerId, ...]], ...] = ()
        if counts.n_unserved:
            groups = self.servers.group_idle(now, self._latency.silence_timeout_s)
        return IdleServers(self.service, self.servers.n_usable, counts, groups)

    def frozen_parts(self) -> list[object]:
        """Return the immutable parts, which a copy of the pool can share."""
        jobs = [pending.job for pending in self._waiting.all_queued()]
        return [*jobs, *self.servers.views, self._policy]

    def status(self, now: float) -> ServiceStatus:
        """Return the state of this service."""
        return ServiceStatus(
            service=self.service,
            n_queued=self._waiting.n_queued,
            n_running=self.servers.n_in_flight,
            n_accounts=self._requests.n_accounts,
            capacity=self.servers.capacity,
            wait_s=self._waiting.work_s / self._drain_capacity(now),
            retry_tokens=self._budget.tokens(now),
            servers=self.servers.status(now),
        )

    def _admit(self, now: float, pending: PendingRequest) -> list[Action]:
        """Queue a new request, or refuse it if it is not admitted."""
        refusal = check_admission(
            now,
            pending,
            self._waiting,
            mean_s=self._requests.account(pending.job.account).mean_s,
            min_service_s=self._min_service_s(),
            capacity=self._drain_capacity(now),
            ready_in_s=self.servers.ready_at(now) - now,
            wait_s=self._drain_time_s(now),
        )
        if refusal is None:
            return self._enqueue(now, pending) + self._dispatch_queued(now)
        detail, wait_s = refusal.detail, refusal.wait_s
        if self.servers.ready_at(now) > now:
            # Otherwise all callers would return in the same moment.
            wait_s *= 1.0 + RETURN_SPREAD * self._random.random()
        return [self._requests.refuse(pending, ErrorKind.OVERLOADED, detail, wait_s)]

    def _drain_time_s(self, now: float) -> float:
        """Return the estimated time to drain the queue, in seconds."""
        return max(MIN_WAIT_S, self._waiting.work_s / self._drain_capacity(now))

    def _drain_capacity(self, now: float) -> float:
        """Return how many requests run at a time while the queue drains."""
        return self.servers.drain_capacity(now, self._latency.mean_s)

    def _min_service_s(self) -> float:
        """Return the least service time expected of a request, in seconds."""
        return self._latency.mean_s * MIN_SERVICE_FRACTION

    def _enqueue(
        self, now: float, pending: PendingRequest, *, first: bool = False
    ) -> list[Action]:
        """Queue a request; refuse another one if the queue is over its bound."""
        account = self._requests.account(pending.job.account)
        pending.expected_s = account.mean_s
        self._waiting.enqueue(pending, first=first)
        victim = self._waiting.evict()
        ensure(
            self._waiting.n_queued <= self._waiting.max_waiting,
            "queue-bounded",
            n_queued=self._waiting.n_queued,
        )
        if victim is None:
            return []
        detail = f"client account {victim.job.account!r} has the longest queue"
        wait_s = self._drain_time_s(now)
        kind = truthful_kind(victim, ErrorKind.OVERLOADED)
        return [self._requests.refuse(victim, kind, detail, wait_s)]

    def _choose_server(self, now: float, pending: PendingRequest) -> Server | None:
        """Return a server to which the request can be dispatched now, or None."""
        n_free = self.servers.capacity - self.servers.n_running
        if n_free <= 0 or not self._reserved_slots.may_use(
            now,
            pending.job.account,
            self._requests,
            capacity=self.servers.capacity,
            n_free=n_free,
        ):
            return None
        return self.servers.choose(
            now,
            pending,
            self._latency.silence_timeout_s,
            may_probe=self._budget.is_mostly_full(now),
            mean_s=self._latency.mean_s,
        )

    def _dispatch_queued(self, now: float) -> list[Action]:
        """Dispatch queued requests while there is free capacity."""
        actions: list[Action] = []
        while self._may_dispatch(now):
            scan = _ScanResult()

            def is_eligible(pending: PendingRequest, scan: _ScanResult = scan) -> bool:
                min_service_s = self._min_service_s()
                scan.is_expired = now + min_service_s >= pending.job.deadline_at
                if not scan.is_expired:
                    scan.server = self._choose_server(now, pending)
                return scan.is_expired or scan.server is not None

            pending = self._waiting.pop(is_eligible)
            if pending is None:
                break
            if scan.server is None:
                self._waiting.record_expired(now, pending.job.rank)
                actions.append(
                    self._requests.refuse_expired(pending, self._drain_time_s(now))
                )
            else:
                self._waiting.record_served(now, pending.job.rank)
                actions.append(self._start(now, pending, scan.server))
        self._backoff_end_at = (
            self.servers.next_backoff_end(now) if self._waiting.n_queued else None
        )
        return actions

    def _may_dispatch(self, now: float) -> bool:
        """Return whether a queued request may find a server."""
        is_busy = self.servers.n_running >= self.servers.capacity
        if not self._waiting.n_queued or is_busy:
            return False
        return self.servers.may_start(now)

    def _start(self, now: float, pending: PendingRequest, server: Server) -> Dispatch:
        job = pending.job
        ensure(
            job.idempotent or not pending.may_have_run,
            "non-idempotent-runs-once",
            request=job.id,
        )
        ensure(job.idempotent or not server.view.probation, "probation-is-idempotent")
        self.servers.start(now, job.id, server)
        self._requests.begin(now, pending)
        pending.server = server
        pending.n_attempts += 1
        queued_s = now - pending.waiting_since
        timeout_at = attempt_timeout_at(
            now,
            pending,
            self._latency,
            may_retry=self.servers.n_usable > 1 and self._budget.is_mostly_full(now),
        )
        return Dispatch(
            job.id,
            job.service,
            server.id,
            pending.n_attempts,
            timeout_at,
            job.deadline_at,
            queued_s,
            int(server.limiter.cap),
        )

    def _can_replace(self, now: float, pending: PendingRequest) -> bool:
        """Return whether another server can take over from the running one now."""
        return (
            may_use_another(pending)
            and pending.drop_kind is None
            and self._budget.has_token(now)
            and self.servers.has_other(now, pending, self._latency.silence_timeout_s)
        )

    def _stop(self, now: float, pending: PendingRequest) -> None:
        """Release the slot of the running attempt."""
        self.servers.release(pending.job.id, pending.running_server)
        self._requests.end(now, pending)

    def _handle_result(
        self, now: float, pending: PendingRequest, result: AttemptResult
    ) -> list[Action]:
        """Retry, deliver or refuse a request whose attempt has ended."""
        step = next_step(pending, result, now, error_retries=self._policy.error_retries)
        if step is Step.RETRY_OR_DELIVER:
            return [self._retry_or_deliver(now, pending)]
        if step is Step.DELIVER:
            is_served = not is_failure(result)
            return [self._requests.deliver(pending, is_served=is_served)]
        if step is Step.REFUSE:
            return [self._refuse_failed(now, pending, result)]
        if step is Step.DROP:
            kind = truthful_kind(pending, pending.drop_kind or ErrorKind.INTERNAL)
            detail = "the request may not be tried on another server"
            return [self._requests.refuse(pending, kind, detail)]
        is_uncharged = step is Step.WAIT and not self._is_charged(result)
        may_retry = is_uncharged or self._budget.acquire(now)
        if not may_retry or not self.servers.can_serve(pending):
            return [self._refuse_failed(now, pending, result)]
        return self._retry(now, pending)

    def _refuse_failed(
        self, now: float, pending: PendingRequest, result: AttemptResult
    ) -> Refuse:
        """Refuse a request; jitter in Retry-After spreads the callers' retries."""
        wait_s = MIN_WAIT_S if result.is_shed_with_room else self._drain_time_s(now)
        jittered_s = wait_s * (1.0 + self._random.random())
        return self._requests.refuse_failed(now, pending, result, jittered_s)

    def _is_charged(self, result: AttemptResult) -> bool:
        """Return whether a retry after this result is charged to the retry budget."""
        return self._policy.charge_shed and result.outcome is AttemptOutcome.SHED

    def _retry(self, now: float, pending: PendingRequest) -> list[Action]:
        server = self._choose_server(now, pending)
        if server is not None:
            return [self._start(now, pending, server)]
        return self._enqueue(now, pending, first=True)

    def _retry_or_deliver(self, now: float, pending: PendingRequest) -> Action:
        """Retry on a server with a free slot, or deliver the answer at hand."""
        server = self._choose_server(now, pending)
        if server is not None and self._budget.acquire(now):
            return self._start(now, pending, server)
        return self._requests.deliver(pending, is_served=False)

    def _refuse_surplus(self, now: float) -> list[Action]:
        """Refuse the last requests of a queue that outlasts this VM."""
        actions: list[Action] = []
        last_start_at = self._ends_at - self._latency.silence_timeout_s
        while self._waiting.n_queued and now + self._drain_time_s(now) > last_start_at:
            pending = self._waiting.pop_last()
            kind = truthful_kind(pending, ErrorKind.DRAINING)
            detail = "the VM shuts down before the request's turn"
            wait_s = MIN_WAIT_S * (1.0 + self._random.random())
            retry_after_s = None if pending.may_have_run else wait_s
            actions.append(self._requests.refuse(pending, kind, detail, retry_after_s))
        return actions

    def _refuse_unservable(self) -> list[Action]:
        """Refuse the queued requests that no server is eligible for any more."""
        unservable = [
            pending
            for pending in self._waiting.all_queued()
            if not self.servers.can_serve(pending)
        ]
        for pending in unservable:
            self._waiting.remove(pending)
        return [self._requests.refuse_unservable(pending) for pending in unservable]
