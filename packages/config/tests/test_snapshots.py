from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_config import (
    CancelAccount,
    ConfigFold,
    IssueKey,
    LogCursor,
    PublishBase,
    PublishOverlay,
    PutAccount,
    PutRoute,
    Record,
    RemoveRoute,
    RestoreAccount,
    SnapshotError,
    SnapshotItem,
    SnapshotScheduler,
    WithdrawKey,
    split_snapshot,
)

names = st.sampled_from(["x", "y", "z"])
fields = st.fixed_dictionaries(
    {}, optional={"rate": st.sampled_from([1.0, 2.0]), "burst": st.just(3.0)}
)
tables = st.dictionaries(names, fields, max_size=3)
routes = st.dictionaries(
    names, st.just({"service": "s", "path": "/a", "accounts": ["x"]}), max_size=2
)
documents = st.fixed_dictionaries(
    {}, optional={"accounts": tables, "routes": routes, "services": st.just({"s": {}})}
)
changes = st.one_of(
    st.builds(PutAccount, names, fields),
    st.builds(CancelAccount, names),
    st.builds(RestoreAccount, names),
    st.builds(PutRoute, names, st.just({"service": "s", "path": "/b"})),
    st.builds(RemoveRoute, names),
    st.builds(IssueKey, names, names, names),
    st.builds(WithdrawKey, names),
    st.builds(PublishBase, documents),
    st.builds(PublishOverlay, st.sampled_from(["namur", "lund"]), documents),
)
records = st.lists(st.tuples(changes, st.none() | st.integers(-1, 9)), max_size=25)


def folded(site, listed):
    fold = ConfigFold(site=site)
    for offset, (change, expected) in enumerate(listed):
        fold.apply(offset, Record(f"r{offset}", "op", 0.0, expected, change))
    return fold


def content(fold):
    cfg = fold.configuration
    maps = [cfg.accounts, cfg.routes, cfg.services, cfg.keys, cfg.routes_by_path]
    return [dict(items) for items in maps]


@settings(max_examples=150, derandomize=True, deadline=None)
@given(records, st.integers(0, 25))
def test_snapshot_plus_log_tail_equals_whole_log(listed, cut):
    cut = min(cut, len(listed))
    whole = folded("namur", listed)
    other_site = folded("lund", listed[:cut])
    restored = ConfigFold(site="namur")
    restored.restore(cut, other_site.snapshot_items())
    for offset, (change, expected) in enumerate(listed[cut:], start=cut):
        record = Record(f"r{offset}", "op", 0.0, expected, change)
        assert restored.apply(offset, record) == whole.result_of(record.id)
    assert content(restored) == content(whole)
    assert restored.snapshot_items() == whole.snapshot_items()


@settings(max_examples=100, derandomize=True, deadline=None)
@given(records)
def test_incremental_fold_equals_rebuild_from_snapshot(listed):
    fold = folded("namur", listed)
    rebuilt = ConfigFold(site="namur")
    rebuilt.restore(fold.next_offset, fold.snapshot_items())
    assert content(rebuilt) == content(fold)


def test_malformed_item_raises_and_leaves_state_unchanged(fold, put, base):
    put(PublishBase(base))
    before = fold.configuration
    with pytest.raises(SnapshotError):
        fold.restore(9, [SnapshotItem("key", "k", {"id": 3})])
    assert fold.configuration is before


def test_snapshot_that_reenables_withdrawn_key_is_rejected(fold, put, base):
    put(PublishBase(base))
    put(IssueKey("k", "x", "hash"))
    items = fold.snapshot_items()
    put(WithdrawKey("k"))
    with pytest.raises(SnapshotError, match="'k'"):
        fold.restore(9, items)
    assert fold.configuration.account_for("hash") is None


def test_cursor_restores_last_complete_snapshot(fold, put, base):
    put(PublishBase(base))
    chunks = split_snapshot(
        1, fold.snapshot_items(), writer="w", at=0.0, max_chunk_items=2
    )
    log = [None, *chunks[:1], *chunks, "tail"]
    cursor = LogCursor()
    first = 1
    cursor.on_trimmed(first, next_offset=0)
    found = None
    while found is None:
        start = cursor.next_read(0).start
        part = [(offset, log[offset]) for offset in range(start, len(log))][:2]
        found = cursor.on_search_records(part, first, len(log), 0)
    assert found.upto == 1
    assert cursor.next_read(found.upto).start == 1
    assert not cursor.is_searching


def test_cursor_without_snapshot_restarts_search():
    cursor = LogCursor()
    cursor.on_trimmed(5, next_offset=0)
    assert cursor.on_search_records([(5, "a"), (6, "b")], 5, 7, 0) is None
    assert cursor.is_searching
    assert cursor.next_read(0).start == 5


def test_snapshot_is_written_once_when_due_and_at_once_near_retention():
    scheduler = SnapshotScheduler(rng=Random(3), interval_records=100, jitter_s=10.0)
    assert not scheduler.should_write(0.0, 0, 0)
    assert not scheduler.should_write(1000.0, 0, 150)
    assert scheduler.should_write(1010.0, 0, 150)
    assert not scheduler.should_write(1011.0, 0, 150)
    for chunk in split_snapshot(150, (), writer="w", at=1011.0):
        scheduler.on_chunk(chunk)
    assert not scheduler.is_due(1012.0, 0, 160)
    assert not scheduler.is_due(1012.0, 100, 160)
    assert scheduler.is_due(1012.0, 156, 160)


def test_scheduler_waits_while_another_vm_writes():
    scheduler = SnapshotScheduler(rng=Random(3), interval_records=100, jitter_s=10.0)
    first, last = split_snapshot(
        150, [SnapshotItem("x", "a", {})] * 2, writer="w", at=1000.0, max_chunk_items=1
    )
    scheduler.on_chunk(first)
    assert not scheduler.should_write(1001.0, 0, 151)
    assert not scheduler.should_write(1015.0, 0, 151)
    scheduler.on_chunk(last)
    assert not scheduler.is_due(1016.0, 0, 152)
