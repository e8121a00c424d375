"""The times of the node's ticks and the gateway's timer."""

import pytest
from twisted.internet.task import Clock, LoopingCall
from wagtailpaddle_daemon.gateway import Gateway
from wagtailpaddle_node import Append, CallPeer, RawLogRecord, RequestHead
from wagtailpaddle_node.tick_scheduler import (
    ACTIVE_PERIOD_S,
    ACTIVE_TICK_INTERVAL_S,
    IDLE_TICK_INTERVAL_S,
    TickScheduler,
)
from wagtailpaddle_peer import encode_log_record


@pytest.fixture
def pace():
    pace = TickScheduler()
    pace.record_tick(0.0)
    return pace


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def tick_times(port, metrics, clock, monkeypatch):
    times = []
    on_tick = port.node.on_tick

    def record_tick(now):
        times.append(now)
        return on_tick(now)

    monkeypatch.setattr(port.node, "on_tick", record_tick)
    gateway = Gateway(clock, port.node, None, metrics)
    streams = {"config": [], "shares": []}
    gateway.register_handlers(
        {
            CallPeer: lambda _: None,
            Append: lambda item: streams[item.stream].append(item),
        }
    )
    reading = LoopingCall(read_log, port.node, clock, gateway, streams)
    reading.clock = clock
    gateway.start()
    reading.start(0.5)
    yield times
    gateway.stop()
    reading.stop()
    assert not clock.getDelayedCalls()


def read_log(node, clock, gateway, streams):
    now = clock.seconds()
    for read, name, start in (
        (node.on_config_read, "config", node.read_from[0]),
        (node.on_shares_read, "shares", node.read_from[1]),
    ):
        records = tuple(
            RawLogRecord(offset, encode_log_record(item.record))
            for offset, item in enumerate(streams[name])
        )
        gateway.carry_out(read(now, now, records[start:], 0, len(records)))


def run(clock, seconds):
    for _ in range(round(seconds * 100)):
        clock.advance(0.01)


def test_first_tick_is_due_at_once():
    assert TickScheduler().next_tick(5.0) < 5.0


def test_idle_node_ticks_at_the_idle_interval(pace):
    assert pace.next_tick(0.0) == IDLE_TICK_INTERVAL_S


def test_event_shortens_the_interval_for_a_time(pace):
    pace.record_activity(0.01)
    assert pace.next_tick(0.01) == 0.01 + ACTIVE_TICK_INTERVAL_S
    pace.record_tick(1.0)
    assert pace.next_tick(1.0) == 1.0 + ACTIVE_TICK_INTERVAL_S
    assert pace.next_tick(0.02 + ACTIVE_PERIOD_S) == 1.0 + IDLE_TICK_INTERVAL_S


def test_event_never_delays_a_tick(pace):
    for step in range(1, 20):
        pace.record_activity(step * 3.0)
        assert pace.next_tick(step * 3.0) <= IDLE_TICK_INTERVAL_S


def test_gateway_ticks_at_the_idle_interval_when_idle(tick_times, clock):
    run(clock, 20.0)
    tick_times.clear()
    run(clock, 10.0)
    gaps = [
        after - before
        for before, after in zip(tick_times, tick_times[1:], strict=False)
    ]
    assert max(gaps) <= IDLE_TICK_INTERVAL_S + 0.02
    assert len(tick_times) <= 10.0 / IDLE_TICK_INTERVAL_S + 1


def test_gateway_ticks_at_the_active_interval_after_a_request(tick_times, clock, port):
    run(clock, 20.0)
    tick_times.clear()
    head = RequestHead("r", "h", "/", "GET", None, None, None, "")
    port.node.on_request(clock.seconds(), head)
    run(clock, 1.0)
    assert len(tick_times) >= 1.0 / (ACTIVE_TICK_INTERVAL_S + 0.01) - 5
