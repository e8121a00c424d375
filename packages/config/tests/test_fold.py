import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_config import (
    DEDUPE_WINDOW,
    Applied,
    CancelAccount,
    ConfigFold,
    IssueKey,
    PublishBase,
    PublishOverlay,
    PutAccount,
    PutRoute,
    Record,
    RemoveRoute,
    RestoreAccount,
    Void,
    VoidCode,
    WithdrawKey,
)

names = st.text(max_size=4) | st.sampled_from(
    ["id", "rate", "burst", "servers", "service", "path", "accounts", "port", "floor"]
)


def test_overlay_of_another_site_changes_nothing(fold, put):
    put(PublishBase({"accounts": {"x": {"rate": 5.0, "burst": 9.0}}}))
    put(PublishOverlay("lund", {"accounts": {"x": {"rate": 1.0}}}))
    assert fold.configuration.accounts["x"].rate == 5.0
    put(PublishOverlay("namur", {"accounts": {"x": {"rate": 2.0}}}))
    assert fold.configuration.accounts["x"].rate == 2.0
    assert fold.configuration.accounts["x"].burst == 9.0


def test_conflicting_change_is_void(fold, put):
    first = put(PutAccount("x", {"rate": 5.0, "burst": 9.0}), expected=-1)
    second = put(PutAccount("x", {"rate": 6.0}), expected=-1)
    assert isinstance(first, Applied)
    assert isinstance(second, Void)
    assert fold.configuration.accounts["x"].rate == 5.0


def test_duplicate_record_is_applied_once(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}), record_id="same")
    put(PutAccount("x", {"rate": 6.0}))
    again = put(PutAccount("x", {"rate": 5.0, "burst": 9.0}), record_id="same")
    assert isinstance(again, Void)
    assert fold.configuration.accounts["x"].rate == 6.0


def test_restored_account_has_its_keys(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}))
    put(IssueKey("k1", "x", "hash"))
    put(CancelAccount("x"))
    assert fold.configuration.account_for("hash") is None
    put(RestoreAccount("x"))
    assert fold.configuration.account_for("hash").rate == 5.0


def test_withdrawn_key_gives_no_access(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}))
    put(IssueKey("k1", "x", "hash"))
    put(WithdrawKey("k1"))
    assert fold.configuration.account_for("hash") is None


def test_invalid_document_reports_every_problem(fold, put):
    result = put(PublishBase({"accounts": {"x": {"rate": -1.0, "burst": 0.0}}}))
    assert "accounts.x.rate: -1.0" in result.reason
    assert "accounts.x.burst: 0.0" in result.reason
    assert fold.configuration.revision == 1


def test_conflict_reports_winning_author_and_revision(put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}), expected=-1, author="ann")
    conflict = put(PutAccount("x", {"rate": 6.0}), expected=-1, author="bob")
    assert (conflict.code, conflict.current, conflict.winner) == (
        VoidCode.CONFLICT,
        0,
        "ann",
    )
    assert "'ann'" in conflict.reason


def test_edit_conflicts_with_published_change_of_same_object(put, base):
    put(PublishBase(base))
    seen = 0
    base["accounts"]["x"] = {"rate": 7.0, "burst": 9.0}
    put(PublishBase(base))
    assert isinstance(put(PutAccount("y", {"rate": 2.0}), expected=seen), Applied)
    assert put(PutAccount("x", {"rate": 2.0}), expected=seen).current == 1


def test_account_removed_from_base_is_restored_unchanged(fold, put, base):
    put(PublishBase(base))
    put(PutAccount("x", {"burst": 20.0}))
    put(IssueKey("k", "x", "hash"))
    put(CancelAccount("x"))
    without = {**base, "routes": {}, "accounts": {"y": base["accounts"]["y"]}}
    assert isinstance(put(PublishBase(without)), Applied)
    assert "x" not in fold.configuration.accounts
    assert fold.configuration.account_for("hash") is None
    put(PublishBase(without))
    assert isinstance(put(RestoreAccount("x")), Applied)
    account = fold.configuration.account_for("hash")
    assert (account.rate, account.burst) == (5.0, 20.0)
    assert fold.configuration.route_for("", "/r/1", "GET").id == "r"


