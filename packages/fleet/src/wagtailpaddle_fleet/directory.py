"""Directory of the VM addresses that callers should use."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import VmId, ZoneId, rank, score

from wagtailpaddle_fleet.messages import CallerAddresses, Vm

N_PREFERRED_VMS = 3
MAX_ADDRESSES = 6
ADDRESSES_TTL_S = 30.0
FEW_ADDRESSES_TTL_S = 5.0
MAX_CACHED_ACCOUNTS = 4_096


@dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """An answer to a caller and the peer addresses of the VMs in it."""

    answer: CallerAddresses
    peer_addresses: tuple[str, ...]


class Directory:
    """Orders the VMs for callers.

    The preferred VMs of a client account are chosen by rendezvous hashing over
    addresses. Replacing one of n VMs thus moves about 1/n of the accounts'
    preferred VMs, and a restarted process remains preferred by the same
    accounts. Callers without an account are spread at random.
    """

    def __init__(self, *, rng: Random):
        self._rng = rng
        self._vms: dict[str, Vm] = {}
        self._by_id: dict[VmId, Vm] = {}
        self._by_zone: dict[ZoneId, list[str]] = {}
        self._addresses: list[str] = []
        self._preferred_cache: OrderedDict[str, tuple[Vm, ...]] = OrderedDict()

    def set_vms(self, vms: Sequence[Vm]) -> None:
        """Replace the VMs that callers may use."""
        new = {vm.peer_address: vm for vm in vms}
        if new != self._vms:
            self._vms = new
            self._by_id = {vm.id: vm for vm in vms}
            self._by_zone = {}
            for address in sorted(new):
                self._by_zone.setdefault(new[address].zone, []).append(address)
            self._addresses = sorted(new)
            self._preferred_cache.clear()

    @property
    def vms(self) -> tuple[Vm, ...]:
        """The VMs that callers may use, ordered by id."""
        return tuple(sorted(self._vms.values(), key=lambda vm: vm.id))

    def preferred_vms(self, account: str) -> tuple[Vm, ...]:
        """Return the preferred VMs of a client account, best first.

        They are in distinct availability zones if there are enough zones.
        """
        found = self._preferred_cache.get(account)
        if found is None:
            found = self._choose_preferred(account)
            self._preferred_cache[account] = found
            if len(self._preferred_cache) > MAX_CACHED_ACCOUNTS:
                self._preferred_cache.popitem(last=False)
        return found

    def addresses_for(
        self,
        *,
        account: str | None = None,
        zone: ZoneId | None = None,
        preferred_vms: Sequence[VmId] = (),
    ) -> DirectoryAnswer:
        """Return the addresses for a caller, best first, at most 6.

        ``preferred_vms`` names the VMs that hold the account's shares, if known.
        They replace the preferred VMs that hashing selects.
        """
        chosen = [self._by_id[vm] for vm in preferred_vms if vm in self._by_id]
        if account is not None and not chosen:
            chosen = list(self.preferred_vms(account))
        chosen.sort(key=lambda vm: vm.zone != zone)
        listed = list(dict.fromkeys([*chosen, *self._sample(zone)]))[:MAX_ADDRESSES]
        keep_s = (
            ADDRESSES_TTL_S if len(listed) >= N_PREFERRED_VMS else FEW_ADDRESSES_TTL_S
        )
        answer = CallerAddresses(tuple(vm.caller_address for vm in listed), keep_s)
        return DirectoryAnswer(answer, tuple(vm.peer_address for vm in listed))

    def _sample(self, zone: ZoneId | None) -> list[Vm]:
        """Return randomly chosen VMs, those in the caller's zone first."""
        in_zone = [] if zone is None else self._by_zone.get(zone, [])
        sample_size = 2 * MAX_ADDRESSES
        return [
            self._vms[address]
            for part in (in_zone, self._addresses)
            for address in self._rng.sample(part, min(sample_size, len(part)))
        ]

    def _choose_preferred(self, account: str) -> tuple[Vm, ...]:
        """Return the best VM of each of the best zones, then any other VMs."""
        name = f"home/{account}"
        zones = rank(name, self._by_zone)[:N_PREFERRED_VMS]
        chosen = [self._highest_score(name, self._by_zone[zone]) for zone in zones]
        if len(chosen) < N_PREFERRED_VMS:
            others = [address for address in self._vms if address not in chosen]
            chosen += rank(name, others)[: N_PREFERRED_VMS - len(chosen)]
        return tuple(self._vms[address] for address in chosen)

    def _highest_score(self, name: str, addresses: Sequence[str]) -> str:
        return max(addresses, key=lambda address: (score(name, address), address))
