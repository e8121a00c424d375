"""Merging of configuration documents, tracking the origin of each value."""

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailpaddle_config.records import Document

SECTIONS = ("accounts", "routes", "services")
MAX_REPORTED_PROBLEMS = 100


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document: the path, the value and the rule it breaks."""

    path: str
    value: object
    rule: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value!r}: {self.rule}"


class DocumentError(ValueError):
    """Raised for an invalid document; ``problems`` lists all faults found."""

    def __init__(self, problems: tuple[Problem, ...]):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Layer:
    """A document and its origin.

    ``origin`` is ``base``, ``overlay:<site>``, ``operator@<offset>`` or
    ``kept``. The last stands for objects that were restored together with a
    client account although the base no longer defines them.
    """

    origin: str
    document: Document


@dataclass(frozen=True, slots=True)
class Resolved:
    """A merged document; ``origins`` maps the path of each value to its layer."""

    document: Document
    origins: dict[str, str]


def merge(lower: Document, upper: Document) -> Document:
    """Return ``lower`` overlaid by ``upper``: tables merge, other values replace.

    >>> merge({"a": {"x": 1, "y": 2}}, {"a": {"y": 3}})
    {'a': {'x': 1, 'y': 3}}
    """
    merged = dict(lower)
    for key, value in upper.items():
        below = merged.get(key)
        if isinstance(below, dict) and isinstance(value, dict):
            merged[key] = merge(below, value)
        else:
            merged[key] = value
    return merged


def resolve(layers: Iterable[Layer]) -> Resolved:
    """Return the merge of ``layers``, lowest first, and each value's origin.

    Paths are the table names joined by dots.

    >>> found = resolve([
    ...     Layer("base", {"accounts": {"x": {"rate": 5.0, "burst": 9.0}}}),
    ...     Layer("overlay:namur", {"accounts": {"x": {"rate": 2.0}}}),
    ... ])
    >>> found.origins["accounts.x.rate"], found.origins["accounts.x.burst"]
    ('overlay:namur', 'base')
    """
    document: Document = {}
    origins: dict[str, str] = {}
    for layer in layers:
        _overlay_in_place(document, layer.document, layer.origin, "", origins)
    return Resolved(document, dict(sorted(origins.items())))


def _overlay_in_place(
    lower: Document, upper: Document, origin: str, prefix: str, origins: dict[str, str]
) -> None:
    """Merge ``upper`` into ``lower`` in place and update ``origins``."""
    for key, value in upper.items():
        path = f"{prefix}{key}"
        if isinstance(value, dict):
            if not isinstance(lower.get(key), dict):
                _discard_origins(origins, path)
                lower[key] = {}
            _overlay_in_place(lower[key], value, origin, f"{path}.", origins)
        else:
            if isinstance(lower.get(key), dict):
                _discard_origins(origins, path)
            lower[key] = value
            origins[path] = origin


def _discard_origins(origins: dict[str, str], path: str) -> None:
    for known in [name for name in origins if name.startswith(f"{path}.")]:
        del origins[known]
    origins.pop(path, None)
