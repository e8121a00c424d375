from copy import deepcopy

import pytest
from wagtailpaddle_config import ConfigFold, Record

BASE = {
    "accounts": {"x": {"rate": 5.0, "burst": 9.0}, "y": {"rate": 1.0, "burst": 2.0}},
    "services": {"s": {"servers": {"s1": {"address": "::1", "port": 1, "zone": "a"}}}},
    "routes": {"r": {"service": "s", "path": "/r", "accounts": ["x"]}},
}


@pytest.fixture
def base():
    return deepcopy(BASE)


@pytest.fixture
def fold():
    return ConfigFold(site="namur")


@pytest.fixture
def put(fold):
    def append(change, expected=None, record_id=None, author="op"):
        offset = fold.next_offset
        decoded = deepcopy(change)
        record = Record(record_id or f"r{offset}", author, 0.0, expected, decoded)
        return fold.apply(offset, record)

    return append
