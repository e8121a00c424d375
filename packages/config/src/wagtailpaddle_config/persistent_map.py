"""An immutable mapping whose changed copies share structure."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar
from zlib import crc32

N_BUCKETS = 512

V = TypeVar("V")


class PersistentMap(Mapping[str, V], Generic[V]):
    """Immutable mapping of names to values; ``updated`` returns a changed copy.

    A copy shares all hash buckets that the change does not touch, so it costs
    about 1/512 of the mapping per changed name. The iteration order depends on
    the names alone and is the same on every VM.

    >>> old = PersistentMap({"a": 1})
    >>> new = old.updated({"b": 2}, removed=["a"])
    >>> dict(old), dict(new)
    ({'a': 1}, {'b': 2})
    """

    __slots__ = ("_buckets", "_n_items")

    def __init__(self, items: Mapping[str, V] | None = None):
        self._buckets: tuple[dict[str, V], ...] = ({},) * N_BUCKETS
        self._n_items = 0
        if items:
            filled = self.updated(items)
            self._buckets = filled._buckets
            self._n_items = filled._n_items

    def updated(
        self, changed: Mapping[str, V], removed: Iterable[str] = ()
    ) -> "PersistentMap[V]":
        """Return a copy with ``changed`` set and ``removed`` deleted.

        Names in ``removed`` that are not in the mapping are ignored.
        """
        buckets = list(self._buckets)
        copied: dict[int, dict[str, V]] = {}
        n_items = self._n_items
        for name, value in changed.items():
            bucket = _writable_bucket(buckets, copied, name)
            n_items += name not in bucket
            bucket[name] = value
        for name in removed:
            bucket = _writable_bucket(buckets, copied, name)
            n_items -= name in bucket
            bucket.pop(name, None)
        copy: PersistentMap[V] = PersistentMap()
        copy._buckets = tuple(buckets)
        copy._n_items = n_items
        return copy

    def __getitem__(self, name: str) -> V:
        return self._buckets[crc32(name.encode()) % N_BUCKETS][name]

    def __contains__(self, name: object) -> bool:
        if not isinstance(name, str):
            return False
        return name in self._buckets[crc32(name.encode()) % N_BUCKETS]

    def __iter__(self) -> Iterator[str]:
        for bucket in self._buckets:
            yield from sorted(bucket)

    def __len__(self) -> int:
        return self._n_items

    def __repr__(self) -> str:
        return f"PersistentMap({dict(self)!r})"


def _writable_bucket(
    buckets: list[dict[str, V]], copied: dict[int, dict[str, V]], name: str
) -> dict[str, V]:
    index = crc32(name.encode()) % N_BUCKETS
    bucket = copied.get(index)
    if bucket is None:
        bucket = dict(buckets[index])
        copied[index] = bucket
        buckets[index] = bucket
    return bucket
