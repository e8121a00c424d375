"""What the daemon needs of the platform's store, whatever its protocol."""

from collections.abc import Awaitable
from typing import Protocol

from wagtailpaddle_core import Offset
from wagtailpaddle_replica import Batch, Collection, Member


class StoreError(Exception):
    """The store did not do what it was asked; ``maybe_done`` says if it might."""

    def __init__(self, detail: str, *, maybe_done: bool = False):
        super().__init__(detail)
        self.maybe_done = maybe_done


class Store(Protocol):
    """Reads collections and keeps the records of VMs. Raises ``StoreError``."""

    def read(
        self, collection: Collection, start: Offset, *, whole: bool
    ) -> Awaitable[Batch]:
        """Return the records from ``start`` on, or the newest of every key."""

    def write_member(self, address: str, member: Member | None) -> Awaitable[None]:
        """Put the record of the VM at ``address``, or drop it."""
