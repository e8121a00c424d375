"""Checks the invariants of a simulated fleet, and injects random faults."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wagtailpaddle_config import (
    AppendState,
    Applied,
    CancelAccount,
    Change,
    ConfigFold,
    IssueKey,
    PublishBase,
    PutAccount,
    Record,
    RestoreAccount,
    Void,
    WithdrawKey,
    changed_object,
)
from wagtailpaddle_core import AccountId, KeyId, Offset, Registry, ensure
from wagtailpaddle_peer import RecordError, decode_log_record

from wagtailpaddle_standins.fleetworld import SimVm, World

AUDIT_INTERVAL_S = 0.1
FAULT_INTERVAL_RANGE_S = (0.5, 6.0)
SETTLE_S = 120.0


@dataclass(frozen=True, slots=True)
class Accepted:
    """An offset that a VM reported in force, and when."""

    at: float
    offset: Offset


class Auditor:
    """Checks a world periodically; raises ``InvariantError`` on a violation.

    Unlike a VM, it has access to the state of all VMs at once.
    """

    def __init__(self, world: World):
        self.world = world
        self.accepted: list[Accepted] = []
        self.submitted: set[str] = set()
        self.n_fresh_checks = 0
        self._revisions: dict[str, Offset] = {}
        self._seat_offsets: dict[str, Offset] = {}
        self._reference = ConfigFold(site="namur")
        self._step()

    def check(self) -> None:
        """Check the invariants that must hold at any moment."""
        self._record_accepted()
        frontier = self._frontier()
        holder_by_seat: dict[str, str] = {}
        for vm in self.world.vms.values():
            self._check_vm(vm, frontier)
            for seat in vm.member._held.seats:
                other = holder_by_seat.setdefault(seat, vm.id)
                ensure(other == vm.id, "one-voice-per-seat", seat=seat, vm=vm.id)
                previous, offset = self._seat_offsets.get(seat, 0), vm.fold.next_offset
                ensure(offset >= previous, "seat-never-falls", seat=seat, vm=vm.id)
                self._seat_offsets[seat] = offset

    def check_log(self) -> None:
        """Fold the whole log again and compare the state of the VMs with it."""
        self._fold_reference()
        applied = [
            result.record_id
            for result in self._reference._results.all()
            if isinstance(result, Applied)
        ]
        ensure(len(applied) == len(set(applied)), "append-applied-once")
        for vm in self.world.vms.values():
            for record_id in sorted(self.submitted):
                self._check_outcome(vm, record_id)
            if vm.fold.next_offset == self._reference.next_offset:
                same = vm.fold.snapshot_items() == self._reference.snapshot_items()
                ensure(same, "equal-prefix-equal-state", vm=vm.id)

    def _step(self) -> None:
        self.check()
        self.world.clock.at(self.world.clock.now + AUDIT_INTERVAL_S, self._step)

    def _check_vm(self, vm: SimVm, frontier: Offset) -> None:
        revision = vm.fold.next_offset
        before = self._revisions.get(vm.id, 0)
        ensure(revision >= before, "revision-never-falls", vm=vm.id, revision=revision)
        self._revisions[vm.id] = revision
        if vm.member.is_fresh(self.world.clock.now):
            self.n_fresh_checks += 1
            ensure(
                revision >= frontier,
                "fresh-vm-knows-what-was-accepted",
                vm=vm.id,
                revision=revision,
                frontier=frontier,
                now=self.world.clock.now,
            )

    def _record_accepted(self) -> None:
        now = self.world.clock.now
        highest = self.accepted[-1].offset if self.accepted else -1
        for vm in self.world.vms.values():
            offset = vm.member.roster.next_offset - 1
            if offset > highest and vm.member.acceptance(offset).in_force:
                highest = offset
        if not self.accepted or highest > self.accepted[-1].offset:
            self.accepted.append(Accepted(now, highest))

    def _frontier(self) -> Offset:
        """Return the offset up to which each fresh VM must have folded."""
        window_s = next(
            (vm.member.freshness.window_s for vm in self.world.vms.values()), 0.0
        )
        until = self.world.clock.now - window_s
        known = [item.offset for item in self.accepted if item.at < until]
        return max(known, default=-1) + 1

    def _fold_reference(self) -> None:
        for offset in range(self._reference.next_offset, self.world.log.head):
            try:
                record = decode_log_record(self.world.log.records[offset])
            except RecordError:
                record = None
            if isinstance(record, Record):
                self._reference.apply(offset, record)
            else:
                self._reference.skip(offset)

    def _check_outcome(self, vm: SimVm, record_id: str) -> None:
        outcome = vm.tracker.outcome(record_id)
        if outcome is None:
            return
        result = self._reference.result_of(record_id)
        if outcome.state is AppendState.APPLIED:
            ensure(isinstance(result, Applied), "applied-is-applied", id=record_id)
        if outcome.state is AppendState.VOID:
            reported = outcome.result
            ensure(
                isinstance(result, Void)
                and isinstance(reported, Void)
                and (reported.offset, reported.reason)
                == (result.offset, result.reason),
                "void-for-every-reader",
                id=record_id,
            )
        if outcome.state is AppendState.EXPIRED:
            is_applied = isinstance(result, Applied)
            ensure(not is_applied, "expired-never-applies", id=record_id)


Fault = Callable[["FaultInjector"], None]
FAULTS: Registry[Fault] = Registry("fault")
"""Random events in a world, by name."""


EXTRA_DRAWS = (
    *("change",) * 4,
    *("heal", "heal", "log-back", "log-back", "stale-part", "new-vm", "new-vm"),
)
"""Extra entries for the draw, so that these events occur more often."""


class FaultInjector:
    """Injects random faults and changes into a world, determined by a seed."""

    def __init__(self, world: World, auditor: Auditor, *, seed: int):
        self.world = world
        self.auditor = auditor
        self.rng = Random(f"chaos/{seed}")
        self.n_changes = 0
        self.injected: list[tuple[float, str]] = []

    def run(self, n_steps: int) -> None:
        """Inject ``n_steps`` events, heal, wait and check the log."""
        for _ in range(n_steps):
            name = self.rng.choice([*FAULTS.names(), *EXTRA_DRAWS])
            self.injected.append((round(self.world.clock.now, 2), name))
            FAULTS[name](self)
            self.world.run(self.rng.uniform(*FAULT_INTERVAL_RANGE_S))
        self.heal()
        self.world.run(SETTLE_S)
        self.auditor.check_log()

    def heal(self) -> None:
        """End all faults."""
        self.world.net.heal()
        self.world.log.is_up = True
        self.world.log.loss = 0.0

    def random_vm(self) -> SimVm | None:
        """Return a random VM, or None if there is none."""
        vms = [vm for _, vm in sorted(self.world.vms.items())]
        return self.rng.choice(vms) if vms else None

    def random_addresses(self) -> list[str]:
        """Return a random subset of the addresses."""
        addresses = sorted(self.world.vms)
        return self.rng.sample(addresses, self.rng.randint(0, len(addresses)))

    def change(self) -> Change:
        """Return a random change of one of a few accounts and keys."""
        name = AccountId(self.rng.choice(["x", "y", "z"]))
        key = KeyId(f"k{self.rng.randrange(40)}")
        fields = {"rate": self.rng.choice([1.0, 2.0]), "burst": 5.0}
        choices: list[Change] = [
            PutAccount(name, fields),
            PutAccount(name, {"rate": 3.0}),
            IssueKey(key, name, f"hash-{key}"),
            WithdrawKey(key),
            CancelAccount(name),
            RestoreAccount(name),
            PublishBase({"accounts": {name: fields}}),
        ]
        return self.rng.choice(choices)


@FAULTS.register("change")
def _change(injector: FaultInjector) -> None:
    for _ in range(injector.rng.randint(1, 5)):
        vm = injector.random_vm()
        if vm is not None:
            injector.n_changes += 1
            record_id = f"c{injector.n_changes}"
            injector.auditor.submitted.add(record_id)
            change = injector.change()
            expected = None
            if injector.rng.random() < 0.5:
                expected = vm.fold.revision_of(changed_object(change))
            vm.submit(record_id, change, expected=expected)


@FAULTS.register("log-outage")
def _log_outage(injector: FaultInjector) -> None:
    injector.world.log.is_up = False


@FAULTS.register("log-back")
def _log_back(injector: FaultInjector) -> None:
    injector.world.log.is_up = True


@FAULTS.register("lost-answers")
def _lost_answers(injector: FaultInjector) -> None:
    injector.world.log.loss = injector.rng.choice([0.0, 0.3, 1.0])


@FAULTS.register("partition")
def _partition(injector: FaultInjector) -> None:
    side = injector.random_addresses()
    others = [address for address in sorted(injector.world.vms) if address not in side]
    injector.world.net.cut(side, others)
    if injector.rng.random() < 0.5:
        injector.world.net.cut(others, side)


@FAULTS.register("cut-from-log")
def _cut_from_log(injector: FaultInjector) -> None:
    if injector.rng.random() < 0.5:
        injector.world.net.cut(injector.random_addresses(), ["log"])
    else:
        injector.world.net.cut(["log"], injector.random_addresses())


@FAULTS.register("stale-part")
def _stale_part(injector: FaultInjector) -> None:
    """Cut some VMs off from the log and drop records sent between VMs."""
    injector.world.net.cut(["log"], injector.random_addresses())
    injector.world.net.dropped_kinds |= {"RecordsAnswer", "SnapshotAnswer"}


@FAULTS.register("loss")
def _loss(injector: FaultInjector) -> None:
    injector.world.net.loss = injector.rng.choice([0.0, 0.1, 0.4])


@FAULTS.register("heal")
def _heal(injector: FaultInjector) -> None:
    injector.world.net.heal()


@FAULTS.register("pause")
def _pause(injector: FaultInjector) -> None:
    vm = injector.random_vm()
    if vm is not None:
        vm.paused_until = injector.world.clock.now + injector.rng.choice(
            [0.5, 4.0, 25.0]
        )


@FAULTS.register("kill")
def _kill(injector: FaultInjector) -> None:
    vm = injector.random_vm()
    if vm is not None and len(injector.world.vms) > 2:
        injector.world.kill(vm.address)


@FAULTS.register("restart")
def _restart(injector: FaultInjector) -> None:
    vm = injector.random_vm()
    if vm is not None:
        injector.world.kill(vm.address, delist=False)
        injector.world.start(vm.address, vm.member.vm.zone)


@FAULTS.register("new-vm")
def _new_vm(injector: FaultInjector) -> None:
    if len(injector.world.vms) < 9:
        number = len(injector.injected)
        injector.world.start(f"n{number}", f"z{number % 3}")


@FAULTS.register("leave")
def _leave(injector: FaultInjector) -> None:
    vm = injector.random_vm()
    if vm is not None and len(injector.world.vms) > 2:
        vm.leave()
