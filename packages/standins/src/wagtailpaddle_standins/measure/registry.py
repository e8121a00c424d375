"""The registry of measures; each module files its own by decorator."""

from collections.abc import Callable, Iterable

from wagtailpaddle_core import Registry

Measure = Callable[[int], Iterable[str]]
"""Takes a seed and yields lines of the report as they come."""

MEASURES: Registry[Measure] = Registry("measure")
