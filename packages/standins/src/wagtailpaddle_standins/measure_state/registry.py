"""Registry of the measurements that ``make measure-state`` runs."""

from collections.abc import Callable
from dataclasses import dataclass

from wagtailpaddle_core import Registry


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value; ``target`` is the bound that it is held to, if any."""

    name: str
    value: float
    unit: str
    target: float | None = None


Measure = Callable[[int], tuple[Figure, ...]]
"""Takes a seed and returns figures in the order in which they are printed."""

MEASURES: Registry[Measure] = Registry("measure")
