"""A clock for tests of code that waits."""

from typing import Any

from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import Clock


class ReadyClock(Clock):
    """A clock whose calls come due at once, which moves it on."""

    def callLater(  # noqa: N802
        self, delay: float, function: Any, *args: Any, **kwargs: Any
    ) -> IDelayedCall:
        """Run ``function`` now, ``delay`` seconds later by this clock."""
        call: IDelayedCall = super().callLater(delay, function, *args, **kwargs)
        self.advance(delay)
        return call
