"""Package roots that load their modules on first use export the stated objects."""

import ast
from importlib import import_module
from pathlib import Path

import pytest

ROOTS = ("config", "fleet", "node", "once", "peer", "quota")


def stated_imports(package):
    """Yield the name and the module of each import that a root states for its types."""
    tree = ast.parse(Path(package.__file__).read_text())
    for block in tree.body:
        if isinstance(block, ast.If) and ast.unparse(block.test) == "TYPE_CHECKING":
            for statement in block.body:
                yield from ((item.name, statement.module) for item in statement.names)


@pytest.fixture(params=ROOTS)
def package(request):
    return import_module(f"wagtailpaddle_{request.param}")


def test_root_exports_the_object_of_the_stated_module(package):
    for name, module in stated_imports(package):
        assert getattr(package, name) is getattr(import_module(module), name)


def test_root_states_every_name_that_it_exports(package):
    assert sorted(name for name, _ in stated_imports(package)) == sorted(
        package.__all__
    )
