"""A test clock that does not wait."""

from typing import Any

from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import Clock


class ReadyClock(Clock):
    """A clock that runs every delayed call at once and advances by its delay."""

    def callLater(  # noqa: N802
        self, delay: float, function: Any, *args: Any, **kwargs: Any
    ) -> IDelayedCall:
        """Advance the clock by ``delay`` seconds, which runs ``function``."""
        call: IDelayedCall = super().callLater(delay, function, *args, **kwargs)
        self.advance(delay)
        return call
