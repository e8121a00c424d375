"""Rendezvous hashing: a stable choice of members for a name."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import TypeVar

M = TypeVar("M", bound=str)


def score(name: str, member: str) -> int:
    """Return the score of ``member`` for ``name``, equal on every VM."""
    digest = blake2b(f"{name}\x00{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(name: str, members: Iterable[M]) -> list[M]:
    """Return ``members`` in descending order of their score for ``name``.

    Removing one member leaves the order of the others as it was, so replacing
    one of n members moves about 1/n of all names.
    """
    return sorted(
        members, key=lambda member: (score(name, member), member), reverse=True
    )
