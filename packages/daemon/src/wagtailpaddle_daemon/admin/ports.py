"""What the administration API asks of the daemon."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from wagtailpaddle_core import Offset, VmId, ZoneId
from wagtailpaddle_fleet import AcceptanceState
from wagtailpaddle_node import Node

from wagtailpaddle_daemon.logclient import LogClient
from wagtailpaddle_daemon.settings import Settings


class StateName(StrEnum):
    """How far a change has come."""

    RECORDED = "recorded"
    IN_FORCE = "in-force"


@dataclass(frozen=True, slots=True)
class ChangeState:
    """How many VMs confirmed a change, and how many must before it is in force."""

    state: StateName
    n_confirmed: int
    n_needed: int


def change_state(accepted: AcceptanceState) -> ChangeState:
    """Return the state of a change from the count of its confirmations."""
    name = StateName.IN_FORCE if accepted.in_force else StateName.RECORDED
    return ChangeState(name, accepted.n_confirmed, accepted.n_seats // 2 + 1)


@dataclass(frozen=True, slots=True)
class VmView:
    """What this daemon knows of a VM of the fleet."""

    id: VmId
    zone: ZoneId
    caller_address: str
    state: str
    revision: Offset | None = None


class Working(Protocol):
    """Tells how much a front end has in hand."""

    @property
    def n_in_flight(self) -> int:
        """How many requests are not yet answered."""


class AdminPort(Protocol):
    """The parts of a daemon that operators see or change."""

    cfg: Settings
    vm: VmId
    node: Node
    log_client: LogClient

    @property
    def gateway(self) -> Working:
        """The gateway of callers' requests."""

    async def catch_up(self) -> Offset | None:
        """Fold what the log has; return its head, None if it did not answer."""


Acceptance = Callable[[Offset], ChangeState]
"""Tells how far the change at an offset has come."""

FleetView = Callable[[], tuple[VmView, ...]]
"""Tells which VMs this daemon knows."""


def acceptance_here(port: AdminPort) -> Acceptance:
    """Return an acceptance that knows of this VM's confirmation only."""

    def state_of(offset: Offset) -> ChangeState:
        is_folded = port.node.configuration.revision > offset
        return change_state(AcceptanceState(offset, int(is_folded), 1, is_folded))

    return state_of


def fleet_here(port: AdminPort) -> FleetView:
    """Return a view of the fleet that knows this VM only."""

    def vms() -> tuple[VmView, ...]:
        state = "draining" if port.node.draining else "serving"
        revision = port.node.configuration.revision
        zone = ZoneId(port.cfg.zone)
        return (VmView(port.vm, zone, port.cfg.caller_address, state, revision),)

    return vms


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's request, decoded as far as every command needs.

    ``expected`` is the revision in ``If-Match``; ``must_be_new`` stands for
    ``If-None-Match: *``. ``record_id`` is the client's ``Idempotency-Key``.
    """

    operator: str
    body: bytes
    query: dict[str, str]
    expected: Offset | None = None
    must_be_new: bool = False
    record_id: str | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """A successful answer; ``revision`` becomes its entity tag.

    A ``value`` of bytes is sent as it is, any other one as JSON.
    """

    value: Any
    status: int = 200
    revision: Offset | None = None
    content_type: bytes = b"application/json"
