"""The dispatcher: routes admitted requests to backend servers."""

from copy import copy, deepcopy
from dataclasses import replace
from math import inf
from random import Random
from typing import Any

from wagtailpaddle_core import (
    ErrorKind,
    RequestId,
    ServerId,
    ServiceId,
    ensure,
    only,
)

from wagtailpaddle_routing.idle_servers import IdleServers
from wagtailpaddle_routing.inspection import Candidate
from wagtailpaddle_routing.messages import (
    Action,
    AttemptResult,
    Job,
    Refuse,
    ServerView,
    ServiceStatus,
)
from wagtailpaddle_routing.policy import Policy
from wagtailpaddle_routing.pool import ServicePool
from wagtailpaddle_routing.retry import PendingRequest, State
from wagtailpaddle_routing.suspects import SuspectTracker, TrustNotice
from wagtailpaddle_routing.warmup import WarmupSharers

IDLE_TIMEOUT_S = 300.0


class Dispatcher:
    """Queues requests, chooses servers and decides on retries for one VM.

    Methods take the current time ``now`` in seconds and return actions that the
    front end carries out in order. Every request that arrives ends with exactly
    one ``Deliver`` or ``Refuse``, unless it is cancelled. The front end calls
    ``finish`` once when a dispatched attempt ends. Keyword arguments are fields
    of ``Policy``.

    >>> from wagtailpaddle_core import AccountId, ZoneId
    >>> dispatcher = Dispatcher(seed=1)
    >>> view = ServerView(ServerId("s1"), ZoneId("a"), slots=4, connections=300)
    >>> dispatcher.set_servers(0.0, ServiceId("booking"), (view,))
    ()
    >>> job = Job(RequestId("r1"), AccountId("x"), ServiceId("booking"), True, 0, 9)
    >>> dispatcher.arrive(0.0, job)[0].server
    's1'
    """

    def __init__(
        self,
        *,
        policy: Policy | None = None,
        seed: int = 0,
        **changes: Any,
    ):
        self._policy = replace(policy or Policy(), **changes)
        self._random = Random(seed)
        self._views: dict[ServiceId, tuple[tuple[ServerView, ...], int]] = {}
        self._pools: dict[ServiceId, ServicePool] = {}
        self._pending: dict[RequestId, PendingRequest] = {}
        self._suspects: dict[ServiceId, SuspectTracker] = {}
        self._n_vms = 1
        self._warmup_sharers = WarmupSharers()
        self._ends_at = inf

    @property
    def n_pending(self) -> int:
        """How many requests are queued or running."""
        return len(self._pending)

    def has_queued(self, service: ServiceId) -> bool:
        """Return whether requests of a service wait for a server."""
        pool = self._pools.get(service)
        return pool is not None and pool.has_queued

    def set_servers(
        self,
        now: float,
        service: ServiceId,
        views: tuple[ServerView, ...],
        *,
        n_sharing_vms: int = 1,
    ) -> tuple[Action, ...]:
        """Replace the servers of a service.

        ``n_sharing_vms`` is how many VMs share the connections of each server. The
        call is cheap if nothing changed or the service has no traffic on this VM.
        """
        self._views[service] = (views, n_sharing_vms)
        pool = self._pools.get(service)
        if pool is None:
            return ()
        return tuple(pool.set_servers(now, views, n_sharing_vms))

    def remove_service(self, now: float, service: ServiceId) -> tuple[Action, ...]:
        """Remove a service; queued requests are refused, running ones finish."""
        self._views.pop(service, None)
        self._suspects.pop(service, None)
        pool = self._pools.get(service)
        if pool is None:
            return ()
        actions = pool.close(now)
        if pool.is_idle:
            del self._pools[service]
        return tuple(actions)

    def report_load(
        self, now: float, service: ServiceId, server: ServerId, load: float
    ) -> None:
        """Record a load in [0, 1] that a server reported outside of an answer."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.servers.report_load(now, server, load)

    def share_budgets(self, now: float, n_vms: int) -> None:
        """Set how many VMs share what is allowed in total.

        That is the retries of the policy and the limits that servers state.
        """
        self._n_vms = n_vms
        for pool in self._pools.values():
            pool.share_budgets(now, n_vms)

    def share_warmup(self, now: float, sharers: WarmupSharers) -> None:
        """Set which VMs share the limits of cold servers."""
        if sharers == self._warmup_sharers:
            return
        self._warmup_sharers = sharers
        for pool in self._pools.values():
            pool.servers.share_warmup(now, sharers)

    def on_server_restarted(self, service: ServiceId, server: ServerId) -> None:
        """Forget what the former process of a server stated in its answers."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.servers.forget_statements(server)

    def on_trust_notice(self, now: float, notice: TrustNotice) -> None:
        """Apply another VM's notice that a server failed or recovered."""
        if notice.service in self._views:
            self._suspects_of(notice.service).on_notice(now, notice)

    def pop_trust_notices(self) -> tuple[TrustNotice, ...]:
        """Remove and return the queued notices to the other VMs."""
        return tuple(
            notice
            for tracker in self._suspects.values()
            for notice in tracker.pop_notices()
        )

    def arrive(self, now: float, job: Job) -> tuple[Action, ...]:
        """Dispatch, queue or refuse an admitted request; its id must not be pending."""
        ensure(job.id not in self._pending, "request-id-unique", request=job.id)
        pool = self._pool(now, job.service)
        if pool is None:
            detail = f"service {job.service!r} does not exist"
            return (Refuse(job.id, ErrorKind.NO_HEALTHY_SERVER, detail),)
        return tuple(pool.arrive(now, job))

    def finish(
        self, now: float, request: RequestId, result: AttemptResult
    ) -> tuple[Action, ...]:
        """Process the result of the running attempt of ``request``."""
        pending = self._pending.get(request)
        if pending is None or pending.state is not State.RUNNING:
            return ()
        pool = self._pools[pending.job.service]
        return tuple(pool.finish(now, pending, result))

    def extend_timeout(self, now: float, request: RequestId) -> float:
        """Return until when an attempt whose time-out is over may go on.

        ``now`` means that it is given up: the front end ends it and calls ``finish``.
        """
        pending = self._pending.get(request)
        if pending is None or pending.state is not State.RUNNING:
            return now
        pool = self._pools[pending.job.service]
        return pool.extend_timeout(now, pending)

    def cancel(self, now: float, request: RequestId) -> tuple[Action, ...]:
        """Cancel ``request``, since its caller has disconnected."""
        pending = self._pending.get(request)
        if pending is None:
            return ()
        pool = self._pools[pending.job.service]
        return tuple(pool.cancel(now, pending))

    def abandon(self, now: float, request: RequestId) -> tuple[Action, ...]:
        """End the running attempt of ``request`` and refuse it: it may have run.

        The VM ends before the server's answer comes. Otherwise the caller would be
        left without an answer.
        """
        pending = self._pending.get(request)
        if pending is None or pending.state is not State.RUNNING:
            return ()
        pool = self._pools[pending.job.service]
        return tuple(pool.abandon(now, pending))

    def drop(
        self, now: float, request: RequestId, kind: ErrorKind, detail: str
    ) -> tuple[Action, ...]:
        """Refuse ``request`` if it is queued; if it is running, do not retry it.

        A kind that states "not run" is replaced if an earlier attempt may have
        run.
        """
        pending = self._pending.get(request)
        if pending is None:
            return ()
        pool = self._pools[pending.job.service]
        return tuple(pool.drop(pending, kind, detail))

    def drain_until(self, now: float, ends_at: float) -> tuple[Action, ...]:
        """Refuse what this VM, which stops at ``ends_at``, cannot serve by then."""
        self._ends_at = ends_at
        return tuple(
            action
            for pool in self._pools.values()
            for action in pool.drain_until(now, ends_at)
        )

    def tick(self, now: float) -> tuple[Action, ...]:
        """Process what is due: deadlines, ended back-offs and idle services."""
        actions: list[Action] = []
        for service, pool in list(self._pools.items()):
            actions += pool.tick(now)
            if not pool.is_idle:
                continue
            if service not in self._views or now - pool.last_used_at > IDLE_TIMEOUT_S:
                del self._pools[service]
        return tuple(actions)

    def next_wake(self, now: float) -> float | None:
        """Return when ``tick`` is next due, not before ``now``, or None."""
        times = [pool.next_wake() for pool in self._pools.values()]
        earliest = min((at for at in times if at is not None), default=None)
        return None if earliest is None else max(now, earliest)

    def status(self, now: float) -> tuple[ServiceStatus, ...]:
        """Return the state of the services that have traffic on this VM."""
        return tuple(pool.status(now) for pool in self._pools.values())

    def report_idle_servers(self, now: float) -> tuple[IdleServers, ...]:
        """Return which servers of each service with traffic got no request lately."""
        return tuple(pool.report_idle_servers(now) for pool in self._pools.values())

    def copy_for(self, service: ServiceId) -> "Dispatcher":
        """Return a copy to try out requests of one service on.

        It decides as this dispatcher would and shares no changing state with it.
        Only the state of this service is copied, since that of all of them is large.
        """
        reduced = copy(self)
        reduced._views = only(self._views, service)
        reduced._pools = only(self._pools, service)
        reduced._suspects = only(self._suspects, service)
        # Requests of other services are needed for their ids only.
        shared: dict[int, Any] = {id(self._pending): dict(self._pending)}
        for pool in reduced._pools.values():
            shared.update((id(part), part) for part in pool.frozen_parts())
        return deepcopy(reduced, shared)

    def inspect(self, now: float, job: Job) -> tuple[Candidate, ...]:
        """Return the servers of the job's service as the job sees them.

        Like ``arrive`` it prepares the service, so call it on a copy.
        """
        pool = self._pool(now, job.service)
        return () if pool is None else pool.inspect(now, job)

    def _pool(self, now: float, service: ServiceId) -> ServicePool | None:
        """Return the pool of a service; it is created at the first request."""
        pool = self._pools.get(service)
        known = self._views.get(service)
        if pool is not None or known is None:
            return pool if known is not None else None
        pool = ServicePool(
            now,
            service,
            policy=self._policy,
            suspects=self._suspects_of(service),
            pending=self._pending,
            random=self._random,
            n_vms=self._n_vms,
        )
        pool.servers.share_warmup(now, self._warmup_sharers)
        pool.set_servers(now, *known)
        pool.drain_until(now, self._ends_at)
        self._pools[service] = pool
        return pool

    def _suspects_of(self, service: ServiceId) -> SuspectTracker:
        return self._suspects.setdefault(service, SuspectTracker(service))
