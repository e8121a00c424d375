"""Interface of the platform's store, independent of its protocol."""

from collections.abc import Awaitable
from typing import Protocol

from wagtailpaddle_replica import Batch, Collection, Era, Member, Position


class StoreError(Exception):
    """An operation failed; with ``maybe_done`` it may have taken effect."""

    def __init__(self, detail: str, *, maybe_done: bool = False):
        super().__init__(detail)
        self.maybe_done = maybe_done


class Store(Protocol):
    """Reads collections and writes the records of VMs. Raises ``StoreError``."""

    def read(
        self, collection: Collection, start: Position, *, whole: bool
    ) -> Awaitable[Batch]:
        """Return the records from ``start`` on; with ``whole`` the newest per key.

        It is the newest per key too if the store is in a later era than ``start``.
        """

    def write_member(self, address: str, member: Member | None) -> Awaitable[Era]:
        """Write the record of the VM at ``address``, or delete it if None.

        Return the era in which the store acknowledged it.
        """
