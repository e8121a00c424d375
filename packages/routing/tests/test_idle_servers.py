"""The report of the servers that get no requests while others are not served."""

import pytest
from wagtailpaddle_routing import Dispatch

SERVICE = "booking"


@pytest.fixture
def dispatcher(make_dispatcher, view):
    views = tuple(view(f"s{n}") for n in range(3))
    return make_dispatcher(views, picker="zone-shares")


def run(dispatcher, job, now, result, *, name):
    """Run one request; return its server."""
    (action,) = dispatcher.arrive(now, job(name, idempotent=False, at=now))
    assert isinstance(action, Dispatch)
    dispatcher.finish(now + 0.02, action.request, result)
    return action.server


def test_report_names_idle_servers_and_what_keeps_requests_away(dispatcher, job, ended):
    failed = run(dispatcher, job, 0.0, ended(status=500), name="r0")
    used = run(dispatcher, job, 3.0, ended(status=200), name="r1")
    (report,) = dispatcher.report_idle_servers(3.1)
    reasons = dict(report.by_reason)
    assert (report.counts.n_ended, report.counts.n_unserved) == (2, 1)
    assert reasons["suspect+unproven"] == (failed,)
    assert used not in {name for names in reasons.values() for name in names}
    assert sum(map(len, reasons.values())) == 2


def test_report_is_empty_while_all_requests_are_served(dispatcher, job, ended):
    run(dispatcher, job, 0.0, ended(status=500), name="r0")
    dispatcher.report_idle_servers(0.1)
    run(dispatcher, job, 3.0, ended(status=200), name="r1")
    (report,) = dispatcher.report_idle_servers(3.1)
    assert report.by_reason == ()
    assert report.counts.n_unserved == 0