def test_invalid_document_changes_nothing_and_reports_all_problems(fold, put, base):
    put(PublishBase(base))
    before = fold.configuration
    base["accounts"]["x"] = {"rate": float("nan")}
    base["routes"]["q"] = {"service": "none", "path": "q", "accounts": ["nobody"]}
    base["services"]["s"] = {"servers": ["s1"], "floor": 3}
    void = put(PublishBase(base))
    paths = {problem.path for problem in void.problems}
    assert {"accounts.x", "routes.q.path", "services.s.servers"} <= paths
    assert fold.configuration.accounts is before.accounts
    assert fold.configuration.services is before.services


@pytest.mark.parametrize(
    "document",
    [
        {"acounts": {}},
        {"accounts": []},
        {"accounts": {"x": 3}},
        {"accounts": {"x": {"rate": "5", "burst": 1}}},
        {"routes": {"r": {"service": ["s"], "path": "/"}}},
        {"services": {"s": {"servers": 3}}},
        {"services": {"s": {"servers": {"a": None}}}},
        {"services": {"": {}}},
    ],
)
def test_malformed_document_is_void(fold, put, document):
    assert put(PublishBase(document)).code is VoidCode.INVALID
    assert put(PublishOverlay("namur", document)).code is VoidCode.INVALID


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(["accounts", "routes", "services", "x"]),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(names, inner),
            max_leaves=12,
        ),
    )
)
def test_arbitrary_documents_do_not_raise(document):
    fold = ConfigFold(site="namur")
    for offset, change in enumerate(
        [PublishBase(document), PublishOverlay("namur", document)]
    ):
        fold.apply(offset, Record(f"r{offset}", "op", 0.0, None, change))
    for section, tables in document.items():
        if section in ("accounts", "routes") and isinstance(tables, dict):
            for name, table in tables.items():
                kind = PutAccount if section == "accounts" else PutRoute
                offset = fold.next_offset
                change = kind(name, table)
                fold.apply(offset, Record(f"r{offset}", "op", 0.0, None, change))


def test_base_that_breaks_an_overlay_is_void_at_every_site(put, base):
    other = ConfigFold(site="lund")
    put(PublishBase(base))
    put(PublishOverlay("lund", {"accounts": {"y": {"rate": 3.0}}}))
    bad = {**base, "accounts": {"x": base["accounts"]["x"]}}
    void = put(PublishBase(bad))
    assert "overlay:lund: accounts.y" in void.reason
    for offset, change in enumerate(
        [PublishBase(base), PublishOverlay("lund", {"accounts": {"y": {"rate": 3.0}}})]
    ):
        other.apply(offset, Record(f"o{offset}", "op", 0.0, None, change))
    again = other.apply(2, Record("r2", "op", 0.0, None, PublishBase(bad)))
    assert again == void


def test_base_that_removes_the_service_of_a_route_is_void(put, base):
    put(PublishBase({**base, "routes": {}}))
    put(PutRoute("q", {"service": "s", "path": "/q"}))
    void = put(PublishBase({"accounts": base["accounts"]}))
    assert void.reason == "routes.q.service: 's': names no service"
    assert isinstance(put(RemoveRoute("q")), Applied)
    assert isinstance(put(PublishBase({"accounts": base["accounts"]})), Applied)


def test_withdrawn_key_cannot_be_reissued(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}))
    put(IssueKey("k", "x", "hash"))
    put(WithdrawKey("k"))
    assert put(IssueKey("k", "x", "other")).code is VoidCode.CONFLICT
    assert put(IssueKey("k2", "x", "hash")).code is VoidCode.CONFLICT
    assert fold.configuration.account_for("hash") is None


def test_record_copy_beyond_dedupe_window_is_void(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}))
    record = Record("late", "op", 0.0, None, PutAccount("x", {"rate": 6.0}), 1)
    assert isinstance(fold.apply(1, record), Applied)
    for offset in range(2, DEDUPE_WINDOW + 10):
        fold.skip(offset)
    put(PutAccount("x", {"rate": 7.0}))
    late = fold.apply(fold.next_offset, record)
    assert late.code is VoidCode.EXPIRED
    assert fold.configuration.accounts["x"].rate == 7.0
