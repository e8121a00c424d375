"""Measurements of configuration and membership in a simulated fleet."""

import tracemalloc
from collections.abc import Callable, Iterable
from statistics import linear_regression, quantiles
from time import perf_counter

from wagtailpaddle_config import (
    Change,
    ConfigFold,
    IssueKey,
    PublishBase,
    PutAccount,
    Record,
    WithdrawKey,
    split_snapshot,
)
from wagtailpaddle_core import AccountId, KeyId
from wagtailpaddle_peer import encode_log_record

from wagtailpaddle_standins.fleetworld import SimVm, World
from wagtailpaddle_standins.measure_state.registry import MEASURES, Figure

N_VMS = 36
N_CHANGES = 60
STEP_S = 0.05
MAX_WAIT_S = 120.0
IN_FORCE_TARGET_S = 5.0
CONTROL_TARGET_BYTES = 3_000.0
VM_SIZES = (12, 24, 36)
CHANGE_RATES = (0.0, 0.5, 2.0)
ACCOUNT_SIZES = (2_400, 9_600, 24_000)
N_APPLIED = 1_000
FIELDS = {"rate": 5.0, "burst": 9.0}


@MEASURES.register("fleet-change")
def measure_change(seed: int) -> tuple[Figure, ...]:
    """Measure the time until a change, or a withdrawn key, is in force on all VMs."""
    world = _started(seed, N_VMS)
    in_force: list[float] = []
    accepted: list[float] = []
    withdrawn: list[float] = []
    account = AccountId("x")
    for number in range(N_CHANGES):
        key = KeyId(f"k{number}")
        vm = world.vms[f"v{number % N_VMS}"]
        for change in (
            PutAccount(account, FIELDS),
            IssueKey(key, account, f"hash-{number}"),
        ):
            in_force.append(_publish_s(world, vm, change))
            accepted.append(in_force[-1] + _acceptance_s(world, vm))
        withdrawn.append(_publish_s(world, vm, WithdrawKey(key)))
    return (
        *_quantile_figures("change in force on all VMs", in_force, IN_FORCE_TARGET_S),
        *_quantile_figures("change reported as in force", accepted, IN_FORCE_TARGET_S),
        *_quantile_figures("key refused by all VMs", withdrawn, IN_FORCE_TARGET_S),
    )


