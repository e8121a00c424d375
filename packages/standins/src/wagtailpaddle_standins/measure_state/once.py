"""Measurements of at-most-once claims."""

from collections import Counter

import msgspec
from wagtailpaddle_once import OnceAction, OnceMessage, Reject, Run, SendPeer

from wagtailpaddle_standins.fakes.fabric import NetworkFaults
from wagtailpaddle_standins.fakes.once_fleet import Instance, OnceFleet
from wagtailpaddle_standins.measure_state.registry import MEASURES, Figure

N_CLAIMS = 300
CLAIM_GAP_S = 0.01
NETWORK_FAULTS = NetworkFaults(delay_s=0.0015)


class CountingFleet(OnceFleet):
    """Counts messages and bytes by kind, and the time from a request to its run."""

    def __init__(self, seed: int, n_vms: int):
        self.counts: Counter[str] = Counter()
        self.n_bytes: Counter[str] = Counter()
        self.started: dict[str, float] = {}
        self.claim_s: list[float] = []
        super().__init__(
            seed, n_vms=n_vms, n_partitions=256, network_faults=NETWORK_FAULTS
        )

    def _act(self, instance: Instance, actions: tuple[OnceAction, ...], *rest) -> None:  # type: ignore[no-untyped-def]
        for action in actions:
            if isinstance(action, SendPeer):
                self._count(action.message)
            elif isinstance(action, Run):
                since = self.started.get(action.request, self.fabric.now)
                self.claim_s.append(self.fabric.now - since)
        super()._act(instance, actions, *rest)

    def _count(self, message: OnceMessage) -> None:
        name = type(message).__name__
        self.counts[name] += 1
        self.n_bytes[name] += len(msgspec.msgpack.encode(message))


def run_claims(fleet: CountingFleet, n_claims: int) -> None:
    """Send requests, each with its own key, and wait until they have ended."""
    for number in range(n_claims):
        place = fleet.rng.choice(fleet.places)
        request = fleet.request(place, f"key-{number:08}", "f" * 32)
        fleet.started[request] = fleet.fabric.now
        fleet.fabric.run_until(fleet.fabric.now + CLAIM_GAP_S)
    fleet.fabric.run_until(fleet.fabric.now + 4.0)


@MEASURES.register("once-claims")
def measure_claims(seed: int) -> tuple[Figure, ...]:
    """Measure messages, bytes and time of a claim by number of VMs."""
    figures = []
    for n_vms in (9, 18, 36):
        fleet = CountingFleet(seed, n_vms)
        fleet.fabric.run_until(1.0)
        run_claims(fleet, N_CLAIMS)
        n_messages = sum(fleet.counts.values()) / N_CLAIMS
        n_bytes = sum(fleet.n_bytes.values()) / N_CLAIMS
        times = sorted(fleet.claim_s)
        label = f"{n_vms} VMs"
        figures += [
            Figure(f"{label}: calls of a claim, placing and storing", n_messages, ""),
            Figure(f"{label}: request bytes of these calls (msgpack)", n_bytes, "B"),
            Figure(f"{label}: time to Run, p50", 1e3 * times[len(times) // 2], "ms"),
            Figure(f"{label}: time to Run, p99", 1e3 * times[-len(times) // 100], "ms"),
        ]
    return tuple(figures)


@MEASURES.register("once-replacement")
def measure_replacement(seed: int) -> tuple[Figure, ...]:
    """Measure the cost of replacing a VM, and retries after all were replaced."""
    figures = []
    for n_vms in (9, 18, 36):
        fleet = CountingFleet(seed, n_vms)
        run_claims(fleet, N_CLAIMS)
        fleet.counts.clear()
        fleet.n_bytes.clear()
        fleet.replace(fleet.places[0])
        fleet.fabric.run_until(fleet.fabric.now + 8.0)
        n_calls = sum(fleet.counts.values())
        size = sum(fleet.n_bytes.values())
        figures += [
            Figure(f"{n_vms} VMs: calls after a replacement", n_calls, ""),
            Figure(f"{n_vms} VMs: request bytes of these calls (msgpack)", size, "B"),
        ]
    return (*figures, *_replace_all(seed))


def _replace_all(seed: int) -> tuple[Figure, ...]:
    fleet = CountingFleet(seed, 9)
    run_claims(fleet, N_CLAIMS)
    for place in fleet.places:
        fleet.replace(place)
        fleet.fabric.run_until(fleet.fabric.now + 6.0)
    run_keys = [key for key, n_runs in fleet.audit.runs.items() if n_runs]
    before = len(fleet.requests)
    for key in run_keys:
        fleet.request(fleet.rng.choice(fleet.places), key, "f" * 32)
    fleet.fabric.run_until(fleet.fabric.now + 5.0)
    retries = list(fleet.requests.values())[before:]
    refused = sum(
        isinstance(item.outcome, Reject)
        and item.outcome.kind.value == "idempotency-unavailable"
        for item in retries
    )
    ran_twice = sum(n_runs > 1 for n_runs in fleet.audit.runs.values())
    return (
        Figure("9 VMs all replaced: keys that ran twice", ran_twice, "", 0.0),
        Figure("9 VMs all replaced: repeats without a majority", refused, "", 0.0),
    )
