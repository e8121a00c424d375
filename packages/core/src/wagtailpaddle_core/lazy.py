"""Package roots that import their modules when a name is first used."""

from collections.abc import Callable, Sequence
from importlib import import_module
from sys import modules as loaded_modules
from typing import Any


def lazy_attributes(
    package: str, names: Sequence[str], modules: Sequence[str]
) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package root that exports ``names``.

    A program that uses some names of a package does not load the modules of the
    others. ``modules`` are the package's modules that define the names. They are
    searched in this order, so one that needs another one stands behind it.

    >>> get = lazy_attributes("json", ["JSONDecoder"], ["decoder", "encoder"])
    >>> get("JSONDecoder").__name__
    'JSONDecoder'
    """
    exported = frozenset(names)

    def get_attribute(name: str) -> Any:
        if name in exported:
            for module in modules:
                namespace = vars(import_module(f"{package}.{module}"))
                if name in namespace:
                    vars(loaded_modules[package])[name] = namespace[name]
                    return namespace[name]
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    return get_attribute
