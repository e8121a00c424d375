"""Registry of the measurements that ``make measure-state`` runs."""

from collections.abc import Callable
from dataclasses import dataclass

from wagtailpaddle_core import Registry


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value; ``target`` is its upper bound, if it has one."""

    name: str
    value: float
    unit: str
    target: float | None = None


Measure = Callable[[int], tuple[Figure, ...]]
"""Takes a seed and returns figures in the order of printing."""

MEASURES: Registry[Measure] = Registry("measure")
