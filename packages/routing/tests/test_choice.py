from collections import Counter
from dataclasses import replace

import pytest
from wagtailpaddle_core import ErrorKind, RequestId, ServerId, ServiceId
from wagtailpaddle_routing import CHOOSERS, Dispatch

SERVICE = ServiceId("booking")


@pytest.fixture
def spread(job, ended):
    """Return a function that sends requests one by one and counts them by server."""

    def count(dispatcher, *, n=1200, load=None, idempotent=True):
        counts = Counter()
        for index in range(n):
            now = 0.001 * index
            name = f"r{index}"
            (sent,) = dispatcher.arrive(now, job(name, at=now, idempotent=idempotent))
            counts[sent.server] += 1
            report = load(sent.server) if load else None
            dispatcher.finish(now, RequestId(name), ended(load=report))
        return counts

    return count


@pytest.mark.parametrize("chooser", CHOOSERS.names())
def test_every_chooser_uses_every_server_of_one_zone(
    make_dispatcher, view, spread, chooser
):
    views = tuple(view(f"s{index}") for index in range(6))
    counts = spread(make_dispatcher(views, chooser=chooser))
    assert min(counts[item.id] for item in views) > 100


def test_local_servers_are_preferred_at_equal_load(make_dispatcher, views, spread):
    counts = spread(make_dispatcher(views))
    n_local = sum(counts[view.id] for view in views if view.zone == "a")
    assert n_local > 0.95 * sum(counts.values())


def test_loaded_zone_is_avoided(make_dispatcher, views, spread):
    zone_of = {view.id: view.zone for view in views}
    counts = spread(
        make_dispatcher(views), load=lambda name: 0.9 if zone_of[name] == "a" else 0.3
    )
    n_local = sum(counts[view.id] for view in views if view.zone == "a")
    assert n_local < 0.5 * sum(counts.values())


@pytest.mark.parametrize("report", [0.0, 1.0])
def test_wrong_load_report_neither_starves_nor_floods_a_server(
    make_dispatcher, view, spread, report
):
    views = tuple(view(f"s{index}") for index in range(6))
    counts = spread(
        make_dispatcher(views), load=lambda name: report if name == "s0" else 0.5
    )
    part = counts[ServerId("s0")] / sum(counts.values())
    assert 0.1 / 6 < part < 2.2 / 6


def test_weight_scales_the_part_of_a_server(make_dispatcher, view, spread):
    views = tuple(view(f"s{index}", weight=0.25 if index else 1.0) for index in (0, 1))
    low = (*(view(f"s{i}") for i in range(5)), view("new", weight=0.25))
    counts = spread(make_dispatcher(low), n=2000)
    assert 0.1 < counts[ServerId("new")] / (2000 / 5.25) < 0.5
    assert spread(make_dispatcher(views), n=100)[ServerId("s1")] > 0


def test_probation_takes_one_idempotent_request_at_a_time(make_dispatcher, view, job):
    trial = view("trial", probation=True)
    dispatcher = make_dispatcher((trial,))
    (refusal,) = dispatcher.arrive(0.0, job("once", idempotent=False))
    assert refusal.kind is ErrorKind.NO_HEALTHY_SERVER
    assert isinstance(dispatcher.arrive(0.0, job("r1"))[0], Dispatch)
    assert dispatcher.arrive(0.0, job("r2")) == ()


def test_leaving_server_gets_no_new_work(make_dispatcher, view, job, ended):
    dispatcher = make_dispatcher((view("s0"), view("s1", "b")))

    def set_leaving(now, *names):
        views = (
            view("s0", leaving="s0" in names),
            view("s1", "b", leaving="s1" in names),
        )
        return dispatcher.set_servers(now, SERVICE, views)

    (first,) = dispatcher.arrive(0.0, job("r0"))
    assert first.server == "s0"
    assert set_leaving(0.1, "s0") == ()
    assert dispatcher.arrive(0.2, job("r1"))[0].server == "s1"
    assert dispatcher.finish(0.3, RequestId("r0"), ended())[0].request == "r0"
    assert set_leaving(0.4, "s0", "s1") == ()
    (refusal,) = dispatcher.arrive(0.5, job("r2"))
    assert refusal.kind is ErrorKind.NO_HEALTHY_SERVER
    assert set_leaving(0.6, "s1") == ()
    assert dispatcher.arrive(0.7, job("r3"))[0].server == "s0"


def test_limit_decreases_on_shed_and_recovers_while_used(
    make_dispatcher, view, job, ended
):
    dispatcher = make_dispatcher((view("s0"),))
    dispatcher.arrive(0.0, job("r"))
    dispatcher.finish(0.0, RequestId("r"), ended("shed"))

    def limit():
        return dispatcher.status(0.0)[0].servers[0].limit

    assert limit() == 1.0
    dispatcher.cancel(0.0, RequestId("r"))
    for index in range(200):
        now = 1.0 + index * 0.1
        dispatcher.arrive(now, job(f"a{index}", at=now))
        dispatcher.arrive(now, job(f"b{index}", at=now))
        dispatcher.finish(now, RequestId(f"a{index}"), ended())
        dispatcher.finish(now, RequestId(f"b{index}"), ended())
    assert limit() > 1.5


def test_connections_are_shared_among_vms(make_dispatcher, view, job):
    busy = make_dispatcher((view("s0"),), n_sharing_vms=150)
    assert busy.arrive(0.0, job("r0"))
    assert busy.arrive(0.0, job("r1"))
    assert busy.arrive(0.0, job("r2")) == ()
    started = busy.set_servers(0.1, SERVICE, (replace(view("s0")),), n_sharing_vms=100)
    assert len(started) <= 1
    assert busy.status(0.1)[0].servers[0].limit <= 3


@pytest.mark.parametrize("limiter", ["aimd", "gradient"])
@pytest.mark.parametrize("stated", [1, 4, 32])
def test_limit_converges_to_the_unknown_number_of_slots(
    make_dispatcher, view, job, ended, limiter, stated
):
    n_slots = 4
    dispatcher = make_dispatcher((view("s0", slots=stated),), limiter=limiter)
    running, limits, n_sent = [], [], 0
    for step in range(4000):
        now = step * 0.01
        if step % 5 == 0 and running:
            name = running.pop(0)
            started = dispatcher.finish(now, name, ended(latency_s=0.05))
        else:
            n_sent += 1
            name = RequestId(f"r{n_sent}")
            started = dispatcher.arrive(now, job(name, at=now, timeout_s=1.0))
        for action in (*started, *dispatcher.tick(now)):
            if not isinstance(action, Dispatch):
                continue
            if len(running) < n_slots:
                running.append(action.request)
            else:
                dispatcher.finish(now, action.request, ended("shed", 0.001))
        limits.append(dispatcher.status(now)[0].servers[0].limit)
    settled = limits[len(limits) // 2 :]
    assert 2.0 <= sum(settled) / len(settled) <= 2.0 * n_slots
