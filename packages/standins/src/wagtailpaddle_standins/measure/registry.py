"""The registry of measures; each module files its own by decorator."""

from collections.abc import Callable, Iterable

from wagtailpaddle_core import Registry

Measure = Callable[[int], Iterable[str]]
"""Takes a seed and yields lines of the report as they come."""

MEASURES: Registry[Measure] = Registry("measure")
"""Measures that run when none is named, in some minutes together."""

LONG_MEASURES: Registry[Measure] = Registry("long measure")
"""Measures that run when they are named, for minutes."""
