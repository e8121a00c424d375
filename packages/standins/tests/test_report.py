"""The measures of a report, from a recording with known answers."""

import pytest
from wagtailpaddle_standins.deployments import read_example
from wagtailpaddle_standins.load import RequestResult
from wagtailpaddle_standins.report.episodes import (
    FAULT_KINDS,
    Episode,
    plan_episodes,
    steps,
)
from wagtailpaddle_standins.report.measures import (
    Recording,
    detections,
    false_ejections,
    outcomes_by_second,
    worst_served,
    wrongful_refusals,
)
from wagtailpaddle_standins.report.plot import plot
from wagtailpaddle_standins.report.text import format_report, write_histograms
from wagtailpaddle_standins.report.watch import Change


def done(number, account, status=200, *, may_have_run=True):
    kind = "served" if status == 200 else "overloaded"
    at = 1000.0 + number
    return RequestResult(
        number, account, "GET", "/x", at, 0.02, status, kind, 1, "a", may_have_run
    )


@pytest.fixture
def recording():
    episode = Episode(FAULT_KINDS[0], "b-01", 2.0, 6.0)
    changes = (
        Change(1.0, 0, "b-02", True),
        Change(2.5, 0, "b-01", True),
        Change(3.0, 1, "b-01", True),
        Change(5.0, 0, "b-01", False),
        Change(7.0, 1, "b-01", False),
        Change(8.0, 0, "b-01", True),
    )
    requests = (
        done(0, "large"),
        done(1, "small"),
        done(2, "small", 503, may_have_run=False),
        done(3, "greedy", 429, may_have_run=False),
        done(4, "large", 502),
    )
    return Recording(
        "s", 2, 2, "greedy", 1000.0, 10.0, (episode,), changes, requests, ()
    )


def test_measures_of_a_recording(recording):
    (found,) = detections(recording)
    assert (found.first_s, found.all_s) == (0.5, 1.0)
    assert [change.server for change in false_ejections(recording)] == ["b-02"]
    worst = worst_served(recording)
    assert (worst.account, worst.share) == ("large", 0.5)
    assert wrongful_refusals(recording) == (1, 4)
    counts = outcomes_by_second(recording, recording.done)
    assert [dict(count) for count in counts[:3]] == [
        {"served": 1},
        {"served": 1},
        {"refused": 1},
    ]


def test_report_is_written(recording, tmp_path):
    assert "wrongful refusals: 1 of 4" in format_report(recording, 1)
    write_histograms(recording, tmp_path)
    plot([recording], tmp_path / "report.png")
    names = sorted(path.name for path in tmp_path.iterdir())
    assert names == ["report.png", "s-greedy.hgrm", "s-large.hgrm", "s-small.hgrm"]


@pytest.mark.parametrize("site", ["namur", "returhuset"])
def test_same_seed_gives_the_same_faults(site):
    servers = list(read_example(site).servers())
    episodes = plan_episodes(servers, 3)
    assert episodes == plan_episodes(servers, 3) != plan_episodes(servers, 4)
    assert {episode.kind for episode in episodes} == set(FAULT_KINDS)
    ends = [step for step in steps(episodes) if step.kind is None]
    assert len(ends) >= len(episodes)
