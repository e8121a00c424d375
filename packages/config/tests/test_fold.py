import pytest
from wagtailpaddle_config import (
    Applied,
    CancelAccount,
    ConfigFold,
    IssueKey,
    PublishBase,
    PublishOverlay,
    PutAccount,
    Record,
    RestoreAccount,
    Void,
    WithdrawKey,
)


@pytest.fixture
def fold():
    return ConfigFold(site="namur")


@pytest.fixture
def put(fold):
    def append(change, expected=None, record_id=None):
        offset = fold.next_offset
        record = Record(record_id or f"r{offset}", "op", 0.0, expected, change)
        return fold.apply(offset, record)

    return append


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


def test_record_that_stands_twice_acts_once(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}), record_id="same")
    put(PutAccount("x", {"rate": 6.0}))
    again = put(PutAccount("x", {"rate": 5.0, "burst": 9.0}), record_id="same")
    assert isinstance(again, Void)
    assert fold.configuration.accounts["x"].rate == 6.0


def test_cancelled_account_comes_back_with_its_keys(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}))
    put(IssueKey("k1", "x", "hash"))
    put(CancelAccount("x"))
    assert fold.configuration.account_for("hash") is None
    put(RestoreAccount("x"))
    assert fold.configuration.account_for("hash").rate == 5.0


def test_withdrawn_key_opens_nothing(fold, put):
    put(PutAccount("x", {"rate": 5.0, "burst": 9.0}))
    put(IssueKey("k1", "x", "hash"))
    put(WithdrawKey("k1"))
    assert fold.configuration.account_for("hash") is None


def test_bad_document_names_every_fault(fold, put):
    result = put(PublishBase({"accounts": {"x": {"rate": -1.0, "burst": 0.0}}}))
    assert "accounts.x.rate: -1.0" in result.reason
    assert "accounts.x.burst: 0.0" in result.reason
    assert fold.configuration.revision == 1
