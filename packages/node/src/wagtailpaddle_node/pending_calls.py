"""Calls to other VMs whose replies are pending."""

from dataclasses import dataclass
from enum import Enum, auto

from wagtailpaddle_core import VmId
from wagtailpaddle_fleet import split_vm_id

from wagtailpaddle_node.messages import CallPeer

CALL_TIMEOUT_S = 1.0


class Component(Enum):
    """The decision package that a call belongs to."""

    FLEET = auto()
    HEALTH = auto()
    ONCE = auto()
    QUOTA = auto()
    REPLICA = auto()


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call in flight. ``vm`` is empty if only the address is known."""

    component: Component
    vm: VmId
    address: str
    body: object
    sent_at: float


class PendingCalls:
    """Assigns a number to each call and stores its message until it ends."""

    def __init__(self) -> None:
        self._last_number = 0
        self._pending: dict[int, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def to_vm(
        self,
        now: float,
        component: Component,
        vm: VmId,
        body: object,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> CallPeer:
        """Return the action that calls a VM, addressed to this incarnation only."""
        address, _ = split_vm_id(vm)
        return self._begin(PendingCall(component, vm, address, body, now), timeout_s)

    def to_address(
        self,
        now: float,
        component: Component,
        address: str,
        body: object,
        timeout_s: float,
    ) -> CallPeer:
        """Return the action that calls the VM at ``address``, whatever its id."""
        return self._begin(
            PendingCall(component, VmId(""), address, body, now), timeout_s
        )

    def end(self, number: int) -> PendingCall | None:
        """Remove and return a call that ended, None if it is not in flight."""
        return self._pending.pop(number, None)

    def _begin(self, call: PendingCall, timeout_s: float) -> CallPeer:
        self._last_number += 1
        self._pending[self._last_number] = call
        return CallPeer(self._last_number, call.address, call.vm, call.body, timeout_s)
