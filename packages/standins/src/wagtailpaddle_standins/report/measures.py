"""The four measures, computed from the recording of a run."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from wagtailpaddle_standins.checks import is_refused
from wagtailpaddle_standins.load import RequestResult
from wagtailpaddle_standins.report.episodes import Episode
from wagtailpaddle_standins.report.watch import Change

S_PER_DAY = 86400.0


@dataclass(frozen=True, slots=True)
class Recording:
    """Recording of one deployment's run; times in seconds from its start.

    ``greedy`` is the client account that exceeds its rate.
    """

    site: str
    n_daemons: int
    n_servers: int
    greedy: str
    started_at: float
    duration_s: float
    episodes: tuple[Episode, ...]
    changes: tuple[Change, ...]
    done: tuple[RequestResult, ...]
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Detection:
    """Seconds until the first and the last daemon ejected or avoided a server.

    None if it did not happen within the episode.
    """

    episode: Episode
    first_s: float | None
    all_s: float | None


@dataclass(frozen=True, slots=True)
class AccountShare:
    """Outcomes of the requests of one client account."""

    account: str
    n_sent: int
    n_served: int
    kinds: tuple[tuple[str, int], ...]

    @property
    def share(self) -> float:
        """The fraction of the requests that were served."""
        return self.n_served / self.n_sent if self.n_sent else 1.0


def detections(run: Recording) -> list[Detection]:
    """Return the time to detection of each episode."""
    found = []
    for episode in run.episodes:
        firsts: dict[int, float] = {}
        for change in run.changes:
            within = episode.begin_s <= change.at_s <= episode.end_s
            if within and change.is_excluded and change.server == episode.server:
                firsts.setdefault(change.daemon, change.at_s - episode.begin_s)
        times = sorted(firsts.values())
        all_s = times[-1] if len(times) == run.n_daemons else None
        found.append(Detection(episode, times[0] if times else None, all_s))
    return found


def false_ejections(run: Recording) -> list[Change]:
    """Return the ejections and avoidances of servers that had not failed before.

    A server counts as failed from the start of its episode to the end of the run,
    because it returns to full weight step by step.
    """
    failed_at = {episode.server: episode.begin_s for episode in run.episodes}
    never = run.duration_s + 1.0
    return [
        change
        for change in run.changes
        if change.is_excluded and change.at_s < failed_at.get(change.server, never)
    ]


def server_days(run: Recording) -> float:
    """Return the server-days in which servers had not failed yet."""
    lost_s = sum(run.duration_s - episode.begin_s for episode in run.episodes)
    return (run.n_servers * run.duration_s - lost_s) / S_PER_DAY


def shares(run: Recording) -> list[AccountShare]:
    """Return the outcomes of each client account, in order of name."""
    by_account: dict[str, list[RequestResult]] = defaultdict(list)
    for item in run.done:
        by_account[item.account].append(item)
    return [
        AccountShare(
            account,
            len(items),
            sum(item.status == 200 for item in items),
            tuple(
                Counter(item.kind for item in items if item.status != 200).most_common()
            ),
        )
        for account, items in sorted(by_account.items())
    ]


def worst_served(run: Recording) -> AccountShare:
    """Return the client account within its rate that has the lowest share served."""
    within = [item for item in shares(run) if item.account != run.greedy]
    return min(within, key=lambda item: item.share)


def wrongful_refusals(run: Recording) -> tuple[int, int]:
    """Return the number of refused in-rate requests, and of all in-rate requests."""
    within = [item for item in run.done if item.account != run.greedy]
    return sum(is_refused(item) for item in within), len(within)


def outcomes_by_second(
    run: Recording, items: Sequence[RequestResult]
) -> list[Counter[str]]:
    """Return served, refused and failed requests for each second of the load."""
    counts: list[Counter[str]] = [Counter() for _ in range(int(run.duration_s) + 1)]
    for item in items:
        second = min(len(counts) - 1, max(0, int(item.at - run.started_at)))
        if item.status == 200:
            outcome = "served"
        elif is_refused(item):
            outcome = "refused"
        else:
            outcome = "failed"
        counts[second][outcome] += 1
    return counts
