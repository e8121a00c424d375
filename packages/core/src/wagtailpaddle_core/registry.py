"""Registries of named variants of one behaviour, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")
U = TypeVar("U")


class Registry(Generic[T]):
    """Maps names to variants of one behaviour.

    >>> choosers = Registry("chooser")
    >>> @choosers.register("first")
    ... def first(servers):
    ...     return servers[0]
    >>> choosers["first"] is first
    True
    """

    def __init__(self, kind: str):
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[U], U]:
        """Return a decorator that registers its target under ``name``.

        Raises ``ValueError`` if the name is already registered.
        """

        def decorate(entry: U) -> U:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry  # type: ignore[assignment]
            return entry

        return decorate

    def __getitem__(self, name: str) -> T:
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.names())
            raise KeyError(
                f"{self.kind} {name!r} does not exist; known: {known}"
            ) from None

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def names(self) -> tuple[str, ...]:
        """Return the registered names in sorted order."""
        return tuple(sorted(self._entries))
