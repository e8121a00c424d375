from types import SimpleNamespace

import pytest
from wagtailpaddle_config import ClientAccount, Configuration, Key, Route
from wagtailpaddle_core import AccountId, KeyId, RequestId, RouteId, ServiceId, ZoneId
from wagtailpaddle_node import RequestHead
from wagtailpaddle_node.request_pipeline import RequestPipeline
from wagtailpaddle_quota import Granted
from wagtailpaddle_routing import Dispatcher, ServerView

SERVICE = ServiceId("booking")


def configuration(*, withdrawn=False):
    account = ClientAccount(id=AccountId("kiosk"), rate=10.0, burst=10.0)
    route = Route(id=RouteId("book"), service=SERVICE, path="/deliveries")
    key = Key(
        id=KeyId("k1"), account=account.id, secret_hash="hash", withdrawn=withdrawn
    )
    return Configuration(
        revision=2 if withdrawn else 1,
        accounts={account.id: account},
        routes={route.id: route},
        keys={key.id: key},
        key_by_hash={"hash": key.id},
        routes_by_path={"/deliveries": (route,)},
    )


class Claims:
    """Records the claims that begin and end; places none."""

    def __init__(self):
        self.begun = []
        self.ended = []

    def begin(self, now, request, *_):
        self.begun.append(request)
        return ()

    def finish(self, now, request, outcome, answer=None):
        self.ended.append((request, outcome))
        return ()


class Control:
    """A control plane for the request pipeline whose state the test sets."""

    def __init__(self):
        self.configuration = configuration()
        self.fresh = True
        self.claims = Claims()
        self.membership = SimpleNamespace(
            is_fresh=lambda now: self.fresh, may_serve_open=lambda now: self.fresh
        )
        self.quota = SimpleNamespace(
            acquire=lambda *_: Granted(),
            may_spend=lambda now: True,
            max_wait_s=float("inf"),
        )

    def withdraw_key(self):
        self.configuration = configuration(withdrawn=True)

    def convert_claim_actions(self, now, actions):
        return tuple(actions)


@pytest.fixture
def control():
    return Control()


@pytest.fixture
def pipeline(control):
    dispatcher = Dispatcher(zone=ZoneId("a"))
    view = ServerView(id="s1", zone=ZoneId("a"), slots=1, connections=300, weight=1.0)
    dispatcher.set_servers(0.0, SERVICE, (view,), n_sharing_vms=1)
    backends = SimpleNamespace(
        arrive=dispatcher.arrive,
        on_attempt_started=lambda *_: None,
        discard_attempt=lambda *_: None,
        on_attempt_finished=lambda *_: (),
    )
    return RequestPipeline(control, backends, dispatcher)


@pytest.fixture
def head():
    return RequestHead(
        id=RequestId("r1"),
        host="",
        path="/deliveries/7",
        method="POST",
        key_hash="hash",
        idempotency_key="once-7",
    )
