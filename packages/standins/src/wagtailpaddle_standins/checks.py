"""Checks of the system's guarantees, made from outside after a load run."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from wagtailpaddle_standins.load import WRONG_ANSWER, RequestResult
from wagtailpaddle_standins.runs import count_runs
from wagtailpaddle_standins.system import System


def is_refused(item: RequestResult) -> bool:
    """Return whether the final response said that the request did not run."""
    return item.status >= 400 and not item.may_have_run


def violated_guarantees(system: System, done: Sequence[RequestResult]) -> list[str]:
    """Return one line for each violated guarantee."""
    runs = count_runs(system)
    violations = [f"{path} ran {n} times" for path, n in runs.items() if n > 1]
    violations += [
        f"{item.path} ran but was refused with {item.kind}"
        for item in done
        if is_refused(item) and runs[item.path]
    ]
    wrong = [item for item in done if item.kind == WRONG_ANSWER]
    violations += [f"{item.path} got a wrong or truncated response" for item in wrong]
    if any("wp_" in str(item) for item in system.received_requests()):
        violations.append("a backend server received a key")
    violations += _rate_violations(system.deployment.accounts(), done)
    return violations + system.internal_errors()


def _rate_violations(
    limits: Mapping[str, Mapping[str, Any]], done: Sequence[RequestResult]
) -> Iterator[str]:
    elapsed_s = max(item.at + item.latency_s for item in done) - done[0].at
    for account, limit in sorted(limits.items()):
        n_served = sum(item.account == account and item.status == 200 for item in done)
        allowed = limit["burst"] + limit["rate"] * elapsed_s + 1
        if n_served > allowed:
            yield f"{account} got {n_served} requests, {allowed:.0f} allowed"
