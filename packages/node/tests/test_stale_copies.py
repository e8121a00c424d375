"""No request is decided by a copy that is older than the bound while the store answers.

Guards against a request that was routed 2.07 s after a version was acknowledged by an
older version: its VM followed an upstream that answered late, and nothing asked for the
age of the copy where the request was decided.
"""

import pytest
from wagtailpaddle_config import (
    ConfigDocument,
    RegisteredServer,
    Route,
    Server,
    Service,
)
from wagtailpaddle_node import CallPeer, ReplicaNode, ReplicaSettings, RequestHead
from wagtailpaddle_replica import (
    Batch,
    Collection,
    Follow,
    Member,
    ReadStore,
    Record,
    Update,
)
from wagtailpaddle_routing import Dispatch, Policy, Refuse

OWN = Member("vm1/1", "a", "vm1:80", "vm1", "1")
UPSTREAM = Member("vm2/1", "a", "vm2:80", "vm2", "1", cores=0.1)
APPLY_S = 2.0
AFTER_BOUND = 2.05
READ_BY_S = 0.9 * APPLY_S
"""A read that begins later is not answered within the bound, in seconds."""

MAX_WAIT_S = 0.3
"""The longest that a request may wait for the store, in seconds."""


def registered(service, name):
    server = Server(id=name, address=f"{name}.example", port=80, zone="a")
    return RegisteredServer(service=service, server=server)


SERVERS = {b"old": registered("old", "s1"), b"new": registered("new", "s2")}


def document(version, service):
    return ConfigDocument(
        version=version,
        routes=(Route(id="sell", service=service, path="/sell/", open=True),),
        services=(Service(id="old"), Service(id="new")),
    )


DOCUMENTS = {b"v1": document(1, "old"), b"v2": document(2, "new")}
DECODERS = {
    Collection.CONFIG: lambda key, data: DOCUMENTS.get(data),
    Collection.SERVERS: lambda key, data: SERVERS[data],
    Collection.VMS: lambda key, data: {"vm1": OWN, "vm2": UPSTREAM}[key],
}


def batch(collection, *items):
    records = tuple(Record(key, at, data) for at, (key, data) in enumerate(items))
    return Batch(collection, len(items), records, True)


def config(version):
    """Return a snapshot of the configuration; later versions have higher offsets."""
    record = Record("config", version, b"v%d" % version)
    return Batch(Collection.CONFIG, version + 1, (record,), True)


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


@pytest.fixture
def node():
    node = ReplicaNode(
        OWN,
        DECODERS,
        cfg=ReplicaSettings(apply_s=APPLY_S),
        routing=Policy(zone="a"),
    )
    node.on_read(0.0, 0.0, config(1))
    servers = (("s1", b"old"), ("s2", b"new"))
    node.on_read(0.0, 0.0, batch(Collection.SERVERS, *servers))
    node.on_read(0.0, 0.0, batch(Collection.VMS, ("vm1", b""), ("vm2", b"")))
    return node


def ask(node, now, name="r1"):
    head = RequestHead(name, "", "/sell/a", "POST", None, timeout_s=1.0)
    return node.on_request(now, head)


def test_request_waits_for_the_version_that_is_in_force(node):
    actions = ask(node, AFTER_BOUND)
    assert not of_type(actions, Dispatch | Refuse)
    reads = {action.collection for action in of_type(actions, ReadStore)}
    assert Collection.CONFIG in reads
    at = AFTER_BOUND + 0.01
    actions = node.on_read(at, AFTER_BOUND, config(2))
    actions += node.on_read(at, AFTER_BOUND, Batch(Collection.SERVERS, 2, ()))
    assert [item.service for item in of_type(actions, Dispatch)] == ["new"]


@pytest.mark.parametrize("collection", [Collection.CONFIG, Collection.SERVERS])
def test_request_is_served_by_the_last_copy_if_the_store_fails(node, collection):
    ask(node, AFTER_BOUND)
    actions = node.on_read_failed(AFTER_BOUND + 0.01, collection)
    assert [item.service for item in of_type(actions, Dispatch)] == ["old"]


def test_request_is_served_by_the_last_copy_if_the_store_is_silent(node):
    ask(node, AFTER_BOUND)
    wake_at = node.next_wake(AFTER_BOUND)
    assert wake_at <= AFTER_BOUND + MAX_WAIT_S
    actions = node.on_tick(AFTER_BOUND + MAX_WAIT_S)
    (dispatch,) = of_type(actions, Dispatch)
    assert dispatch.service == "old"
    # The wait is part of the caller's time.
    assert dispatch.deadline_at == pytest.approx(AFTER_BOUND + 1.0)


def test_requests_of_an_outage_wait_only_once(node):
    ask(node, AFTER_BOUND)
    for collection in (Collection.CONFIG, Collection.SERVERS):
        node.on_read_failed(AFTER_BOUND + 0.1, collection)
    assert of_type(ask(node, AFTER_BOUND + 0.2, "r2"), Dispatch)
    next_read_at = AFTER_BOUND + 1.9
    assert of_type(node.on_tick(next_read_at), ReadStore)
    assert of_type(ask(node, next_read_at, "r3"), Dispatch)


def test_waiting_request_that_is_cancelled_reaches_no_server(node):
    ask(node, AFTER_BOUND)
    assert node.on_cancel(AFTER_BOUND + 0.01, "r1") == (False, ())
    actions = node.on_read(AFTER_BOUND + 0.02, AFTER_BOUND, config(2))
    assert not of_type(actions, Dispatch | Refuse)


def test_waiting_request_is_refused_when_the_vm_stops(node):
    ask(node, AFTER_BOUND)
    (refusal,) = of_type(node.refuse_waiting(AFTER_BOUND + 0.01), Refuse)
    assert refusal.request == "r1"


def test_vm_with_requests_reads_within_the_bound_beside_a_late_upstream(node):
    """An upstream that states a young age and then answers late."""
    ask(node, 0.1)
    reads, step_s = [], 0.05
    now, pending = 0.1, None
    while now < READ_BY_S:
        now += step_s
        actions = node.on_tick(now)
        follow = next(
            (a for a in of_type(actions, CallPeer) if isinstance(a.body, Follow)), None
        )
        pending = follow or pending
        if pending is not None and now >= pending.body.clock + 0.8:
            body = pending.body
            update = Update(body.clock, 0.5, 0.6 * APPLY_S, 0.6 * APPLY_S)
            actions += node.on_peer_reply(now, pending.call, update)
            pending = None
        reads += of_type(actions, ReadStore)
    assert Collection.CONFIG in {action.collection for action in reads}
