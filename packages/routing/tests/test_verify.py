import pytest
from wagtailpaddle_core import AccountId, RequestId, ServerId, ServiceId, ZoneId
from wagtailpaddle_routing import Dispatcher, Job, ServerView

SERVICE = ServiceId("booking")


@pytest.fixture
def send():
    dispatcher = Dispatcher(zone=ZoneId("a"), seed=1)
    suspect = ServerView(
        ServerId("suspect"), ZoneId("b"), 4, 300, weight=0.2, verify=True
    )
    others = [ServerView(ServerId(f"s{i}"), ZoneId("a"), 4, 300) for i in range(5)]
    dispatcher.set_servers(0.0, SERVICE, (*others, suspect))

    def arrive(name, idempotent):
        job = Job(RequestId(name), AccountId("x"), SERVICE, idempotent, 0.0, 10.0)
        (dispatch,) = dispatcher.arrive(0.0, job)
        return dispatch.server

    return arrive


def test_suspect_gets_one_idempotent_request(send):
    assert send("one", True) == "suspect"
    assert send("two", True) != "suspect"


def test_suspect_gets_no_preference_for_non_idempotent_requests(send):
    assert send("one", False) != "suspect"
    assert send("two", True) == "suspect"
