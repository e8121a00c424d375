"""The node: composes the decision packages behind one interface."""

from wagtailpaddle_config import (
    ClientAccount,
    ConfigFold,
    Configuration,
    Record,
    Route,
)
from wagtailpaddle_core import (
    AccountId,
    ErrorKind,
    Offset,
    RequestId,
    ServerId,
    ServiceId,
    VmId,
    WagtailError,
)
from wagtailpaddle_fleet import Freshness
from wagtailpaddle_health import (
    HealthBook,
    Observation,
    Pool,
    PoolServer,
    ServerState,
    Verdict,
)
from wagtailpaddle_quota import TokenBucket
from wagtailpaddle_routing import (
    Action,
    AttemptOutcome,
    AttemptResult,
    Dispatch,
    Dispatcher,
    Job,
    Refuse,
    ServerView,
)

from wagtailpaddle_node.messages import RequestHead

OPEN_ACCOUNT = AccountId("(open)")

VERDICTS: dict[AttemptOutcome, Verdict] = {
    AttemptOutcome.ANSWERED: Verdict.SUCCESS,
    AttemptOutcome.SHED: Verdict.NEUTRAL,
    AttemptOutcome.NOT_SENT: Verdict.FAILURE,
    AttemptOutcome.FAILED: Verdict.FAILURE,
    AttemptOutcome.TIMED_OUT: Verdict.FAILURE,
    AttemptOutcome.CUT_SHORT: Verdict.FAILURE,
    AttemptOutcome.CANCELLED: Verdict.NEUTRAL,
}


