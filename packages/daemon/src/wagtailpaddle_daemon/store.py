"""Interface of the platform's store, independent of its protocol."""

from collections.abc import Awaitable
from typing import Protocol

from wagtailpaddle_core import Offset
from wagtailpaddle_replica import Batch, Collection, Member


class StoreError(Exception):
    """An operation failed; with ``maybe_done`` it may have taken effect."""

    def __init__(self, detail: str, *, maybe_done: bool = False):
        super().__init__(detail)
        self.maybe_done = maybe_done


class Store(Protocol):
    """Reads collections and writes the records of VMs. Raises ``StoreError``."""

    def read(
        self, collection: Collection, start: Offset, *, whole: bool
    ) -> Awaitable[Batch]:
        """Return the records from ``start`` on; with ``whole`` the newest per key."""

    def write_member(self, address: str, member: Member | None) -> Awaitable[None]:
        """Write the record of the VM at ``address``, or delete it if None."""
