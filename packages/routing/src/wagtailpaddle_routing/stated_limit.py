"""This VM's part of the request rate that a server states it takes in total."""

WINDOW_S = 4.0
TOLERANCE = 1.4
TOLERATED_REQUESTS = 4.0
"""In any window a server is sent at most the tolerance times what its limit allows,
and these requests, by all VMs together."""

TRIALS_PER_S = 0.5
"""Requests per second by which all VMs together learn whether a limit still holds."""


def part_per_s(per_s: float, n_vms: int) -> float:
    """Return the rate of one of ``n_vms`` VMs that share a limit of ``per_s``.

    Each VM may send a request at any time after a pause, so all of them may send
    one at the same time. Where the limit is small for their number, the rate is
    lowered by these requests.

    >>> part_per_s(6.0, 6)
    1.0
    >>> part_per_s(1.0, 6)
    0.15
    """
    in_window = TOLERANCE * per_s * WINDOW_S + TOLERATED_REQUESTS - n_vms
    in_total = max(TRIALS_PER_S, min(per_s, in_window / WINDOW_S))
    return in_total / n_vms


def burst(per_s: float, n_vms: int) -> float:
    """Return how many requests one of ``n_vms`` VMs may send after a pause.

    >>> burst(6.0, 6), burst(1.0, 6)
    (2.2666666666666666, 1.0)
    """
    spare = (TOLERANCE - 1.0) * per_s * WINDOW_S + TOLERATED_REQUESTS
    return max(1.0, spare / n_vms)


class StatedLimit:
    """A token bucket for the requests of this VM to one server.

    It starts with less than one token, ``first_tokens``, so that the VMs that learn
    of a limit at the same time do not send at the same time.

    >>> limit = StatedLimit(0.0, 4.0, n_vms=2, first_tokens=0.5)
    >>> limit.allows(0.0), limit.next_at(0.0)
    (False, 0.25)
    """

    __slots__ = (
        "_burst",
        "_tokens",
        "_updated_at",
        "part_per_s",
        "per_s",
        "stated_at",
    )

    def __init__(self, now: float, per_s: float, *, n_vms: int, first_tokens: float):
        self._tokens = first_tokens
        self._updated_at = now
        self.stated_at = now
        self.per_s = per_s
        self.part_per_s = part_per_s(per_s, n_vms)
        self._burst = burst(per_s, n_vms)

    def restate(self, now: float, per_s: float, *, n_vms: int) -> None:
        """Record that the server states a limit once more."""
        self.stated_at = now
        self.share(now, per_s, n_vms=n_vms)

    def share(self, now: float, per_s: float, *, n_vms: int) -> None:
        """Set the limit and the number of VMs that share it."""
        self._refill(now)
        self.per_s = per_s
        self.part_per_s = part_per_s(per_s, n_vms)
        self._burst = burst(per_s, n_vms)
        self._tokens = min(self._tokens, self._burst)

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.next_at(now) <= now

    def next_at(self, now: float) -> float:
        """Return when the next request may be sent, not before ``now``."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) / self.part_per_s

    def spend(self, now: float) -> None:
        """Count a request."""
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        added = (now - self._updated_at) * self.part_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._updated_at = now
