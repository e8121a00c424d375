"""The page on promises names tests and assertions that exist."""

import re
from pathlib import Path

import pytest

TOP = Path(__file__).parents[3]
PAGE = (TOP / "docs" / "promises.md").read_text()
ROWS = [line for line in PAGE.splitlines() if line.startswith("| ")][2:]
FAILURES = "standins/tests/test_failures.py"


@pytest.fixture(scope="module")
def program():
    sources = (TOP / "packages").glob("*/src/**/*.py")
    return "\n".join(path.read_text() for path in sources)


def test_every_test_that_is_named_exists():
    named = re.findall(r"`([\w/.]+)::(\w+)`", PAGE)
    assert len(named) > 2 * len(ROWS)
    for path, name in named:
        file = FAILURES if path == "failures" else path
        source = (TOP / "packages" / file).read_text()
        assert re.search(rf"^(def|class) {name}\b", source, re.MULTILINE), name


def test_every_assertion_that_is_named_exists(program):
    for row in ROWS:
        for name in re.findall(r"`([a-z]+(?:-[a-z]+)+)`", row.split("|")[3]):
            assert f'"{name}"' in program, name


def test_page_has_a_row_for_each_promise():
    assert len(ROWS) == 11
    assert all(all(cell.strip() for cell in row.split("|")[1:5]) for row in ROWS)
