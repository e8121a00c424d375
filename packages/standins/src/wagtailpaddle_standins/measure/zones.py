"""Compares when requests leave their zone: by load steps, by room, and by shares."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from wagtailpaddle_core import AccountId, RequestId, ServerId
from wagtailpaddle_routing import Job

from wagtailpaddle_standins.measure.registry import MEASURES
from wagtailpaddle_standins.measure.servermodel import (
    CROSS_ZONE_DELAY_S,
    SAME_ZONE_DELAY_S,
    SERVICE,
    Model,
    ModelVm,
    Tally,
)

N_VMS = 36
N_SERVERS = 24
N_ZONES = 3
N_SLOTS = 2
MEAN_SERVICE_S = 0.05
TIMEOUT_S = 3.0
RUN_S = 12.0
DRAIN_S = 3.5
WINDOW_S = 0.5
SETTLED_AT_S = 6.0
"""From here on the swing of the share across zones is measured."""

CHANGE_AT_S = 2.0
BURST_S = 2.0
IDEMPOTENT_SHARE = 0.7

PLATFORM: dict[str, Any] = {
    "queue": "ranked",
    "reserved": 0.0,
    "charge_shed": True,
    "crossing_s": 2 * (CROSS_ZONE_DELAY_S - SAME_ZONE_DELAY_S),
}
VARIANTS: dict[str, dict[str, Any]] = {
    "load steps": {"picker": "freshest", **PLATFORM},
    "by room": {"picker": "zone-first", **PLATFORM},
    "shares": {"picker": "zone-shares", **PLATFORM},
}


@dataclass(frozen=True, slots=True)
class Load:
    """Use of the slots of the first zone and of the others, by their own callers.

    ``n_lost`` servers of the first zone stop at ``CHANGE_AT_S``, and for ``BURST_S``
    from then on its callers send ``burst`` times as much.
    """

    first: float
    others: float
    n_lost: int = 0
    burst: float = 1.0


LOADS = {
    "calm": Load(0.3, 0.3),
    "busy": Load(0.6, 0.6),
    "one zone at twice": Load(2.0, 0.25),
    "servers gone": Load(0.4, 0.4, n_lost=6),
    "all overloaded": Load(1.3, 1.3),
    "burst": Load(0.5, 0.3, burst=4.0),
}


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of one run.

    ``swing`` is the mean change of the share across zones from one window to the
    next, among the first zone's attempts once they have settled.
    """

    p50_s: float
    p99_s: float
    others_p99_s: float
    refused: float
    unknown: float
    across: float
    first_across: float
    swing: float
    shed: float


class ZoneModel(Model):
    """A fleet that counts the first zone's attempts, and those across, by window."""

    def __init__(self, *, seed: int, options: dict[str, Any]):
        self.windows: dict[int, list[int]] = {}
        super().__init__(
            n_vms=N_VMS,
            n_servers=N_SERVERS,
            n_zones=N_ZONES,
            n_slots=N_SLOTS,
            seed=seed,
            options=options,
        )

    def record_dispatch(self, vm: ModelVm, server: Any) -> None:
        """Count an attempt."""
        super().record_dispatch(vm, server)
        if vm.zone == self.vms[0].zone:
            counts = self.windows.setdefault(int(self.clock.now / WINDOW_S), [0, 0])
            counts[vm.zone != server.zone] += 1

    def across(self, start_at: float = 0.0) -> list[float]:
        """Return the first zone's share across zones in each window from then on."""
        return [
            n_across / (n_near + n_across)
            for window, (n_near, n_across) in sorted(self.windows.items())
            if start_at <= window * WINDOW_S < RUN_S
        ]


