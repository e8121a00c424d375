"""What part of each rate a VM may use while it reaches no owner of the buckets."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from copy import copy, deepcopy

from wagtailpaddle_core import AccountId, VmId, only

SILENT_S = 0.75
"""A VM that was not heard for this time may use its parts by itself."""

SETTLED_S = 1.0
"""One that has heard every VM for this time gives parts; until then another one that
they asked before may not have missed them."""

SHARER_RETENTION_S = 60.0
"""A VM that is known still counts for this time after it was last in use."""

HOLDING_TTL_S = 5.0
"""A VM that is heard has given up a part that it did not state for this time."""

SWEEP_INTERVAL_S = 1.0
EQUAL_SHARE = 0.5
"""Share of each rate that is divided equally; the rest is divided by use."""

USE_WINDOW_S = 2.0
SILENT_CACHE_S = 0.05


class _DecayingSum:
    """A sum whose addends lose weight with a time constant of ``USE_WINDOW_S``."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, now: float, amount: float) -> None:
        self._value = self.value(now) + amount
        self._at = now

    def value(self, now: float) -> float:
        return self._value * math.exp(min(0.0, self._at - now) / USE_WINDOW_S)


class _Holding:
    """What one VM holds of one account's rate, and has used of it lately."""

    __slots__ = ("part", "stated_at", "used")

    def __init__(self, now: float) -> None:
        self.part = 0.0
        self.stated_at = now
        self.used = _DecayingSum()


class _Account:
    """The holdings of one account by VM, with the sums of parts and of use."""

    __slots__ = ("holdings", "swept_at", "total", "used")

    def __init__(self, now: float) -> None:
        self.holdings: dict[VmId, _Holding] = {}
        self.total = 0.0
        self.used = _DecayingSum()
        self.swept_at = now

    def part(self, vm: VmId) -> float:
        """Return the part that a VM holds."""
        holding = self.holdings.get(vm)
        return 0.0 if holding is None else holding.part

    def set_part(self, now: float, vm: VmId, part: float) -> None:
        """Set the part that a VM holds."""
        holding = self.holdings.setdefault(vm, _Holding(now))
        self.total += part - holding.part
        holding.part = part

    def use(self, now: float, vm: VmId, n_tokens: float) -> None:
        """Count tokens that a VM got."""
        self.used.add(now, n_tokens)
        self.holdings.setdefault(vm, _Holding(now)).used.add(now, n_tokens)

    def use_share(self, now: float, vm: VmId) -> float:
        """Return the share of the recent use that is a VM's."""
        n_used = self.used.value(now)
        return min(1.0, self.holdings[vm].used.value(now) / n_used) if n_used else 0.0

    def remove(self, vm: VmId) -> None:
        """Remove the holding of a VM."""
        self.holdings.pop(vm, None)
        self.total = sum(item.part for item in self.holdings.values())


class _Vm:
    """What is known of a VM that may hold parts."""

    __slots__ = ("accounts", "base", "heard_at", "in_use_at", "is_in_use", "was_known")

    def __init__(self) -> None:
        self.accounts: set[AccountId] = set()
        self.base = 0.0
        self.heard_at = float("-inf")
        self.in_use_at = float("-inf")
        self.is_in_use = False
        self.was_known = False


