"""Detection of VMs that are gone, by the platform's list and incarnations."""

from collections.abc import Iterable
from math import inf
from random import Random

from wagtailpaddle_core import VmId

from wagtailpaddle_fleet.messages import ListedVm, Vm

LIST_LAG_S = 30.0
GONE_RETENTION_S = 3600.0
_INCARNATION_MS_DIGITS = 12
_RANDOM_BITS = 32


def new_incarnation(wall_s: float, rng: Random) -> str:
    """Return an incarnation that sorts after earlier ones on the same address.

    >>> new_incarnation(1.0, Random(1)) < new_incarnation(2.0, Random(1))
    True
    """
    millis = int(wall_s * 1000)
    return f"{millis:0{_INCARNATION_MS_DIGITS}x}-{rng.getrandbits(_RANDOM_BITS):08x}"


def started_at(incarnation: str) -> float:
    """Return when an incarnation began, by its own clock, in seconds since 1970.

    >>> started_at(new_incarnation(2.5, Random(1)))
    2.5
    """
    millis = incarnation.partition("-")[0]
    try:
        return int(millis, 16) / 1000
    except ValueError:
        return inf


def vm_id(peer_address: str, incarnation: str) -> VmId:
    """Return the id of one incarnation of the VM at an address."""
    return VmId(f"{peer_address}/{incarnation}")


def split_vm_id(vm: VmId) -> tuple[str, str]:
    """Return the peer address and the incarnation of a VM.

    >>> split_vm_id(VmId("10.0.0.1:7000/0a-1"))
    ('10.0.0.1:7000', '0a-1')
    """
    address, _, incarnation = vm.rpartition("/")
    return address, incarnation


class Incarnations:
    """Determines which VMs are gone, that is, have stopped for good.

    A VM is gone if a later incarnation was seen on its address, or if the
    platform's list has not contained its address for longer than the lag of
    the list. Time during which the list cannot be read does not count.
    """

    def __init__(self, vm: Vm, *, list_lag_s: float = LIST_LAG_S):
        self.vm = vm
        self.list_lag_s = list_lag_s
        self.listed: dict[str, ListedVm] = {}
        self._first_list_at: float | None = None
        self._last_list_at = float("-inf")
        self._last_listed_at: dict[str, float] = {}
        self._first_seen_at: dict[VmId, float] = {}
        self._latest_incarnations: dict[str, str] = {}
        self._gone_cache: frozenset[VmId] | None = None

    def on_vm_list(self, now: float, entries: Iterable[ListedVm]) -> None:
        """Handle a new copy of the platform's list."""
        self.listed = {entry.peer_address: entry for entry in entries}
        if self._first_list_at is None:
            self._first_list_at = now
        self._last_list_at = now
        for address in self.listed:
            self._last_listed_at[address] = now
        for address in [
            address
            for address, at in self._last_listed_at.items()
            if now - at > self.list_lag_s
        ]:
            del self._last_listed_at[address]
        self._gone_cache = None
        self._prune(now)

    def observe(self, now: float, vm: VmId) -> None:
        """Record that a record or message names ``vm``."""
        if vm in self._first_seen_at:
            return
        self._first_seen_at[vm] = now
        self._gone_cache = None
        address, incarnation = split_vm_id(vm)
        if incarnation > self._latest_incarnations.get(address, ""):
            self._latest_incarnations[address] = incarnation

    def is_gone(self, now: float, vm: VmId) -> bool:
        """Return whether a VM has certainly stopped serving and answering.

        A VM that was not known before counts as first seen at ``now``.
        """
        if vm not in self._first_seen_at:
            self.observe(now, vm)
        return self._is_gone(vm)

    def gone(self) -> frozenset[VmId]:
        """Return all known VMs that are gone."""
        if self._gone_cache is None:
            self._gone_cache = frozenset(
                vm for vm in self._first_seen_at if self._is_gone(vm)
            )
        return self._gone_cache

    @property
    def is_self_gone(self) -> bool:
        """Whether others may consider this VM gone, so that it must stop serving."""
        return self._is_gone(self.vm.id)

    def is_leaving(self, address: str) -> bool:
        """Return whether the list marks the VM at an address as leaving."""
        entry = self.listed.get(address)
        return entry is not None and entry.leaving

    def _is_gone(self, vm: VmId) -> bool:
        address, incarnation = split_vm_id(vm)
        if self._latest_incarnations.get(address, "") > incarnation:
            return True
        if self._first_list_at is None:
            return False
        last_seen_at = max(
            self._first_list_at,
            self._last_listed_at.get(address, float("-inf")),
            self._first_seen_at.get(vm, float("-inf")),
        )
        return self._last_list_at - last_seen_at > self.list_lag_s

    def _prune(self, now: float) -> None:
        expired = [
            vm
            for vm, at in self._first_seen_at.items()
            if now - at > GONE_RETENTION_S and vm != self.vm.id and self._is_gone(vm)
        ]
        for vm in expired:
            del self._first_seen_at[vm]
        addresses = {split_vm_id(vm)[0] for vm in self._first_seen_at}
        for address in [
            address for address in self._latest_incarnations if address not in addresses
        ]:
            del self._latest_incarnations[address]
