"""A limit on the requests in any window of time, with counts in place of events.

Following the idea of keeping one count for each step of a sliding window rather
than every event, memory is bounded by the number of steps, whatever the rate.
"""

from collections import deque
from dataclasses import dataclass

from wagtailpaddle_core import ensure

N_STEPS = 50


@dataclass(slots=True)
class _Step:
    index: int
    amount: float


class WindowBucket:
    """Allows ``rate * window_s + burst`` requests in any window of ``window_s``.

    A step counts until it lies outside of the window as a whole, so the limit
    holds for every window, not only for those that begin with a step.

    >>> bucket = WindowBucket(rate=2.0, burst=1.0, tokens=11.0, now=0.0, window_s=5.0)
    >>> bucket.take(0.0, 11.0), bucket.take(4.9), bucket.take(5.2)
    (True, False, True)
    """

    def __init__(
        self, *, rate: float, burst: float, tokens: float, now: float, window_s: float
    ):
        self.rate = rate
        self.burst = burst
        self._window_s = window_s
        self._step_s = window_s / N_STEPS
        self._steps: deque[_Step] = deque()
        self._used = 0.0
        self._assume_former(now, tokens)

    @property
    def capacity(self) -> float:
        """The requests that one window allows."""
        return max(1.0, self.rate * self._window_s + self.burst)

    def tokens(self, now: float) -> float:
        """Return how many requests are still allowed at ``now``."""
        self._expire(now)
        return max(0.0, self.capacity - self._used)

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Count ``amount`` requests, or none and return False."""
        if self.tokens(now) < amount:
            return False
        self._add(self._index(now), amount)
        ensure(self._used <= self.capacity + 1e-6, "window-kept", used=self._used)
        return True

    def give(self, now: float, amount: float) -> None:
        """Take back requests that were counted and not made, the latest first."""
        self._expire(now)
        while amount > 0.0 and self._steps:
            step = self._steps[-1]
            back = min(amount, step.amount)
            step.amount -= back
            self._used -= back
            amount -= back
            if step.amount <= 0.0:
                self._steps.pop()

    def wait(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` requests are allowed."""
        missing = amount - self.tokens(now)
        if missing <= 0.0:
            return 0.0
        for step in self._steps:
            missing -= step.amount
            if missing <= 1e-9:
                return max(0.0, self._gone_at(step.index) - now)
        return self._window_s

    def set_limit(self, now: float, *, rate: float, burst: float) -> None:
        """Change rate and burst; what was counted in the window stays."""
        self.rate = rate
        self.burst = burst

    def _assume_former(self, now: float, tokens: float) -> None:
        """Fill the window before ``now`` so that ``tokens`` are left.

        As if the rate had been used all the while, and the burst just now.
        """
        used = max(0.0, self.capacity - tokens)
        at = self._index(now)
        steady = min(used, self.rate * self._window_s)
        if steady > 0.0:
            for index in range(at - N_STEPS, at):
                self._add(index, steady / N_STEPS)
        if used > steady:
            self._add(at, used - steady)

    def _add(self, index: int, amount: float) -> None:
        if self._steps and self._steps[-1].index >= index:
            self._steps[-1].amount += amount
        else:
            self._steps.append(_Step(index, amount))
        self._used += amount

    def _expire(self, now: float) -> None:
        while self._steps and self._gone_at(self._steps[0].index) <= now:
            self._used -= self._steps.popleft().amount
        if not self._steps:
            self._used = 0.0

    def _index(self, now: float) -> int:
        return int(now // self._step_s)

    def _gone_at(self, index: int) -> float:
        return (index + 1) * self._step_s + self._window_s
