import pytest
from wagtailpaddle_config import (
    DEDUPE_WINDOW,
    AppendState,
    AppendTracker,
    PutAccount,
    Record,
    VoidCode,
)


@pytest.fixture
def tracker():
    return AppendTracker()


@pytest.fixture
def record():
    change = PutAccount("x", {"rate": 1.0, "burst": 1.0})
    return Record("id", "op", 0.0, None, change)


def test_append_without_answer_is_looked_up_before_retry(fold, tracker, record):
    sent = tracker.submit(record, 0).record
    tracker.on_append_failed(5.0, "id")
    assert tracker.on_log_head(4.0, 0, fold) == ()
    assert tracker.outcome("id").state is AppendState.UNKNOWN
    assert tracker.on_log_head(6.0, 1, fold) == ()
    fold.apply(0, sent)
    assert tracker.on_log_head(7.0, 1, fold) == ()
    assert tracker.outcome("id").state is AppendState.APPLIED
    assert tracker.outcome("id").result.offset == 0


def test_lost_append_is_retried_and_its_late_copy_is_void(fold, tracker, record):
    sent = tracker.submit(record, 0).record
    tracker.on_append_failed(5.0, "id")
    (retry,) = tracker.on_log_head(6.0, 0, fold)
    assert retry.record == sent
    fold.apply(0, sent)
    assert fold.apply(1, sent).code is VoidCode.DUPLICATE
    tracker.on_log_head(7.0, 2, fold)
    assert tracker.outcome("id").result.offset == 0


def test_append_missing_from_the_log_expires(fold, tracker, record):
    tracker.submit(record, 0)
    tracker.on_append_failed(5.0, "id")
    for offset in range(DEDUPE_WINDOW + 1):
        fold.skip(offset)
        if offset == DEDUPE_WINDOW // 2:
            assert tracker.on_log_head(6.0, DEDUPE_WINDOW, fold) == ()
    assert tracker.on_log_head(7.0, fold.next_offset, fold) == ()
    assert tracker.outcome("id").state is AppendState.EXPIRED


def test_outcome_is_forgotten_after_restoring_a_later_snapshot(fold, tracker, record):
    tracker.submit(record, 0)
    tracker.on_append_failed(5.0, "id")
    fold.restore(DEDUPE_WINDOW * 3, ())
    tracker.on_log_head(6.0, fold.next_offset, fold)
    assert tracker.outcome("id").state is AppendState.FORGOTTEN
