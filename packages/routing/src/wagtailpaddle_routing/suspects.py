"""Detection of failure episodes, to keep non-idempotent requests off suspects.

Servers fail in episodes: for some seconds most of their answers are errors while
their health endpoint reports no problem. A single failure is much more likely in
an episode than outside of one, so it makes the server suspect at once.
Successful idempotent requests show when the episode is over.
"""

from dataclasses import dataclass

from wagtailpaddle_core import ServerId, ServiceId

from wagtailpaddle_routing.messages import AttemptOutcome, AttemptResult

N_SUCCESSES_TO_CLEAR = 2
"""Successes in a row that clear a suspect server."""

SUSPECT_TTL_S = 8.0
LOCAL_PROBE_INTERVAL_S = 0.7
REMOTE_PROBE_INTERVAL_S = 3.5
REPROBE_INTERVAL_S = 0.05
"""Time until the probe that confirms a first success."""

MIN_RETEST_S = 2.0
MAX_RETEST_S = 3.0
"""Time until a suspect server gets a non-idempotent request while many requests fail.
It increases with each failure of one. A server that recovered counts as sound after
2 s and must get a request within 2 s more."""

MAX_QUEUED_NOTICES = 64
SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504

FAILURES = frozenset(
    {AttemptOutcome.FAILED, AttemptOutcome.TIMED_OUT, AttemptOutcome.CUT_SHORT}
)


@dataclass(frozen=True, slots=True)
class TrustNotice:
    """Notifies other VMs that a server failed, or that it was cleared.

    The receiver forwards it to the active VMs of its zone if ``forward`` is set.
    """

    service: ServiceId
    server: ServerId
    failed: bool
    forward: bool = False


def is_failure(result: AttemptResult) -> bool:
    """Return whether an attempt is a failure of its server.

    A gateway timeout is none: the time allowed was too short.
    """
    if result.outcome is AttemptOutcome.ANSWERED:
        return result.status >= SERVER_ERROR and result.status != GATEWAY_TIMEOUT
    return result.outcome in FAILURES


class SuspectState:
    """Whether one server is suspect, from its latest failures and successes.

    >>> state = SuspectState()
    >>> state.fail(10.0), state.is_suspect(10.1)
    (True, True)
    >>> state.succeed(10.2), state.succeed(10.3), state.is_suspect(10.4)
    (False, True, False)
    """

    __slots__ = (
        "_retest_s",
        "last_failure_at",
        "last_success_at",
        "n_successes",
        "probed_at",
    )

    def __init__(self) -> None:
        self.last_failure_at = float("-inf")
        self.last_success_at = float("-inf")
        self.probed_at = float("-inf")
        self.n_successes = N_SUCCESSES_TO_CLEAR
        self._retest_s = MIN_RETEST_S

    def is_suspect(self, now: float) -> bool:
        """Return whether the server failed lately and is not cleared yet."""
        return (
            self.n_successes < N_SUCCESSES_TO_CLEAR
            and now - self.last_failure_at < SUSPECT_TTL_S
        )

    def fail(self, now: float) -> bool:
        """Record a failure; return whether it made the server suspect."""
        is_new = not self.is_suspect(now)
        if is_new:
            self._retest_s = MIN_RETEST_S
        elif now - self.last_failure_at >= MIN_RETEST_S:
            self._retest_s = MAX_RETEST_S
        self.last_failure_at = now
        self.n_successes = 0
        return is_new

    def succeed(self, started_at: float) -> bool:
        """Record a successful answer to a request sent at ``started_at``.

        A request sent before the last failure is ignored. Returns whether this
        success cleared the server.
        """
        if started_at <= self.last_failure_at:
            return False
        self.last_success_at = max(self.last_success_at, started_at)
        if self.n_successes >= N_SUCCESSES_TO_CLEAR:
            return False
        self.n_successes += 1
        return self.n_successes >= N_SUCCESSES_TO_CLEAR

    def clear(self) -> None:
        """Clear the server, since another VM found that it recovered."""
        self.n_successes = N_SUCCESSES_TO_CLEAR

    def needs_retest(self, now: float) -> bool:
        """Return whether any request may test the server, also a non-idempotent one."""
        if not self.is_suspect(now):
            return False
        tested_at = max(self.last_failure_at, self.probed_at)
        return self.n_successes > 0 or now - tested_at >= self._retest_s

    def needs_probe(self, now: float, *, is_local: bool) -> bool:
        """Return whether the server should be tested with an idempotent request."""
        if not self.is_suspect(now):
            return False
        interval_s = LOCAL_PROBE_INTERVAL_S if is_local else REMOTE_PROBE_INTERVAL_S
        if self.n_successes:
            interval_s = REPROBE_INTERVAL_S
        return now - max(self.last_failure_at, self.probed_at) >= interval_s


class SuspectTracker:
    """The suspect servers of one service, and the notices queued for other VMs."""

    def __init__(self, service: ServiceId):
        self._service = service
        self._states: dict[ServerId, SuspectState] = {}
        self._notices: list[TrustNotice] = []

    def __getitem__(self, server: ServerId) -> SuspectState:
        state = self._states.get(server)
        if state is None:
            state = self._states[server] = SuspectState()
        return state

    def retain(self, servers: frozenset[ServerId]) -> None:
        """Remove the state of all other servers."""
        for server in [name for name in self._states if name not in servers]:
            del self._states[server]

    def record_attempt(
        self, now: float, server: ServerId, result: AttemptResult
    ) -> None:
        """Record the result of an attempt of this VM."""
        state = self[server]
        if is_failure(result):
            if state.fail(now):
                self._queue_notice(server, failed=True)
            return
        is_answer = result.outcome is AttemptOutcome.ANSWERED
        if is_answer and state.succeed(now - result.latency_s):
            self._queue_notice(server, failed=False)

    def on_notice(self, now: float, notice: TrustNotice) -> None:
        """Apply a notice from another VM."""
        if notice.failed:
            self[notice.server].fail(now)
        else:
            self[notice.server].clear()

    def pop_notices(self) -> tuple[TrustNotice, ...]:
        """Remove and return the queued notices."""
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    def _queue_notice(self, server: ServerId, *, failed: bool) -> None:
        if len(self._notices) < MAX_QUEUED_NOTICES:
            self._notices.append(TrustNotice(self._service, server, failed))
