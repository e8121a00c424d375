"""Choice of one backend server among the usable ones."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import Registry

from wagtailpaddle_routing.messages import ServerView


@dataclass(frozen=True, slots=True)
class Candidate:
    """A usable server with the requests that this VM has in flight there."""

    server: ServerView
    in_flight: int
    load: float = 0.0

    @property
    def cost(self) -> float:
        """Expected wait: work in flight per slot, scaled by trust."""
        return (self.in_flight + 1) / (self.server.slots * self.server.weight)


Chooser = Callable[[Sequence[Candidate], Random], Candidate]
CHOOSERS: Registry[Chooser] = Registry("chooser")


@CHOOSERS.register("two-choices")
def two_choices(candidates: Sequence[Candidate], random: Random) -> Candidate:
    """Return the cheaper of two random candidates."""
    if len(candidates) == 1:
        return candidates[0]
    first, second = random.sample(candidates, 2)
    return first if first.cost <= second.cost else second