@MEASURES.register("fleet-recovery")
def measure_recovery(seed: int) -> tuple[Figure, ...]:
    """Measure the time to recover from faults that affect many VMs."""
    figures = [Figure("start of all VMs, until seats are settled", _start_s(seed), "s")]
    world = _started(seed, N_VMS)
    world.log.is_up = False
    min_share = _min_fresh_share(world, 20.0)
    figures.append(
        Figure("log outage: least share of VMs that serve", min_share, "of 1")
    )
    world.log.is_up = True
    waited = _wait(world, lambda: _all_follow_log(world))
    figures.append(Figure("log back, until all VMs read it", waited, "s"))
    world.kill("v0", delist=False)
    world.start("v0", "z0")
    figures.append(Figure("one VM restarted, until it serves", _ready_s(world), "s"))
    for index in range(N_VMS // 3):
        world.kill(f"v{index}")
        world.start(f"n{index}", f"z{index % 3}")
    name = "a third of the VMs replaced at once, until all serve"
    figures.append(Figure(name, _ready_s(world), "s"))
    waited = _wait(world, lambda: _seats_match_vms(world))
    figures.append(Figure("then, until the seats are those of the VMs", waited, "s"))
    return tuple(figures)


@MEASURES.register("fleet-control")
def measure_control(seed: int) -> tuple[Figure, ...]:
    """Measure control messages and bytes, as slopes over VMs and changes.

    Bytes are those of the messages encoded as msgpack, without headers.
    """
    figures = []
    for title, is_up in (("log up", True), ("log outage", False)):
        rates = [_control_rates(seed, n_vms, is_up, 0.0) for n_vms in VM_SIZES]
        target = CONTROL_TARGET_BYTES
        for n_vms, (n_messages, n_bytes) in zip(VM_SIZES, rates, strict=True):
            label = f"{title}, {n_vms} VMs: peer"
            figures.append(Figure(f"{label} messages/s of a VM", n_messages, "1/s"))
            figures.append(Figure(f"{label} bytes/s of a VM", n_bytes, "B/s", target))
        slope = linear_regression(VM_SIZES, [rate[1] for rate in rates]).slope
        figures.append(Figure(f"{title}: slope over VMs", slope, "B/s per VM"))
    rates = [_control_rates(seed, VM_SIZES[0], True, rate) for rate in CHANGE_RATES]
    slope = linear_regression(CHANGE_RATES, [rate[1] for rate in rates]).slope
    name = f"log up, {VM_SIZES[0]} VMs: slope over changes"
    figures.append(Figure(name, slope, "B per change and VM"))
    return tuple(figures)


@MEASURES.register("config-apply")
def measure_apply(seed: int) -> tuple[Figure, ...]:
    """Measure processor time and memory of a configuration by accounts and routes."""
    figures = []
    for n_accounts in ACCOUNT_SIZES:
        fold = ConfigFold(site="namur")
        publish_s = _apply_s(
            fold, [PublishBase(_document(n_accounts, n_accounts // 7))]
        )
        stride = n_accounts // N_APPLIED
        puts: list[Change] = [
            PutAccount(AccountId(f"a{index * stride}"), {"rate": 6.0})
            for index in range(N_APPLIED)
        ]
        put_s = _apply_s(fold, puts) / N_APPLIED
        size = f"{n_accounts} accounts"
        figures.append(Figure(f"{size}: publish the base", publish_s, "s"))
        figures.append(Figure(f"{size}: put one account", put_s * 1e6, "us"))
    for kind in ("client account", "route"):
        sizes = [n // 8 for n in ACCOUNT_SIZES]
        costs = [_state_bytes(n, kind) for n in sizes]
        memory = linear_regression(sizes, [cost[0] for cost in costs]).slope
        snapshot = linear_regression(sizes, [cost[1] for cost in costs]).slope
        figures.append(Figure(f"memory of a {kind}", memory, "B"))
        figures.append(Figure(f"snapshot of a {kind}", snapshot, "B"))
    return tuple(figures)


def _started(seed: int, n_vms: int) -> World:
    world = World(seed=seed)
    world.start_fleet(n_vms)
    world.run(15.0)
    return world


def _start_s(seed: int) -> float:
    world = World(seed=seed)
    world.start_fleet(N_VMS)
    return _wait(world, lambda: _seats_match_vms(world) and _all_ready(world))


def _wait(world: World, is_done: Callable[[], bool]) -> float:
    """Run until ``is_done`` and return the seconds, at most ``MAX_WAIT_S``."""
    started_at = world.clock.now
    while not is_done() and world.clock.now - started_at < MAX_WAIT_S:
        world.run(STEP_S)
    return world.clock.now - started_at


def _publish_s(world: World, vm: SimVm, change: Change) -> float:
    """Return the seconds until all VMs have applied a change."""
    record_id = f"r{vm.fold.next_offset}"
    vm.submit(record_id, change)
    return _wait(world, lambda: _is_applied(world, record_id))


def _acceptance_s(world: World, vm: SimVm) -> float:
    return _wait(world, lambda: _is_accepted(vm))


def _is_applied(world: World, record_id: str) -> bool:
    return all(vm.fold.result_of(record_id) for vm in world.vms.values())


def _is_accepted(vm: SimVm) -> bool:
    return vm.member.acceptance(vm.fold.next_offset - 1).in_force


def _all_ready(world: World) -> bool:
    return all(vm.member.is_fresh(world.clock.now) for vm in world.vms.values())


def _ready_s(world: World) -> float:
    return _wait(world, lambda: _all_ready(world))


def _all_follow_log(world: World) -> bool:
    now = world.clock.now
    return all(
        now - vm.member.freshness.log_confirmed_at < 1.0 for vm in world.vms.values()
    )


def _seats_match_vms(world: World) -> bool:
    alive = {vm.id for vm in world.vms.values()}
    return all(
        vm.member.roster.unsettled_change is None
        and {seat.vm.id for seat in vm.member.roster.seats.values()} == alive
        for vm in world.vms.values()
    )


def _min_fresh_share(world: World, seconds: float) -> float:
    min_share = 1.0
    until = world.clock.now + seconds
    while world.clock.now < until:
        world.run(STEP_S * 2)
        now = world.clock.now
        n_fresh = sum(vm.member.is_fresh(now) for vm in world.vms.values())
        min_share = min(min_share, n_fresh / len(world.vms))
    return min_share


def _control_rates(
    seed: int, n_vms: int, is_up: bool, changes_per_s: float
) -> tuple[float, float]:
    """Return the peer messages and bytes per second, sent and received, of a VM."""
    world = _started(seed, n_vms)
    world.log.is_up = is_up
    world.run(5.0)
    seconds = 10
    kinds = world.net.traffic
    before = _peer_totals(kinds.n_messages), _peer_totals(kinds.n_bytes)
    n_submitted = 0
    for second in range(seconds):
        while n_submitted < (second + 1) * changes_per_s:
            vm = world.vms[f"v{n_submitted % n_vms}"]
            vm.submit(f"c{n_submitted}", PutAccount(AccountId("x"), FIELDS))
            n_submitted += 1
        world.run(1.0)
    after = _peer_totals(kinds.n_messages), _peer_totals(kinds.n_bytes)
    per_vm = 2 / (n_vms * seconds)
    return (after[0] - before[0]) * per_vm, (after[1] - before[1]) * per_vm


def _peer_totals(counts: dict[str, int]) -> int:
    log_kinds = {"int", "list", "bytes"}
    return sum(n for kind, n in counts.items() if kind not in log_kinds)


def _document(n_accounts: int, n_routes: int) -> dict[str, dict[str, object]]:
    return {
        "accounts": {f"a{index}": dict(FIELDS) for index in range(n_accounts)},
        "services": {"s": {}},
        "routes": {
            f"r{index}": {"service": "s", "path": f"/{index}"}
            for index in range(n_routes)
        },
    }


def _apply_s(fold: ConfigFold, changes: Iterable[Change]) -> float:
    started_at = perf_counter()
    for change in changes:
        offset = fold.next_offset
        fold.apply(offset, Record(f"r{offset}", "op", 0.0, None, change))
    return perf_counter() - started_at


def _state_bytes(n_objects: int, kind: str) -> tuple[int, int]:
    """Return the bytes of a fold in memory and of its snapshot in the log."""
    counts = (n_objects, 0) if kind == "client account" else (0, n_objects)
    tracemalloc.start()
    fold = ConfigFold(site="namur")
    _apply_s(fold, [PublishBase(_document(*counts))])
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    chunks = split_snapshot(1, fold.snapshot_items(), writer="w", at=0.0)
    return n_bytes, sum(len(encode_log_record(chunk)) for chunk in chunks)


def _quantile_figures(
    name: str, values: list[float], target: float
) -> tuple[Figure, ...]:
    cuts = quantiles(values, n=100, method="inclusive")
    return (
        Figure(f"{name}: median", cuts[49], "s"),
        Figure(f"{name}: p99", cuts[98], "s", target),
        Figure(f"{name}: worst", max(values), "s", target),
    )
