from dataclasses import fields
from pathlib import Path

import pytest
from wagtailpaddle_config import ClientAccount, Route, Server, Service
from wagtailpaddle_daemon.admin import Admin  # noqa: F401
from wagtailpaddle_daemon.admin.context import HANDLERS

DOCS = Path(__file__).parents[3] / "docs"


@pytest.mark.parametrize("kind", [ClientAccount, Route, Service, Server])
def test_configuration_page_lists_every_field_and_default(kind):
    rows = {
        line.split("|")[1].strip(): line.split("|")[3].strip()
        for line in (DOCS / "configuration.md").read_text().splitlines()
        if line.startswith("| `")
    }
    for item in fields(kind):
        if item.name == "id":
            continue
        documented_default = rows[f"`{item.name}`"]
        if isinstance(item.default, bool):
            assert documented_default == str(item.default).lower()
        elif isinstance(item.default, int | float):
            assert documented_default == str(item.default)


def test_admin_page_lists_every_command():
    text = (DOCS / "admin-api.md").read_text()
    listed = {
        line.split("`")[1] for line in text.splitlines() if line.startswith("| `")
    }
    assert listed == set(HANDLERS.names())


@pytest.mark.parametrize("page", sorted(DOCS.glob("*.md")), ids=lambda page: page.name)
def test_links_between_pages_resolve(page):
    for link in page.read_text().split("](")[1:]:
        target = link.partition(")")[0]
        if not target.startswith("http"):
            assert (page.parent / target.partition("#")[0]).exists(), target


def test_operators_index_links_every_page():
    index = (DOCS / "operators.md").read_text()
    for page in (DOCS / "operators").glob("*.md"):
        assert f"(operators/{page.name})" in index
