"""The four measures, computed from what was recorded from outside."""

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
    """Everything that one deployment's run left; times in seconds from its begin.

    ``greedy`` is the client account that sends over its rate.
    """

    site: str
    n_daemons: int
    n_servers: int
    greedy: str
    begin: float
    duration_s: float
    episodes: tuple[Episode, ...]
    changes: tuple[Change, ...]
    done: tuple[RequestResult, ...]
    broken: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Detection:
    """Seconds until the first and the last daemon kept work from a server.

    None: not within the episode.
    """

    episode: Episode
    first_s: float | None
    all_s: float | None


@dataclass(frozen=True, slots=True)
class AccountShare:
    """How the requests of one client account fared."""

    account: str
    n_asked: int
    n_served: int
    kinds: tuple[tuple[str, int], ...]

    @property
    def share(self) -> float:
        """The fraction that was served."""
        return self.n_served / self.n_asked if self.n_asked else 1.0


def detections(run: Recording) -> list[Detection]:
    """Return how fast each episode was noticed."""
    found = []
    for episode in run.episodes:
        firsts: dict[int, float] = {}
        for change in run.changes:
            within = episode.begin_s <= change.at_s <= episode.end_s
            if within and change.is_out and change.server == episode.server:
                firsts.setdefault(change.daemon, change.at_s - episode.begin_s)
        times = sorted(firsts.values())
        all_s = times[-1] if len(times) == run.n_daemons else None
        found.append(Detection(episode, times[0] if times else None, all_s))
    return found


def false_ejections(run: Recording) -> list[Change]:
    """Return when work was kept from servers that had not failed so far.

    A server counts as failed from the begin of its episode on, because it comes
    back step by step.
    """
    failed_at = {episode.server: episode.begin_s for episode in run.episodes}
    never = run.duration_s + 1.0
    return [
        change
        for change in run.changes
        if change.is_out and change.at_s < failed_at.get(change.server, never)
    ]


def server_days(run: Recording) -> float:
    """Return over how many days, added up over servers, none had failed."""
    lost_s = sum(run.duration_s - episode.begin_s for episode in run.episodes)
    return (run.n_servers * run.duration_s - lost_s) / S_PER_DAY


def shares(run: Recording) -> list[AccountShare]:
    """Return how each client account fared, by name."""
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
    """Return the client account, within its rate, that was served least."""
    within = [item for item in shares(run) if item.account != run.greedy]
    return min(within, key=lambda item: item.share)


def wrongful_refusals(run: Recording) -> tuple[int, int]:
    """Return refusals of requests within their account's rate, and all of those."""
    within = [item for item in run.done if item.account != run.greedy]
    return sum(is_refused(item) for item in within), len(within)


def outcomes_by_second(
    run: Recording, items: Sequence[RequestResult]
) -> list[Counter[str]]:
    """Return served, refused and failed requests for each second of the load."""
    counts: list[Counter[str]] = [Counter() for _ in range(int(run.duration_s) + 1)]
    for item in items:
        second = min(len(counts) - 1, max(0, int(item.at - run.begin)))
        if item.status == 200:
            outcome = "served"
        elif is_refused(item):
            outcome = "refused"
        else:
            outcome = "failed"
        counts[second][outcome] += 1
    return counts