class Traffic:
    """Poisson arrivals at the VMs of each zone."""

    def __init__(self, model: ZoneModel, load: Load):
        self._model = model
        self._load = load
        self._n_sent = 0
        for zone in range(N_ZONES):
            model.tallies[f"zone-{zone}"] = Tally()
            self._schedule(zone)

    def _per_s(self, zone: int) -> float:
        capacity = N_SERVERS / N_ZONES * N_SLOTS / MEAN_SERVICE_S
        if zone:
            return capacity * self._load.others
        in_burst = 0.0 <= self._model.clock.now - CHANGE_AT_S < BURST_S
        return capacity * self._load.first * (self._load.burst if in_burst else 1.0)

    def _schedule(self, zone: int) -> None:
        model = self._model
        at = model.clock.now + model.random.expovariate(self._per_s(zone))
        if at < RUN_S:
            model.clock.at(at, self._send, zone)

    def _send(self, zone: int) -> None:
        model, now = self._model, self._model.clock.now
        self._n_sent += 1
        account = AccountId(f"zone-{zone}")
        model.tallies[account].n_sent += 1
        name = RequestId(str(self._n_sent))
        idempotent = model.random.random() < IDEMPOTENT_SHARE
        job = Job(name, account, SERVICE, idempotent, now, now + TIMEOUT_S)
        vm = model.vms[zone + N_ZONES * model.random.randrange(N_VMS // N_ZONES)]
        vm.arrive(job, model.random.expovariate(1 / MEAN_SERVICE_S))
        self._schedule(zone)


def run(load: Load, options: dict[str, Any], seed: int) -> Outcome:
    """Simulate one load with one variant."""
    model = ZoneModel(seed=seed, options=options)
    Traffic(model, load)
    if load.n_lost:
        lost = [ServerId(f"server-{N_ZONES * n}") for n in range(load.n_lost)]
        model.clock.at(CHANGE_AT_S, model.set_weights, dict.fromkeys(lost, 0.0))
    model.clock.run(RUN_S + DRAIN_S)
    return _outcome(model)


def _outcome(model: ZoneModel) -> Outcome:
    tallies = list(model.tallies.values())
    all_s = sorted(value for tally in tallies for value in tally.latencies_s)
    others_s = sorted(value for tally in tallies[1:] for value in tally.latencies_s)
    n_sent = sum(tally.n_sent for tally in tallies)
    settled = model.across(SETTLED_AT_S)
    changes = [abs(b - a) for a, b in zip(settled, settled[1:], strict=False)]
    first = model.across(CHANGE_AT_S)
    n_attempts = model.n_same_zone + model.n_cross_zone
    return Outcome(
        p50_s=all_s[len(all_s) // 2],
        p99_s=all_s[len(all_s) * 99 // 100],
        others_p99_s=others_s[len(others_s) * 99 // 100],
        refused=sum(tally.n_refused for tally in tallies) / n_sent,
        unknown=sum(tally.n_unknown for tally in tallies) / n_sent,
        across=model.n_cross_zone / n_attempts,
        first_across=sum(first) / len(first),
        swing=sum(changes) / len(changes),
        shed=sum(server.n_shed for server in model.servers.values()) / n_sent,
    )


@MEASURES.register("zones")
def zones(seed: int) -> Iterator[str]:
    """Yield one line for each load and variant.

    ``others`` is the p99 of callers in the zones that lend, ``across`` the share of
    all attempts that cross zones and ``first`` that of the first zone from 2 s on.
    ``shed`` is the number of shed attempts per request.
    """
    yield (
        f"{'load':17} {'variant':10} {'p50 ms':>7} {'p99 ms':>7} {'others':>7} "
        f"{'refused':>7} {'unknown':>7} {'across':>6} {'first':>6} {'swing':>6} "
        f"{'shed':>5}"
    )
    for name, load in LOADS.items():
        for variant, options in VARIANTS.items():
            got = run(load, options, seed)
            yield (
                f"{name:17} {variant:10} {got.p50_s * 1000:7.1f} "
                f"{got.p99_s * 1000:7.1f} {got.others_p99_s * 1000:7.1f} "
                f"{got.refused:7.4f} {got.unknown:7.4f} {got.across:6.3f} "
                f"{got.first_across:6.3f} {got.swing:6.3f} {got.shed:5.2f}"
            )