class Node:
    """All decisions of one daemon.

    Events and the present time (monotonic seconds) come in, frozen actions
    go out. No method blocks or does I/O, so any front end can drive it.
    """

    def __init__(self, *, site: str, n_vms: int = 1, seed: int = 0):
        self.fold = ConfigFold(site=site)
        self.freshness = Freshness()
        self.health = HealthBook(VmId(f"{site}-vm"), seed=seed)
        self.dispatcher = Dispatcher(seed=seed)
        self.draining = False
        self._n_vms = n_vms
        self._buckets: dict[AccountId, TokenBucket] = {}
        self._attempts: dict[RequestId, Dispatch] = {}

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this VM."""
        return self.fold.configuration

    def on_log(
        self,
        now: float,
        sent_at: float,
        records: tuple[tuple[Offset, Record], ...],
        head: Offset,
    ) -> tuple[Action, ...]:
        """Fold what the log answered to a question sent at ``sent_at``."""
        before = self.configuration
        for offset, record in records:
            if offset == self.fold.next_offset:
                self.fold.apply(offset, record)
        self.freshness.log_answered(sent_at, head, self.fold.next_offset)
        if self.configuration.services is before.services:
            return ()
        return self._update_pools(now)

    def on_request(self, now: float, head: RequestHead) -> tuple[Action, ...]:
        """Admit a request or refuse it."""
        try:
            route = self._match(now, head)
            account = self._authenticate(head, route)
            if account is not None:
                self._charge(now, account)
        except WagtailError as exc:
            return (Refuse(head.id, exc.kind, exc.detail),)
        timeout_s = min(head.timeout_s or route.timeout_s, route.timeout_s)
        job = Job(
            id=head.id,
            account=account.id if account else OPEN_ACCOUNT,
            service=route.service,
            idempotent=route.idempotent,
            arrived_at=now,
            deadline_at=now + timeout_s,
        )
        return self._note(self.dispatcher.arrive(now, job))

    def on_attempt(
        self, now: float, request: RequestId, result: AttemptResult
    ) -> tuple[Action, ...]:
        """Take in the end of an attempt."""
        dispatch = self._attempts.pop(request, None)
        actions: tuple[Action, ...] = ()
        if dispatch is not None:
            actions = self._observe(now, dispatch, result)
        return actions + self._note(self.dispatcher.finish(now, request, result))

    def on_cancel(self, now: float, request: RequestId) -> tuple[Action, ...]:
        """The caller of ``request`` went away."""
        self._attempts.pop(request, None)
        return self._note(self.dispatcher.cancel(now, request))

    def on_tick(self, now: float) -> tuple[Action, ...]:
        """Act on the passing of time; called several times a second."""
        return self._update_pools(now) + self._note(self.dispatcher.tick(now))

    def server_address(self, service: ServiceId, server: ServerId) -> tuple[str, int]:
        """Return where a configured server listens. Raises ``LookupError``."""
        for known in self.configuration.services[service].servers:
            if known.id == server:
                return known.address, known.port
        raise LookupError(f"server {server!r} is not in service {service!r}")

    def _match(self, now: float, head: RequestHead) -> Route:
        if self.draining:
            raise WagtailError(ErrorKind.DRAINING, "the VM is shutting down")
        if not self.freshness.is_fresh(now):
            raise WagtailError(ErrorKind.NOT_FRESH, "no confirmation in time")
        route = self.configuration.route_for(head.host, head.path, head.method)
        if route is None:
            line = f"{head.method} {head.path}"
            raise WagtailError(ErrorKind.NO_ROUTE, f"no route matches {line!r}")
        return route

    def _authenticate(self, head: RequestHead, route: Route) -> ClientAccount | None:
        if route.open:
            return None
        if head.key_hash is None:
            raise WagtailError(ErrorKind.KEY_MISSING, "send Authorization: Bearer")
        account = self.configuration.account_for(head.key_hash)
        if account is None:
            raise WagtailError(ErrorKind.KEY_UNKNOWN, "unknown or withdrawn key")
        if route.accounts and account.id not in route.accounts:
            detail = f"client account {account.id!r} may not use route {route.id!r}"
            raise WagtailError(ErrorKind.FORBIDDEN, detail)
        return account

    def _charge(self, now: float, account: ClientAccount) -> None:
        rate = account.rate / self._n_vms
        burst = max(1.0, account.burst / self._n_vms)
        bucket = self._buckets.get(account.id)
        if bucket is None or (bucket.rate, bucket.burst) != (rate, burst):
            bucket = TokenBucket(rate=rate, burst=burst, tokens=burst, now=now)
            self._buckets[account.id] = bucket
        if not bucket.take(now):
            detail = f"client account {account.id!r} is over its rate"
            raise WagtailError(ErrorKind.RATE_EXCEEDED, detail)

    def _observe(
        self, now: float, dispatch: Dispatch, result: AttemptResult
    ) -> tuple[Action, ...]:
        verdict = VERDICTS[result.outcome]
        if result.status >= 500:
            verdict = Verdict.FAILURE
        observation = Observation(
            dispatch.service, dispatch.server, verdict, result.latency_s
        )
        if self.health.observe(now, observation):
            return self._update_pools(now)
        return ()

    def _note(self, actions: tuple[Action, ...]) -> tuple[Action, ...]:
        for action in actions:
            if isinstance(action, Dispatch):
                self._attempts[action.request] = action
        return actions

    def _update_pools(self, now: float) -> tuple[Action, ...]:
        actions: tuple[Action, ...] = ()
        for service in self.configuration.services.values():
            pool = Pool(
                service=service.id,
                servers=tuple(
                    PoolServer(server.id, server.zone, server.leaving)
                    for server in service.servers
                ),
                floor=service.floor,
                sensitivity=service.sensitivity,
            )
            self.health.set_pool(now, pool)
            standing = {item.id: item for item in self.health.standing(now, service.id)}
            views = tuple(
                ServerView(
                    id=server.id,
                    zone=server.zone,
                    slots=server.slots,
                    connections=server.connections,
                    weight=standing[server.id].weight,
                    probation=standing[server.id].state is ServerState.PROBATION,
                    leaving=server.leaving,
                )
                for server in service.servers
            )
            actions += self.dispatcher.set_servers(now, service.id, views)
        return actions