class PartLedger:
    """The parts of accounts' rates that VMs hold, for one that grants tokens.

    A VM that reaches no other one goes on with its part of each rate. So whoever
    grants tokens has only what nobody else may be using: the whole rate while it hears
    every VM that may hold a part, and otherwise the parts of those that it hears.
    Parts are given by one that has the whole rate, add up to 1 at most, and are
    carried by the VMs that hold them to any other one that they ask. A VM holds a base
    part of all rates, and a part of each rate that it uses.

    >>> ledger = PartLedger(VmId("owner"))
    >>> ledger.hear(0.0, VmId("a"), {})
    >>> ledger.hear(0.0, VmId("b"), {})
    >>> ledger.granted(0.0, AccountId("kiosk"), VmId("a"), 10.0)
    0.0
    >>> ledger.silent(0.5)
    ()
    >>> ledger.hear(1.0, VmId("a"), {})
    >>> ledger.hear(1.0, VmId("b"), {})
    >>> ledger.granted(1.0, AccountId("kiosk"), VmId("a"), 10.0)
    0.5
    >>> ledger.hear(2.0, VmId("b"), {})
    >>> ledger.available(2.0, AccountId("kiosk"))
    0.0
    """

    def __init__(self, own: VmId):
        self._own = own
        self._vms: dict[VmId, _Vm] = {}
        self._accounts: dict[AccountId, _Account] = {}
        self._n_in_use = 1
        self._base_total = 0.0
        self._silent: tuple[VmId, ...] = ()
        self._silent_at = float("-inf")
        self._overlaps: dict[AccountId, float] = {}
        self._whole_since = float("inf")
        self._heard_at = float("-inf")
        self._had_others_at = float("-inf")

    def copy_for(self, account: AccountId) -> "PartLedger":
        """Return a copy with the parts of one account."""
        reduced = copy(self)
        reduced._vms = deepcopy(self._vms)
        reduced._accounts = deepcopy(only(self._accounts, account))
        reduced._overlaps = dict(self._overlaps)
        return reduced

    def set_vms(
        self, now: float, in_use: Collection[VmId], is_known: Callable[[VmId], bool]
    ) -> None:
        """Set which VMs are in use.

        A VM that is known no longer has left or is gone: a process that starts again
        is another VM. Its parts are void.
        """
        for vm in in_use:
            self._vm(vm).in_use_at = now
            if vm != self._own:
                self._had_others_at = now
        for vm, state in tuple(self._vms.items()):
            state.is_in_use = vm in in_use
            if self._is_void(now, state, is_known=is_known(vm)):
                self._discard(vm)
        self._n_in_use = max(1, len(in_use))

    def hear(
        self,
        now: float,
        vm: VmId,
        parts: Mapping[AccountId, float],
        *,
        base: float = 0.0,
        holds_parts: bool = True,
    ) -> None:
        """A VM asked for tokens, and stated parts that it holds, or that none is."""
        self._vm(vm).heard_at = now
        if vm != self._own:
            self._heard_at = now
        self._set_base(vm, min(1.0, max(0.0, base)))
        if not holds_parts:
            self._forget_all(vm)
        for account, part in parts.items():
            self._set_part(now, account, vm, min(1.0, max(0.0, part)))
            self._accounts[account].holdings[vm].stated_at = now

    def answer(self, now: float, vm: VmId, *, holds_parts: bool) -> None:
        """A VM answered whether it holds any part; if so, it may use it elsewhere."""
        if not holds_parts:
            self.hear(now, vm, {}, holds_parts=False)

    def is_alone(self, now: float) -> bool:
        """Return whether others are in use, and none of them was heard lately."""
        has_others = now - self._had_others_at <= SHARER_RETENTION_S
        return has_others and now - self._heard_at > SILENT_S

    def unheard(self, now: float) -> tuple[VmId, ...]:
        """Return the VMs that may hold parts and have told this one nothing of them."""
        return tuple(vm for vm in self.silent(now) if not self._vms[vm].accounts)

    def give_back(self, now: float, account: AccountId, vm: VmId) -> None:
        """A VM gave up its part of an account; this one keeps it until it is given."""
        part = self._account(now, account).part(vm)
        self.forget(account, vm)
        if self.silent(now):
            own = self._account(now, account).part(self._own)
            self._set_part(now, account, self._own, own + part)

    def forget(self, account: AccountId, vm: VmId) -> None:
        """A VM gave up its part of an account."""
        state = self._accounts.get(account)
        if state is None:
            return
        state.remove(vm)
        if vm in self._vms:
            self._vms[vm].accounts.discard(account)
        if not state.holdings:
            del self._accounts[account]

    def silent(self, now: float) -> tuple[VmId, ...]:
        """Return the VMs that may be using parts by themselves."""
        if not 0.0 <= now - self._silent_at < SILENT_CACHE_S:
            before = frozenset(self._silent)
            self._silent = tuple(
                vm for vm in self._vms if self._is_silent(now, vm, self._vms[vm])
            )
            self._add_overlaps(vm for vm in self._silent if vm not in before)
            if self._silent or now - self._silent_at > SILENT_S:
                self._whole_since = float("inf")
            self._whole_since = min(now, self._whole_since)
            self._silent_at = now
        return self._silent

    def pop_overlaps(self, now: float) -> dict[AccountId, float]:
        """Return the parts of VMs that have fallen silent since the last call.

        They may have used them by themselves for ``SILENT_S``, while this one granted
        of the same parts.
        """
        self.silent(now)
        overlaps, self._overlaps = self._overlaps, {}
        return overlaps

    def available(self, now: float, account: AccountId) -> float:
        """Return the part of an account's rate that no silent VM may be using."""
        silent = self.silent(now)
        if not silent:
            return 1.0
        state = self._accounts.get(account)
        part = self._base_total + (0.0 if state is None else state.total)
        for vm in silent:
            part -= self._vms[vm].base
            part -= 0.0 if state is None else state.part(vm)
        return min(1.0, max(0.0, part))

    def granted(
        self, now: float, account: AccountId, vm: VmId, n_tokens: float
    ) -> float:
        """Tokens were granted to a VM; return the part that it holds from now on.

        A VM that gets less keeps the difference from all others until it has stated
        that it knows.
        """
        state = self._account(now, account)
        state.use(now, vm, n_tokens)
        held = state.part(vm)
        if not self._may_give(now):
            return held
        self._sweep(now, account, state)
        part = self._fair_part(now, state, vm)
        self._set_part(now, account, vm, max(held, part))
        return part

    def base_part(self, now: float, vm: VmId) -> float:
        """Return the part of all rates that a VM holds from now on."""
        state = self._vm(vm)
        if not self._may_give(now):
            return state.base
        target = EQUAL_SHARE / self._n_in_use if state.is_in_use else 0.0
        others = self._base_total - state.base
        part = max(0.0, min(target, EQUAL_SHARE - others))
        self._set_base(vm, max(state.base, part))
        return part

    def _may_give(self, now: float) -> bool:
        """Return whether this one has the whole rates, and has had them for long."""
        return not self.silent(now) and now - self._whole_since >= SETTLED_S

    def _fair_part(self, now: float, state: _Account, vm: VmId) -> float:
        """Return the part for a VM by its use, of what others do not hold."""
        by_use = 1.0 - EQUAL_SHARE
        others = state.total - state.part(vm)
        return max(0.0, min(by_use * state.use_share(now, vm), by_use - others))

    def _set_base(self, vm: VmId, part: float) -> None:
        state = self._vm(vm)
        self._base_total += part - state.base
        state.base = part

    def _add_overlaps(self, vms: Iterable[VmId]) -> None:
        for vm in vms:
            for account in self._vms[vm].accounts:
                part = self._vms[vm].base + self._accounts[account].part(vm)
                self._overlaps[account] = self._overlaps.get(account, 0.0) + part

    def _is_silent(self, now: float, vm: VmId, state: _Vm) -> bool:
        if vm == self._own or now - state.heard_at <= SILENT_S:
            return False
        if state.is_in_use or state.base or self._holds_any(vm, state):
            return True
        was_heard = state.heard_at > float("-inf")
        return not was_heard and now - state.in_use_at <= SHARER_RETENTION_S

    def _holds_any(self, vm: VmId, state: _Vm) -> bool:
        return any(self._accounts[account].part(vm) for account in state.accounts)

    def _is_void(self, now: float, state: _Vm, *, is_known: bool) -> bool:
        is_gone = state.was_known and not is_known
        state.was_known = is_known
        latest = max(state.heard_at, state.in_use_at)
        return is_gone or now - latest > SHARER_RETENTION_S

    def _discard(self, vm: VmId) -> None:
        self._forget_all(vm)
        self._set_base(vm, 0.0)
        del self._vms[vm]
        self._silent = tuple(other for other in self._silent if other != vm)

    def _forget_all(self, vm: VmId) -> None:
        for account in tuple(self._vms[vm].accounts):
            self.forget(account, vm)

    def _sweep(self, now: float, account: AccountId, state: _Account) -> None:
        """Forget the parts that VMs have not stated for long, while all are heard."""
        if now - state.swept_at < SWEEP_INTERVAL_S:
            return
        state.swept_at = now
        for vm, holding in tuple(state.holdings.items()):
            if now - holding.stated_at > HOLDING_TTL_S:
                self.forget(account, vm)

    def _set_part(self, now: float, account: AccountId, vm: VmId, part: float) -> None:
        self._account(now, account).set_part(now, vm, part)
        self._vm(vm).accounts.add(account)

    def _vm(self, vm: VmId) -> _Vm:
        return self._vms.setdefault(vm, _Vm())

    def _account(self, now: float, account: AccountId) -> _Account:
        return self._accounts.setdefault(account, _Account(now))
