"""What VMs know of each other."""

from dataclasses import dataclass

from wagtailpaddle_core import VmId, ZoneId


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM of the fleet. Addresses are ``host:port``."""

    id: VmId
    zone: ZoneId
    caller_address: str
    peer_address: str
    incarnation: str
    leaving: bool = False
