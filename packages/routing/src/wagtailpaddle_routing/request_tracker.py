"""Tracks the pending requests of one service until each has its one answer."""

from wagtailpaddle_core import AccountId, ErrorKind, RequestId, ServiceId, ensure

from wagtailpaddle_routing.accounts import Account, Accounts
from wagtailpaddle_routing.idle_servers import RequestCounts
from wagtailpaddle_routing.messages import AttemptResult, Deliver, Job, Refuse
from wagtailpaddle_routing.queues import Queue
from wagtailpaddle_routing.retry import (
    PendingRequest,
    State,
    deadline_kind,
    failure_kind,
    truthful_kind,
)


class RequestTracker:
    """Registers requests, charges their accounts and closes them with an answer.

    ``pending`` holds the pending requests of all services. A request stays in
    it until its one answer is returned. ``refuse`` checks that no refusal states
    "not run" of a request that may have run.
    """

    def __init__(
        self,
        service: ServiceId,
        *,
        pending: dict[RequestId, PendingRequest],
        queue: Queue,
    ):
        self._service = service
        self._pending = pending
        self._queue = queue
        self._accounts = Accounts()
        self._n_ended = 0
        self._n_unserved = 0

    @property
    def counts(self) -> RequestCounts:
        """How many requests have got their answer so far, and how many unserved."""
        return RequestCounts(self._n_ended, self._n_unserved)

    @property
    def n_accounts(self) -> int:
        """How many client accounts have pending requests."""
        return len(self._accounts)

    def account(self, name: AccountId) -> Account:
        """Return an account that has pending requests."""
        return self._accounts[name]

    def open(self, now: float, job: Job, mean_s: float) -> PendingRequest:
        """Register a request; a new account starts with the estimate ``mean_s``."""
        pending = PendingRequest(job, now)
        self._pending[job.id] = pending
        self._accounts.add_request(job.account, mean_s)
        return pending

    def begin(self, now: float, pending: PendingRequest) -> None:
        """Charge the account with the expected service time of a new attempt."""
        account = self._accounts[pending.job.account]
        account.n_running += 1
        pending.charged_s = account.mean_s
        pending.started_at = now
        pending.state = State.RUNNING
        self._charge(pending, pending.charged_s)

    def end(self, now: float, pending: PendingRequest) -> None:
        """Correct the charge by the time that the ended attempt really took."""
        account = self._accounts[pending.job.account]
        account.n_running -= 1
        ensure(account.n_running >= 0, "account-running-not-negative")
        used_s = max(0.0, now - pending.started_at)
        self._charge(pending, used_s - pending.charged_s)
        pending.server = None
        pending.waiting_since = now

    def record_service_time(self, now: float, pending: PendingRequest) -> None:
        """Update the account's mean service time with an attempt that ran."""
        self._accounts.record_service_time(
            pending.job.account, now - pending.started_at
        )

    def close(self, pending: PendingRequest) -> None:
        """Remove a request that is answered or cancelled."""
        ensure(pending.state is not State.OVER, "answered-once", request=pending.job.id)
        pending.state = State.OVER
        del self._pending[pending.job.id]
        if self._accounts.remove_request(pending.job.account):
            self._queue.remove_account(pending.job.account)

    def deliver(self, pending: PendingRequest, *, is_served: bool) -> Deliver:
        """Close a request with the answer of its last attempt, maybe an error."""
        self.close(pending)
        self._count(is_served=is_served)
        return Deliver(pending.job.id)

    def refuse(
        self,
        pending: PendingRequest,
        kind: ErrorKind,
        detail: str,
        retry_after_s: float | None = None,
    ) -> Refuse:
        """Close a request with an error of ``kind``, which must be truthful."""
        ensure(
            truthful_kind(pending, kind) is kind,
            "refusal-is-truthful",
            request=pending.job.id,
            kind=kind,
        )
        self.close(pending)
        self._count(is_served=False)
        return Refuse(pending.job.id, kind, detail, retry_after_s)

    def refuse_unservable(self, pending: PendingRequest) -> Refuse:
        """Close a request that no server is eligible for."""
        detail = f"service {self._service!r} has no server to try"
        return self.refuse(pending, failure_kind(pending), detail)

    def refuse_expired(self, pending: PendingRequest, wait_s: float) -> Refuse:
        """Close a request that can no longer be served before its deadline.

        If it has not run, the caller is asked to retry after ``wait_s``.
        """
        detail = "no server was free in time"
        kind = deadline_kind(pending)
        retry_after_s = None if pending.may_have_run else wait_s
        return self.refuse(pending, kind, detail, retry_after_s)

    def refuse_failed(
        self, now: float, pending: PendingRequest, result: AttemptResult, wait_s: float
    ) -> Refuse:
        """Close a request whose last attempt ended without an answer.

        If it has not run, the caller is asked to retry after ``wait_s``.
        """
        detail = f"attempt {pending.n_attempts} ended: {result.outcome.value}"
        is_late = now >= pending.job.deadline_at
        kind = deadline_kind(pending) if is_late else failure_kind(pending)
        retry_after_s = None if pending.may_have_run else wait_s
        return self.refuse(pending, kind, detail, retry_after_s)

    def _count(self, *, is_served: bool) -> None:
        self._n_ended += 1
        self._n_unserved += not is_served

    def _charge(self, pending: PendingRequest, used_s: float) -> None:
        self._queue.charge(pending.job.account, used_s, pending.job.weight)
