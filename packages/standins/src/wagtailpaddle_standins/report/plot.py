"""Plots the report, with one column for each deployment."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from wagtailpaddle_standins.report.measures import (  # noqa: E402
    Recording,
    false_ejections,
    outcomes_by_second,
    shares,
)
from wagtailpaddle_standins.report.text import US_PER_MS, histogram_of  # noqa: E402

WIDTH_INCHES = 8.0
HEIGHT_INCHES = 12.0
DPI = 110
TICKS_PER_HALVING = 5
LEGEND_ROOM = 1.15
COLORS = {"served": "#4c956c", "refused": "#e9a03b", "failed": "#c0392b"}
NINES = (0.0, 50.0, 90.0, 99.0, 99.9)


def plot(runs: Sequence[Recording], path: Path) -> None:
    """Write the plot of all runs to a PNG file."""
    figure, axes = pyplot.subplots(
        3,
        len(runs),
        figsize=(WIDTH_INCHES * len(runs), HEIGHT_INCHES),
        squeeze=False,
        layout="constrained",
    )
    for column, run in enumerate(runs):
        plot_outcomes(axes[0][column], run)
        plot_states(axes[1][column], run)
        plot_latency(axes[2][column], run)
    figure.savefig(path, dpi=DPI)
    pyplot.close(figure)


def plot_outcomes(axis: Any, run: Recording) -> None:
    """Plot the outcomes of the requests within their rates, by second."""
    within = [item for item in run.done if item.account != run.greedy]
    counts = outcomes_by_second(run, within)
    seconds = range(len(counts))
    series = [[count[name] for count in counts] for name in COLORS]
    axis.stackplot(seconds, series, labels=list(COLORS), colors=COLORS.values())
    _mark_episodes(axis, run)
    axis.set(title=f"{run.site}: requests within their rates", ylabel="requests/s")
    axis.set_ylim(0, LEGEND_ROOM * max(axis.get_ylim()))
    axis.legend(loc="upper right", ncols=len(COLORS))


def plot_states(axis: Any, run: Recording) -> None:
    """Plot when each daemon ejected or avoided which server."""
    episodes = {episode.server: episode for episode in run.episodes}
    falsely_excluded = {change.server for change in false_ejections(run)}
    names = [*episodes, *sorted(falsely_excluded - episodes.keys())]
    for row, server in enumerate(names):
        if server in episodes:
            episode = episodes[server]
            axis.barh(
                row,
                episode.end_s - episode.begin_s,
                left=episode.begin_s,
                height=0.9,
                color="#dddddd",
            )
        for daemon in range(run.n_daemons):
            offset = 0.25 * (daemon - (run.n_daemons - 1) / 2)
            for begin, end in exclusion_spans(run, server, daemon):
                axis.hlines(row + offset, begin, end, colors=f"C{daemon}", linewidth=4)
    labels = [
        f"{server}\n{episodes[server].kind.name}" if server in episodes else server
        for server in names
    ]
    axis.set_yticks(range(len(names)), labels, fontsize=8)
    axis.set(
        title="failing (gray) and kept from work (a line for each daemon)",
        xlim=(0, run.duration_s),
    )
    axis.invert_yaxis()


def exclusion_spans(
    run: Recording, server: str, daemon: int
) -> list[tuple[float, float]]:
    """Return the time spans in which a daemon ejected or avoided a server."""
    spans = []
    begin: float | None = None
    for change in run.changes:
        if (change.server, change.daemon) != (server, daemon):
            continue
        if change.is_excluded:
            begin = change.at_s
        elif begin is not None:
            spans.append((begin, change.at_s))
            begin = None
    if begin is not None:
        spans.append((begin, run.duration_s))
    return spans


def plot_latency(axis: Any, run: Recording) -> None:
    """Plot the latency of served requests by client account."""
    for item in shares(run):
        if not item.n_served:
            continue
        inverses, latencies_ms = percentile_curve(run, item.account)
        over = " (over its rate)" if item.account == run.greedy else ""
        axis.plot(inverses, latencies_ms, label=item.account + over)
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xticks(
        [1 / (1 - nine / 100) for nine in NINES], [f"{nine:g} %" for nine in NINES]
    )
    axis.minorticks_off()
    axis.set(title="latency of served requests", xlabel="percentile", ylabel="ms")
    axis.grid(alpha=0.3)
    axis.legend(fontsize=8)


def percentile_curve(run: Recording, account: str) -> tuple[list[float], list[float]]:
    """Return 1/(1 - p) and the latency in ms at the percentiles p of an account."""
    inverses = []
    latencies_ms = []
    # The iterator yields the same object each time and changes it.
    for step in histogram_of(run, account).get_percentile_iterator(TICKS_PER_HALVING):
        if step.percentile_level_iterated_to < 100:
            inverses.append(1 / (1 - step.percentile_level_iterated_to / 100))
            latencies_ms.append(step.value_iterated_to / US_PER_MS)
    return inverses, latencies_ms


def _mark_episodes(axis: Any, run: Recording) -> None:
    for episode in run.episodes:
        axis.axvspan(episode.begin_s, episode.end_s, color="#000000", alpha=0.08)
        axis.text(
            episode.begin_s, 2, episode.kind.name, rotation=90, fontsize=7, va="bottom"
        )
    axis.set_xlim(0, run.duration_s)
