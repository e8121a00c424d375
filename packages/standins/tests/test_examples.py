"""The deployments of the examples, on real processes."""

import pytest
from wagtailpaddle_standins.callers import greedy_account, plan_callers
from wagtailpaddle_standins.checks import is_refused, violated_guarantees
from wagtailpaddle_standins.deployments import read_example
from wagtailpaddle_standins.runs import start_load
from wagtailpaddle_standins.system import System

SIZES = {"namur": ("booking-03", 12 + 10), "returhuset": ("pickups-07", 15 + 10)}


@pytest.fixture(params=sorted(SIZES))
def system(request):
    with System(read_example(request.param)) as running:
        running.deploy()
        yield running


def test_example_serves_all_its_client_accounts(system):
    failing, n_servers = SIZES[system.deployment.site]
    assert len(system.servers) == n_servers
    callers = plan_callers(system, total_rate=80.0, timeout_s=4.0)
    system.set_fault(failing, "cut", fraction=0.5)
    done = start_load(system, callers, duration_s=5.0).finish()
    assert {item.account for item in done if item.status == 200} == {
        caller.account for caller in callers
    }
    refused = {item.account for item in done if is_refused(item)}
    assert refused == {greedy_account(system.deployment)}
    assert violated_guarantees(system, done) == []
