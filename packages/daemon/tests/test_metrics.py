import pytest
from wagtailpaddle_core import ErrorKind
from wagtailpaddle_daemon.histogram import Histogram
from wagtailpaddle_daemon.metrics import MAX_PENDING_SAMPLES, OTHER, Metrics
from wagtailpaddle_daemon.metrics_page import SERIES_PER_CHUNK, render_chunks
from wagtailpaddle_node import ConfigState
from wagtailpaddle_routing import AttemptOutcome


@pytest.fixture
def metrics():
    return Metrics(max_accounts=2)


def test_quantiles_are_within_one_bucket():
    histogram = Histogram.of_seconds()
    for value_ms in range(1, 1001):
        histogram.record(value_ms / 1000)
    summary = histogram.summary()
    assert summary.n == 1000
    assert summary.mean == pytest.approx(0.5005)
    assert summary.p50 == pytest.approx(0.5, rel=1 / 16)
    assert summary.p99 == pytest.approx(0.99, rel=1 / 16)
    assert histogram.cumulative_counts((0.1, 10.0))[1] == 1000


@pytest.mark.parametrize("value", [-1.0, 0.0, 1e9, float("inf"), float("nan")])
def test_value_out_of_range_is_counted(value):
    histogram = Histogram.of_seconds()
    histogram.record(value)
    assert histogram.summary().n == 1


def test_least_recently_used_account_is_evicted_into_other(metrics):
    for account in ("a", "b", "a", "c"):
        metrics.record_request(0.0, account, "r", 0.01, None)
    views = [*metrics.views("accounts")]
    assert [view.name for view in views] == ["a", "c", OTHER]
    assert sum(view.latency.n for view in views) == 4


def test_refusals_are_counted_by_kind_and_leave_latency_alone(metrics):
    metrics.record_request(0.0, "a", "r", 0.001, ErrorKind.RATE_EXCEEDED)
    metrics.record_request(0.0, None, None, 0.001, ErrorKind.KEY_UNKNOWN)
    assert all(view.latency.n == 0 for view in metrics.views("accounts"))
    assert metrics.refusals == {"rate-exceeded": 1, "key-unknown": 1}


def test_pending_samples_are_bounded(metrics):
    for _ in range(3 * MAX_PENDING_SAMPLES):
        metrics.record_queue_wait(0.0, "a", "r", 0.002)
        assert len(metrics._pending) < MAX_PENDING_SAMPLES
    assert next(metrics.views("accounts")).queue_wait.n == 3 * MAX_PENDING_SAMPLES


def test_page_shows_buckets_and_counters(metrics):
    metrics.record_request(0.0, "a", "r", 0.02, None, n_attempts=2)
    metrics.record_attempt(0.0, "booking", "s1", 0.02, AttemptOutcome.TIMED_OUT)
    state = ConfigState(7, version=41, age_s=0.5)
    page = b"".join(render_chunks(metrics, config=state, n_in_flight=0)).decode()
    assert 'wagtailpaddle_account_latency_seconds_count{account="a"} 1.0' in page
    assert 'wagtailpaddle_account_attempts_bucket{account="a",le="1.0"} 0.0' in page
    assert 'wagtailpaddle_account_attempts_bucket{account="a",le="2.0"} 1.0' in page
    line = 'wagtailpaddle_server_outcomes_total{outcome="timed-out",'
    assert line + 'server="booking/s1"} 1.0' in page
    assert "wagtailpaddle_revision 7.0" in page
    assert "wagtailpaddle_config_version 41.0" in page
    assert "wagtailpaddle_config_age_seconds 0.5" in page


def test_page_in_chunks_declares_each_family_once():
    metrics = Metrics()
    for index in range(3 * SERIES_PER_CHUNK):
        metrics.record_request(0.0, f"a{index:02}", "r", 0.02, None)
    chunks = render_chunks(metrics, config=ConfigState(0), n_in_flight=0)
    page = b"".join(chunks).decode()
    assert page.count("# TYPE wagtailpaddle_account_latency_seconds ") == 1
    assert page.count("wagtailpaddle_account_latency_seconds_count{") == 24
