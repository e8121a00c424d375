"""The freshness rule: a VM serves only while it can know what is in force."""

from wagtailpaddle_core import Offset

FRESHNESS_S = 3.0


class Freshness:
    """Tracks when this VM last confirmed that its configuration is current.

    A confirmation counts from the time at which its question was sent, so a
    late answer proves nothing.
    """

    def __init__(self, *, window_s: float = FRESHNESS_S):
        self.window_s = window_s
        self._confirmed_at = float("-inf")

    def log_answered(self, sent_at: float, head: Offset, folded: Offset) -> None:
        """The log named its head in answer to a question sent at ``sent_at``."""
        if folded >= head:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        return now - self._confirmed_at <= self.window_s
