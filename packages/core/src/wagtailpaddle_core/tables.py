"""Helpers for dictionaries."""

from collections.abc import Mapping
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def only(table: Mapping[K, V], key: K) -> dict[K, V]:
    """Return a table with the entry of ``key``, or an empty one if it has none.

    >>> only({"a": 1, "b": 2}, "a"), only({"a": 1}, "c")
    ({'a': 1}, {})
    """
    return {key: table[key]} if key in table else {}
