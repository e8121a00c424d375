"""Compares the choosers, also when one server reports a false load."""

from collections.abc import Iterator

from wagtailpaddle_core import ServerId
from wagtailpaddle_routing import CHOOSERS

from wagtailpaddle_standins.measure.fairness import Load, Traffic
from wagtailpaddle_standins.measure.registry import MEASURES
from wagtailpaddle_standins.measure.servermodel import Model

N_VMS = 36
N_SERVERS = 12
RUN_S = 4.0
MISREPORTING_SERVER = ServerId("server-0")
UTILIZATIONS = (0.3, 0.7)
REPORTED_LOADS: dict[str, float | None] = {
    "true": None,
    "always 0": 0.0,
    "always 1": 1.0,
}


@MEASURES.register("choice")
def choice(seed: int) -> Iterator[str]:
    """Yield one line for each chooser, load and report of one server.

    ``near`` is the share of attempts in the VM's own zone. ``liar`` is the number
    of requests that the server with the false report served, relative to an
    equal share.
    """
    yield (
        f"{'chooser':12} {'use':>4} {'report':9} {'p50 ms':>7} {'p99 ms':>7} "
        f"{'shed':>6} {'near':>5} {'liar':>5}"
    )
    for chooser in CHOOSERS.names():
        for use in UTILIZATIONS:
            for report, reported_load in REPORTED_LOADS.items():
                yield f"{chooser:12} {use:4.1f} {report:9} " + run(
                    chooser, use, reported_load, seed
                )


def run(chooser: str, use: float, reported_load: float | None, seed: int) -> str:
    """Run one simulation and return its columns of the table."""
    model = Model(
        n_vms=N_VMS, n_servers=N_SERVERS, seed=seed, options={"chooser": chooser}
    )
    model.servers[MISREPORTING_SERVER].report = reported_load
    Traffic(model, Load(use=use), N_SERVERS * 4)
    model.clock.run(RUN_S)
    latencies_s = sorted(
        value for tally in model.tallies.values() for value in tally.latencies_s
    )
    n_served = [server.n_served for server in model.servers.values()]
    n_shed = sum(server.n_shed for server in model.servers.values())
    near = model.n_same_zone / (model.n_same_zone + model.n_cross_zone)
    liar = model.servers[MISREPORTING_SERVER].n_served * len(n_served) / sum(n_served)
    return (
        f"{latencies_s[len(latencies_s) // 2] * 1000:7.1f} "
        f"{latencies_s[len(latencies_s) * 99 // 100] * 1000:7.1f} "
        f"{n_shed / len(latencies_s):6.3f} {near:5.2f} {liar:5.2f}"
    )
