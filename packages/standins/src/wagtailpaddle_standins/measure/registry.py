"""Registries of measures, filled by decorators."""

from collections.abc import Callable, Iterable

from wagtailpaddle_core import Registry

Measure = Callable[[int], Iterable[str]]
"""Takes a seed and yields the lines of the report one by one."""

MEASURES: Registry[Measure] = Registry("measure")
"""Measures that run by default, in some minutes together."""

LONG_MEASURES: Registry[Measure] = Registry("long measure")
"""Measures that take minutes each and run only when they are named."""
