"""Health pages of backend servers, seen by real daemons."""

import time

import pytest
from wagtailpaddle_health import N_MONITORS
from wagtailpaddle_standins.backend import HEALTH_PATH
from wagtailpaddle_standins.client import wait_for
from wagtailpaddle_standins.system import System

NO_WORK_AFTER_S = 3.0
N_REQUESTS = 30


@pytest.fixture(scope="module")
def system():
    with System(n_daemons=N_MONITORS + 1) as running:
        document = running.base_document()
        document["services"]["booking"]["health_path"] = HEALTH_PATH
        running.publish(document)
        running.wait_until_ready()
        yield running


@pytest.fixture(scope="module")
def callers(system):
    secret = system.issue("account-0")["secret"]
    return [system.caller(index, secret) for index in range(len(system.daemons))]


@pytest.fixture
def send(callers):
    def send_all():
        replies = [
            caller.request(method, path)
            for _ in range(N_REQUESTS)
            for caller in callers
            for method, path in (("GET", "/catalogue"), ("POST", "/deliveries"))
        ]
        assert {reply.status for reply in replies} == {200}
        return [reply.json()["server"] for reply in replies]

    return send_all


def test_server_that_leaves_in_its_health_page_gets_no_new_work(system, send):
    name = "booking-03"
    assert name in send()
    system.set_page(name, "leaving")
    time.sleep(NO_WORK_AFTER_S)
    assert name not in send()
    system.set_page(name, "serving")
    assert wait_for(lambda: name in send())


@pytest.mark.parametrize(
    ("page", "parameter"),
    [
        ("garbage", 0.0),
        ("oversized", 5_000_000.0),
        ("lying", 1e308),
        ("nonsense", 0.0),
        ("hang", 0.0),
    ],
)
def test_bad_health_page_costs_no_daemon_and_no_request(system, send, page, parameter):
    for name in ("booking-05", "booking-06"):
        system.set_page(name, page, parameter=parameter)
    time.sleep(1.5)
    served = send()
    assert len(served) == 2 * N_REQUESTS * len(system.daemons)
    for name in ("booking-05", "booking-06"):
        system.set_page(name, "serving")
