"""A complete node that was paused for longer than its freshness window."""

from dataclasses import replace

import pytest
from wagtailpaddle_config import PublishBase, Record
from wagtailpaddle_core import ErrorKind, RequestId, VmId, ZoneId
from wagtailpaddle_fleet import Vm
from wagtailpaddle_node import Node, RawLogRecord
from wagtailpaddle_routing import AttemptOutcome, AttemptResult, Dispatch, Refuse

BASE = {
    "services": {
        "booking": {
            "servers": {
                "s1": {"address": "::1", "port": 1, "zone": "a", "slots": 1},
            }
        }
    },
    "routes": {"book": {"service": "booking", "path": "/deliveries", "open": True}},
}
PAUSE_S = 5.0


class Codec:
    """Encodes records as indices of a list."""

    def __init__(self, records):
        self.records = records

    def decode(self, data):
        return self.records[int(data)]


@pytest.fixture
def node(head):
    """A fresh node with one server whose only slot is used by ``head``.

    Other requests wait for the slot.
    """
    vm = Vm(VmId("a:1/1"), ZoneId("a"), "a:2", "a:1", "1")
    records = [Record("r0", "op", 0.0, None, PublishBase(BASE))]
    node = Node(vm, Codec(records), site="namur")
    node.on_config_read(1.0, 1.0, [RawLogRecord(0, b"0")], 0, 1)
    head = replace(head, idempotency_key=None)
    assert any(isinstance(action, Dispatch) for action in node.on_request(1.0, head))
    waiting = 0
    for index in range(20):
        other = replace(head, id=RequestId(f"w{index}"))
        actions = node.on_request(1.0, other)
        waiting += not actions
    assert waiting
    return node


EVENTS = {
    "attempt ends": lambda node, now: node.on_attempt(
        now, RequestId("r1"), AttemptResult(AttemptOutcome.ANSWERED, 0.1, 200)
    ),
    "caller disconnects": lambda node, now: node.on_cancel(now, RequestId("r1"))[1],
    "old read of the log": lambda node, now: node.on_config_read(now, 1.0, [], 0, 1),
    "list of VMs": lambda node, now: node.on_vm_list(now, ()),
    "peer fails": lambda node, now: node.on_peer_failed(now, 99),
    "tick": lambda node, now: node.on_tick(now),
}


@pytest.mark.parametrize("event", EVENTS)
def test_first_event_after_a_pause_dispatches_nothing(node, event):
    actions = EVENTS[event](node, 1.0 + PAUSE_S)
    assert not any(isinstance(action, Dispatch) for action in actions)
    refused = [action for action in actions if isinstance(action, Refuse)]
    assert refused
    assert {action.kind for action in refused} == {ErrorKind.NOT_FRESH}
