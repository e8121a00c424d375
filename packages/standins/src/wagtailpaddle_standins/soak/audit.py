"""Checks the fleet's guarantees from outside all nodes."""

from collections import Counter
from collections.abc import Mapping

from wagtailpaddle_core import ANSWERS, AccountId, ErrorKind, Outcome, RequestId

from wagtailpaddle_standins.fakes.audit import RateAudit
from wagtailpaddle_standins.soak.servers import Servers

WITHDRAWAL_BOUND_S = 5.0
LEAVING_BOUND_S = 5.0


class Audit:
    """Records events during a run; ``broken`` lists the violations.

    ``base_record`` is the id of the last published base; only that base
    determines which servers are leaving.
    """

    __slots__ = (
        "answered",
        "base_record",
        "broken",
        "leaving_at",
        "not_run",
        "once_only",
        "rates",
        "refused",
        "served",
        "servers",
        "withdrawn_at",
    )

    def __init__(self, servers: Servers, rates: Mapping[AccountId, RateAudit]) -> None:
        self.servers = servers
        self.rates = rates
        self.broken: list[str] = []
        self.served: Counter[AccountId] = Counter()
        self.refused: Counter[ErrorKind] = Counter()
        self.not_run: dict[RequestId, ErrorKind] = {}
        self.answered: Counter[RequestId] = Counter()
        self.withdrawn_at: dict[str, float] = {}
        self.leaving_at: dict[str, float] = {}
        self.base_record: str = ""
        self.once_only: set[RequestId] = set()

    def on_dispatch(self, now: float, key_hash: str | None, server: str) -> None:
        """Record that a node began an attempt."""
        withdrawn_at = self.withdrawn_at.get(key_hash or "")
        if withdrawn_at is not None and now > withdrawn_at + WITHDRAWAL_BOUND_S:
            self.broken.append(f"withdrawn key served at {now:.2f}")
        leaving_at = self.leaving_at.get(server)
        if leaving_at is not None and now > leaving_at + LEAVING_BOUND_S:
            self.broken.append(f"leaving server {server} got work at {now:.2f}")

    def on_granted(self, now: float, account: AccountId) -> None:
        """Record that a node acquired a token for a request."""
        self.rates[account].admit(now)

    def on_answer(self, request: RequestId, account: AccountId) -> None:
        """Record that a caller received the response of a backend server."""
        self.answered[request] += 1
        self.served[account] += 1

    def on_refusal(self, request: RequestId, kind: ErrorKind) -> None:
        """Record that a caller received a refusal."""
        self.answered[request] += 1
        self.refused[kind] += 1
        if ANSWERS[kind].outcome is Outcome.NOT_RUN:
            self.not_run[request] = kind

    def conclude(self) -> list[str]:
        """Return all violations of the run."""
        broken = list(self.broken)
        for request in self.once_only:
            if self.servers.runs[request] > 1:
                broken.append(f"request {request} ran {self.servers.runs[request]}x")
        for key, n_runs in self.servers.keyed_runs.items():
            if n_runs > 1:
                broken.append(f"idempotency key {key} ran {n_runs} times")
        for request, kind in self.not_run.items():
            if self.servers.runs[request]:
                broken.append(f"request {request} was refused {kind.value} and ran")
        for request, n_answers in self.answered.items():
            if n_answers > 1:
                broken.append(f"request {request} was answered {n_answers} times")
        for audit in self.rates.values():
            broken += [f"over the rate: {excess}" for excess in audit.excess]
        return broken
