"""Interface between the administration API and the daemon."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from wagtailpaddle_core import Offset, VmId, ZoneId
from wagtailpaddle_fleet import AcceptanceState
from wagtailpaddle_node import Node

from wagtailpaddle_daemon.logclient import LogClient
from wagtailpaddle_daemon.settings import Settings


class ChangeStage(StrEnum):
    """Progress of a change: in the log only, or confirmed by enough VMs."""

    RECORDED = "recorded"
    IN_FORCE = "in-force"


@dataclass(frozen=True, slots=True)
class ChangeState:
    """How many VMs confirmed a change and how many are needed to put it in force."""

    state: ChangeStage
    n_confirmed: int
    n_needed: int


def change_state(accepted: AcceptanceState) -> ChangeState:
    """Return the state of a change, derived from its confirmations."""
    name = ChangeStage.IN_FORCE if accepted.in_force else ChangeStage.RECORDED
    return ChangeState(name, accepted.n_confirmed, accepted.n_seats // 2 + 1)


@dataclass(frozen=True, slots=True)
class VmView:
    """A VM of the fleet as known to this daemon."""

    id: VmId
    zone: ZoneId
    caller_address: str
    state: str
    revision: Offset | None = None


class InFlightCounter(Protocol):
    """A front end that counts its requests in flight."""

    @property
    def n_in_flight(self) -> int:
        """Number of requests without a response yet."""


class AdminPort(Protocol):
    """The parts of a daemon that the administration API uses."""

    cfg: Settings
    vm: VmId
    node: Node
    log_client: LogClient

    @property
    def gateway(self) -> InFlightCounter:
        """The gateway that handles callers' requests."""

    async def catch_up(self) -> Offset | None:
        """Fold all records of the log; return its head, None if it did not answer."""


Acceptance = Callable[[Offset], ChangeState]
"""Returns the state of the change at an offset."""

FleetView = Callable[[], tuple[VmView, ...]]
"""Returns the VMs that this daemon knows."""


def local_acceptance(port: AdminPort) -> Acceptance:
    """Return an ``Acceptance`` that counts only this VM's confirmation."""

    def state_of(offset: Offset) -> ChangeState:
        is_folded = port.node.configuration.revision > offset
        return change_state(AcceptanceState(offset, int(is_folded), 1, is_folded))

    return state_of


def local_fleet(port: AdminPort) -> FleetView:
    """Return a ``FleetView`` that contains only this VM."""

    def vms() -> tuple[VmView, ...]:
        state = "draining" if port.node.draining else "serving"
        revision = port.node.configuration.revision
        zone = ZoneId(port.cfg.zone)
        return (VmView(port.vm, zone, port.cfg.caller_address, state, revision),)

    return vms


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's request with the headers that all commands share decoded.

    ``expected`` is the revision in ``If-Match``; ``must_be_new`` is true for
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
    """A successful response; ``revision`` becomes its entity tag.

    A ``value`` of type bytes is sent unchanged, any other value as JSON.
    """

    value: Any
    status: int = 200
    revision: Offset | None = None
    content_type: bytes = b"application/json"
