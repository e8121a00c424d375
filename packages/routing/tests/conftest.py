import pytest
from wagtailpaddle_core import AccountId, RequestId, ServerId, ServiceId, ZoneId
from wagtailpaddle_routing import (
    AttemptOutcome,
    AttemptResult,
    Dispatcher,
    Job,
    ServerView,
)

SERVICE = ServiceId("booking")
ZONES = ("a", "b", "c")


@pytest.fixture
def view():
    def make(name, zone="a", **changes):
        fields = {"slots": 4, "connections": 300, **changes}
        return ServerView(ServerId(name), ZoneId(zone), **fields)

    return make


@pytest.fixture
def views(view):
    return tuple(view(f"s{index}", ZONES[index % 3]) for index in range(12))


@pytest.fixture
def job():
    def make(name, account="x", *, idempotent=True, at=0.0, timeout_s=10.0, weight=1.0):
        return Job(
            RequestId(name),
            AccountId(account),
            SERVICE,
            idempotent,
            at,
            at + timeout_s,
            weight,
        )

    return make


@pytest.fixture
def make_dispatcher():
    def make(views, *, n_sharing_vms=1, **options):
        dispatcher = Dispatcher(**{"zone": ZoneId("a"), "seed": 1, **options})
        dispatcher.set_servers(0.0, SERVICE, views, n_sharing_vms=n_sharing_vms)
        return dispatcher

    return make


@pytest.fixture
def ended():
    def make(outcome="answered", latency_s=0.02, **fields):
        return AttemptResult(AttemptOutcome(outcome), latency_s, **fields)

    return make
